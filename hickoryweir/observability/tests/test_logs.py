"""Tests of structured logs."""

import io
import json

from hickoryweir.observability import logs


def test_an_entry_is_one_json_line():
    stream = io.StringIO()
    logs.configure("info", stream)
    logs.info("call answered", logs.Fields(request_id="r-1", class_name="top-up"))
    lines = stream.getvalue().splitlines()
    assert len(lines) == 1
    entry = json.loads(lines[0])
    assert entry["message"] == "call answered"
    assert entry["request_id"] == "r-1"
    assert "account" not in entry


def test_entries_below_the_level_are_left_out():
    stream = io.StringIO()
    logs.configure("warning", stream)
    logs.info("not written")
    logs.warning("written")
    assert [json.loads(line)["message"] for line in stream.getvalue().splitlines()] == [
        "written"
    ]
