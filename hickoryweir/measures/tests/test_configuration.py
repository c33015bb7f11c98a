"""The state stays bounded over a day of changes."""

from hickoryweir.configuration import changes, history
from hickoryweir.measures import configuration


def snapshot_size_bytes(change_count):
    state = changes.initial_state()
    for number in range(change_count):
        command = configuration.make_change(
            "answers", "customer = x", number, number * 10.0
        )
        changes.apply(state, command, number + 1, number * 10.0)
    return len(changes.dump(state))


def test_snapshot_stops_growing(monkeypatch):
    monkeypatch.setattr(changes, "MAX_REPLY_COUNT", 50)
    monkeypatch.setattr(history, "MAX_ENTRY_COUNT", 20)
    assert snapshot_size_bytes(1000) < 1.1 * snapshot_size_bytes(300)


def test_measurement_runs():
    assert configuration.measure_changes("answers", "customer = x", 20)["changes"] == 20
