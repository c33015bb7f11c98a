"""Calls that share a prefix of their prompts with which backend servers crash."""

from hickoryweir.outcomes import refusals
from hickoryweir.policy import core, events, examples, inspection
from hickoryweir.policy.tests import test_mechanisms as mechanisms

SERVER_NAMES = [f"e{number}" for number in range(8)]


def make_router(name):
    classes = [examples.request_class("balance", retries=False)]
    return mechanisms.make_state(classes, SERVER_NAMES, name)


def send(router, request_id, middle, now_s):
    """Send a call whose first digest all share and whose last one is its own."""
    digests = (1, middle, hash(request_id))
    return mechanisms.arrive(
        router, request_id, now_s=now_s, prefix_digests=digests, fingerprint=request_id
    )


def crash_with(router, request_id, middle, now_s):
    send(router, request_id, middle, now_s)
    (attempt,) = router.calls[request_id].attempts.values()
    mechanisms.crash(router, attempt.server, now_s + 0.1)


def is_quarantined(result, request_id):
    refusal = mechanisms.refused(result).get(request_id)
    return refusal is not None and refusal.reason is refusals.Reason.QUARANTINED


def test_different_calls_with_a_prefix_that_crashed_three_servers_are_refused():
    router = make_router("router-1")
    for number in range(3):
        crash_with(router, f"bad{number}", 666, 10.0 + number)
    assert is_quarantined(send(router, "bad3", 666, 14.0), "bad3")
    assert not is_quarantined(send(router, "sound", 7, 14.0), "sound")


def test_prefix_that_crashed_one_server_at_each_of_three_routers_is_refused_by_all():
    routers = [make_router(f"router-{number}") for number in range(3)]
    for number, router in enumerate(routers):
        crash_with(router, f"bad{number}", 666, 10.0 + number)
    for router in routers:
        for other in routers:
            if other is not router:
                core.handle(other, inspection.digest(router, 13.5), 13.5)
    for number, router in enumerate(routers):
        name = f"later{number}"
        assert is_quarantined(send(router, name, 666, 14.0), name)
        assert not is_quarantined(send(router, f"sound{number}", 7, 14.0), name)


def test_blocked_prefix_is_released_an_hour_after_its_last_crash():
    router = make_router("router-1")
    for number in range(3):
        crash_with(router, f"bad{number}", 666, 10.0 + number)
    core.handle(router, events.Ticked(), 3_600.0)
    assert is_quarantined(send(router, "early", 666, 3_600.0), "early")
    core.handle(router, events.Ticked(), 3_620.0)
    assert not is_quarantined(send(router, "late", 666, 3_620.0), "late")
