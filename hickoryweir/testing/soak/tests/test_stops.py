"""The exceptions to a request that is lost at a planned stop."""

import random

import pytest

from hickoryweir.testing.soak import stop_clients, stops


def find_excuse(record, **changes):
    """Return the excuse of a request that ends closed at the end of a stop."""
    target = stop_clients.Target("127.0.0.1", 1, 0.0, random.Random(1), {})
    if record is not None:
        target.records["r-1"] = record
    fields = {"sent_s": 1.0, "last_byte_s": 1.0, "ended_s": 7.4, "end": "closed"}
    request = stop_clients.Request(
        "r-1", "keep", "127.0.0.1", stop_clients.Plan(), **fields | changes
    )
    return stops.find_excuse(target, request)


@pytest.mark.parametrize(
    ("record", "changes"),
    [
        (stop_clients.BackendRecord([1.0]), {}),
        (stop_clients.BackendRecord([1.0], 1.0, 5.0), {}),
        (stop_clients.BackendRecord([3.1], 3.1), {"last_byte_s": 3.1}),
        (None, {}),
    ],
)
def test_lost(record, changes):
    assert find_excuse(record, **changes) == ""


@pytest.mark.parametrize(
    ("record", "changes"),
    [
        (stop_clients.BackendRecord([1.0], 1.0), {}),
        (stop_clients.BackendRecord([1.0], 1.0, broke_off=True), {"ended_s": 3.0}),
        (None, {"last_byte_s": 7.3}),
        (None, {"end": "ConnectionResetError"}),
        (None, {"last_byte_s": None}),
        (stop_clients.BackendRecord([1.0]), {"left": True}),
        (stop_clients.BackendRecord([-1.0]), {"ended_s": -0.5}),
    ],
)
def test_excused(record, changes):
    assert find_excuse(record, **changes)
