"""Tests of the measurement of version propagation."""

import pathlib

from hickoryweir.measures import routers

ANSWERS = pathlib.Path(__file__).parents[3] / "examples" / "tamworth" / "answers.ini"


def test_every_router_gets_every_version_on_virtual_time():
    text = routers.read_text(ANSWERS)
    row = routers.measure_virtual(text, 12, 3, 3)
    assert row.worst_ms < 100
    assert row.busiest_bytes_per_s < 10_000
