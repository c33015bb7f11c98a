"""Tests of generated configurations and of contradictions between answers."""

import hashlib
import pathlib

import pytest

from hickoryweir.configuration import (
    generator,
    model,
    parse,
    questionnaire,
    render,
    settings,
)

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
CUSTOMERS = ("kitamori", "tamworth")


def read_answers(customer):
    return (EXAMPLES / customer / "answers.ini").read_text()


def configuration_of(customer):
    return generator.generate_text(read_answers(customer), "answers.ini").unwrap()


@pytest.mark.parametrize("customer", CUSTOMERS)
def test_generated_text_round_trips(customer):
    configuration = configuration_of(customer)
    text = render.render(configuration)
    assert parse.parse(text, "c.ini").unwrap() == configuration
    assert configuration.digest == hashlib.sha256(text.encode()).hexdigest()


def test_reading_only_new_sections_gives_the_same_configuration():
    cache = parse.EMPTY_CACHE
    for old, new in (("", ""), ("entry_vms = 6", "entry_vms = 9"), ("0.8", "0.9")):
        text = (
            read_answers("kitamori").replace(old, new, 1)
            if old
            else read_answers("kitamori")
        )
        configuration = generator.generate_text(text, "a.ini").unwrap()
        canonical = render.render(configuration)
        found, cache = parse.parse_canonical(
            canonical, configuration.digest, "c.ini", cache
        ).unwrap()
        assert found == configuration


@pytest.mark.parametrize(
    "broken",
    ["[class x]\n", "# h\n\n[nonsense]\nk = v\n", "# h\n\n[model a]\nversion = 1\n"],
)
def test_invalid_canonical_text_is_refused(broken):
    assert parse.parse_canonical(broken, "0", "c.ini").failure().problems


@pytest.mark.parametrize(("customer", "engines"), [("kitamori", 6), ("tamworth", 5)])
def test_examples_have_the_expected_sizes(customer, engines):
    servers = configuration_of(customer).backend_servers
    assert len(configuration_of(customer).accounts) == 10
    assert sum(each.target is model.Target.MODEL for each in servers) == engines
    assert sum(each.target is model.Target.SERVICE for each in servers) == 3
    assert len({each.availability_zone for each in servers}) == 3


def test_order_of_sections_does_not_matter():
    blocks = read_answers("kitamori").split("\n[")
    swapped = "\n[".join([*blocks[:1], *reversed(blocks[1:])])
    other = generator.generate_text(swapped, "other.ini").unwrap()
    assert other == configuration_of("kitamori")


def test_top_up_is_more_urgent_than_summaries_and_runs_at_most_once():
    classes = {each.name: each for each in configuration_of("kitamori").classes}
    assert classes["top-up"].tier < classes["monthly-summary"].tier
    assert not classes["top-up"].idempotent
    assert not classes["top-up"].retries
    assert not classes["top-up"].hedging


def test_unknown_answer_length_is_estimated_and_explained():
    answers = questionnaire.parse(read_answers("tamworth"), "a.ini").unwrap()
    notes = generator.derive(answers).unwrap().derivations
    keys = {(note.section, note.key) for note in notes}
    assert ("class installation-history", "expected_output_tokens") in keys


def test_replaced_urls_change_the_digest_only():
    before = configuration_of("kitamori")
    after = render.replace_urls(before, {"assistant-1": "http://127.0.0.1:1"})
    assert after.backend_servers[0].url == "http://127.0.0.1:1"
    assert after.digest != before.digest
    assert after.classes == before.classes


@pytest.mark.parametrize(
    ("old", "new", "section", "key"),
    [
        (
            "may_run_twice = yes\nfirst_token_within_s = 20.0",
            "may_run_twice = yes\nmore_urgent_than = top-up",
            "request balance-read",
            "more_urgent_than",
        ),
        (
            "never_below_percent = 40",
            "never_below_percent = 99",
            "request settlement-review",
            "never_below_percent",
        ),
        (
            "race_a_second_copy = no",
            "race_a_second_copy = yes",
            "request top-up",
            "race_a_second_copy",
        ),
        ("retry = no", "retry = yes", "request top-up", "retry"),
        (
            "between_tokens_within_s = 0.1",
            "between_tokens_within_s = 0.001",
            "request balance-read",
            "between_tokens_within_s",
        ),
        (
            "whole_answer_within_s = 6.0",
            "whole_answer_within_s = 0.9",
            "request balance-read",
            "whole_answer_within_s",
        ),
        (
            "gives_up_after_s = 20.0",
            "gives_up_after_s = 5.0",
            "request balance-read",
            "gives_up_after_s",
        ),
        ("model assistant\n", "model oracle\n", "request balance-read", "answered_by"),
        (
            "requests = monthly-summary\n",
            "requests = weekly\n",
            "account night-reports",
            "requests",
        ),
        ("okhotsk 100 |", "okhotsk 70 |", "providers balance-read", "stages"),
        (
            "current_stage = 1",
            "current_stage = 9",
            "providers balance-read",
            "current_stage",
        ),
        ("127.0.0.1:9102", "127.0.0.1:9101", "backend-server assistant-2", "url"),
        (
            "availability_zone = hakodate",
            "availability_zone = otaru",
            "backend-server assistant-3",
            "availability_zone",
        ),
        (
            hashlib.sha256(b"demo-parents-web").hexdigest(),
            hashlib.sha256(b"demo-parents-app").hexdigest(),
            "account parents-web",
            "key_sha256",
        ),
    ],
)
def test_each_contradiction_names_its_section_and_key(old, new, section, key):
    text = read_answers("kitamori")
    assert old in text
    error = generator.generate_text(text.replace(old, new, 1), "a.ini").failure()
    places = [(each.section, each.key) for each in error.problems]
    assert (section, key) in places


def test_configuration_with_an_unknown_name_is_refused():
    text = render.render(configuration_of("kitamori"))
    broken = text.replace("target_name = assistant", "target_name = x", 1)
    error = parse.parse(broken, "c.ini").failure()
    assert error.problems[0].key == "target_name"


@pytest.mark.parametrize("file", sorted(EXAMPLES.glob("*/settings-*.ini")), ids=str)
def test_example_settings_are_valid(file):
    assert settings.load(file).unwrap().other_processes
