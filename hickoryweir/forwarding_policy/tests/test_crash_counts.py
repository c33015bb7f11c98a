"""Equal requests that crash servers, over hours."""

import pytest

from hickoryweir.forwarding_policy import crash_counts

REQUEST = 7


def lose(counts, times_s):
    """Lose the request at this router, at a server of its own each time."""
    for at_s in times_s:
        loss = crash_counts.record_unverified(counts, REQUEST, f"s{at_s:g}", at_s)
        assert crash_counts.settle(counts, REQUEST, loss, has_survived=False)


@pytest.mark.parametrize("interval_s", [1, 40, 600])
def test_request_that_is_sent_again_for_days_crashes_three_servers_after_the_third(
    interval_s,
):
    counts, crashes_count = crash_counts.CrashCounts(), 0
    for now_s in range(0, 3 * 86_400, interval_s):
        if crash_counts.is_blocked(counts, REQUEST, now_s):
            crash_counts.record_refusal(counts, REQUEST, now_s)
        else:
            crashes_count += 1
            lose(counts, [now_s])
    assert crashes_count <= 3 + 3


def test_request_that_was_lost_three_times_is_tried_again_after_two_minutes():
    counts = crash_counts.CrashCounts()
    lose(counts, [0.0, 50.0, 100.0])
    assert crash_counts.is_blocked(counts, REQUEST, 219.0)
    assert not crash_counts.is_blocked(counts, REQUEST, 221.0)


def test_request_that_others_lost_last_is_tried_by_them_first():
    """Guards against trials at all routers before the first one has crashed."""
    counts = crash_counts.CrashCounts()
    for server_id in ("a", "b", "c"):
        crash_counts.record_loss(counts, REQUEST, server_id, 0.0)
    assert crash_counts.is_blocked(counts, REQUEST, 121.0)
    assert not crash_counts.is_blocked(counts, REQUEST, 241.0)


def test_trial_that_runs_for_long_lets_no_other_request_through():
    """Guards against many trials at once of a request that crashes servers late."""
    counts = crash_counts.CrashCounts()
    lose(counts, [0.0, 1.0, 2.0])
    assert crash_counts.record_admission(counts, REQUEST, 123.0)
    assert crash_counts.is_blocked(counts, REQUEST, 124.0)
    assert crash_counts.clear(counts, REQUEST, 125.0) == 3
    assert not crash_counts.is_blocked(counts, REQUEST, 125.0)


def test_losses_that_servers_survive_do_not_count_until_too_many():
    """Guards against crashes without end of servers that pass each check."""
    counts = crash_counts.CrashCounts()
    for number in range(crash_counts.MAX_SURVIVED_COUNT + 3):
        assert not crash_counts.is_blocked(counts, REQUEST, float(number))
        loss = crash_counts.record_unverified(
            counts, REQUEST, f"s{number}", float(number)
        )
        crash_counts.settle(counts, REQUEST, loss, has_survived=True)
    assert crash_counts.is_blocked(counts, REQUEST, float(number))


def test_completion_clears_a_loss_that_is_being_checked():
    """Guards against a loss that counts although an equal request has completed."""
    counts = crash_counts.CrashCounts()
    loss = crash_counts.record_unverified(counts, REQUEST, "a", 1.0)
    later = crash_counts.record_unverified(counts, REQUEST, "b", 3.0)
    assert crash_counts.clear(counts, REQUEST, 2.0) == 1
    assert not crash_counts.settle(counts, REQUEST, loss, has_survived=False)
    assert crash_counts.settle(counts, REQUEST, later, has_survived=False)
    assert list(counts.servers[REQUEST]) == ["b"]


def test_request_that_does_not_come_for_an_hour_is_forgotten():
    counts = crash_counts.CrashCounts()
    lose(counts, [0.0, 1.0, 2.0, 130.0, 620.0])
    crash_counts.record_refusal(counts, REQUEST, 3_000.0)
    assert crash_counts.is_blocked(counts, REQUEST, 6_500.0)
    assert not crash_counts.is_blocked(counts, REQUEST, 6_700.0)
    lose(counts, [6_701.0])
    assert not crash_counts.is_blocked(counts, REQUEST, 6_702.0)
