"""A short day of a fixed seed: its final fault loses a disk beside a successor."""

from hickoryweir.testing.soak import day_events, days

OPTIONS = days.Days(seed=75003, span=12.0, routers=2, clients=4)


def test_fixed_day_stops_each_router_and_loses_a_disk_after_a_replica():
    day = day_events.draw(OPTIONS.seed, OPTIONS.span, OPTIONS.routers, OPTIONS.servers)
    assert {stop.index for stop in day.stops} == {0, 1}
    assert len(day.losses) >= 1
    assert day.last_loss.kind == day_events.LOSE
    assert day.final.kind == day_events.FINAL_DISK


def test_day_of_stops_losses_and_changes_with_a_final_fault_breaks_no_promise():
    assert days.run(OPTIONS) == []
