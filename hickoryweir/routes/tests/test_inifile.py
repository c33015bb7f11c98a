"""Tests of routing tables in INI text."""

import pathlib

from hickoryweir.routes import checks, inifile, model

EXAMPLE = pathlib.Path(__file__).parents[3] / "examples/forwarding/table.ini"


def test_example_is_valid():
    table = inifile.decode_table(EXAMPLE.read_bytes()).unwrap()
    assert checks.find_problems(table) == ()
    routes = {route.name: route for route in table.routes}
    assert routes["chat"].execution is model.Execution.RESUMABLE_STREAM
    assert routes["balance"].destinations == (
        model.Destination("app", 9),
        model.Destination("app2", 1),
    )
    assert table.accounts == (model.ClientAccount("parents", ("demo-parents",), 1),)


def test_unknown_execution_is_reported():
    text = EXAMPLE.read_text().replace("idempotent", "twice")
    assert "[route balance] execution" in inifile.decode_table(text.encode()).failure()


def test_bytes_that_are_not_utf8_are_refused():
    assert inifile.decode_table(b"\xff\xfe").failure()
