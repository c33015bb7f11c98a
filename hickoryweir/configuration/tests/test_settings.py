"""Tests of settings files."""

import pathlib

import pytest

from hickoryweir.configuration import settings

VALID_SETTINGS = """
[process]
name = a-1
availability_zone = a
cluster_id = demo
roles = router, replica
[callers]
host = 127.0.0.1
port = 8080
plain_text = yes
[operators]
host = 127.0.0.1
port = 8081
plain_text = yes
[peers]
host = 127.0.0.1
port = 8082
plain_text = yes
[replica]
data_folder = data
[peer b-1]
host = 127.0.0.1
port = 9082
availability_zone = b
roles = router
"""


def parse(text):
    return settings.parse(text, pathlib.Path("folder/a.ini"))


def test_valid_settings_are_loaded():
    values = parse(VALID_SETTINGS).unwrap()
    assert values.process.roles == (settings.Role.ROUTER, settings.Role.REPLICA)
    assert values.callers.host == "127.0.0.1"
    assert values.other_processes[0].name == "b-1"
    assert values.replica.data_folder == pathlib.Path("folder/data")


@pytest.mark.parametrize(
    ("old", "new", "section", "key", "expected"),
    [
        ("port = 8080", "port = many", "callers", "port", "TCP port"),
        ("port = 8080", "port = 70000", "callers", "port", "TCP port"),
        ("host = 127.0.0.1\nport = 8081", "port = 8081", "operators", "host", "IP"),
        ("data_folder = data", "datafolder = x", "replica", "datafolder", "one of"),
        ("data_folder = data", "", "replica", "data_folder", "a folder"),
        ("[replica]", "[replika]", "replika", "", "one of"),
        ("roles = router, replica", "roles = boss", "process", "roles", "router"),
        ("port = 8080\nplain_text = yes", "port = 1", "callers", "key_file", "a file"),
        ("[peer b-1]", "[peer a-1]", "peer a-1", "", "other processes"),
        ("name = a-1", "name = A 1", "process", "name", "lower-case"),
        ("[process]", "[callers]", "", "", "INI text"),
        ("plain_text = yes", "plain_text = perhaps", "callers", "plain_text", "yes"),
    ],
)
def test_each_error_names_its_place_and_the_expected_value(
    old, new, section, key, expected
):
    error = parse(VALID_SETTINGS.replace(old, new, 1)).failure()
    matching = [p for p in error.problems if (p.section, p.key) == (section, key)]
    assert matching, str(error)
    assert matching[0].file == "folder/a.ini"
    assert expected in matching[0].expected


def test_missing_file_is_an_error():
    assert "missing.ini" in str(settings.load("missing.ini").failure())
