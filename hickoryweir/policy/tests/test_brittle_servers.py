"""Cores of `serve` before a server that fails when it rejects many calls."""

import pytest

from hickoryweir.outcomes import refusals
from hickoryweir.policy import core, events
from hickoryweir.policy.tests import test_mechanisms as mechanisms
from hickoryweir.policy.tests import test_noticed_servers as noticed

SLOTS_COUNT = 8
# The servers of the examples run this many; these let none wait.
ANSWER_S = 0.5
# Offered to the server, as a multiple of what it can serve.
OVERLOAD = 2.0
WINDOW_S = 1.0
USED_SHARE = 0.9


class Cluster(noticed.Cluster):
    """Routers that share a server, which rejects calls beyond its slots."""

    def __init__(self, max_rejections, routers_count):
        calls_per_s = OVERLOAD * SLOTS_COUNT / ANSWER_S / routers_count
        super().__init__(0.0, routers_count, calls_per_s)
        self.max_rejections = max_rejections
        self.running_count = 0
        self.rejected_s, self.served_s = [], []

    def _dispatch(self, now_s, router, result):
        for item in mechanisms.sent(result):
            said = {
                "max_rejections_per_s": self.max_rejections,
                "has_max_rejections": True,
            }
            if self.running_count >= SLOTS_COUNT:
                self.rejected_s.append(now_s)
                head = events.ServerNoticed(
                    "e1", now_s, has_served=False, is_rejected=True, **said
                )
                end = events.AttemptFailed(
                    item.request_id,
                    item.attempt,
                    events.FailureCause.REFUSED_BEFORE_RUNNING,
                    refusals.Ran.NO,
                    0,
                )
                self._after(now_s, 0.002, self._handle, router, head)
                self._after(now_s, 0.002, self._handle, router, end)
                continue
            self.running_count += 1
            head = events.ServerNoticed("e1", now_s, **said)
            self._after(now_s, 0.01, self._handle, router, head)
            end = events.Completed(item.request_id, item.attempt, 10)
            self._after(now_s, ANSWER_S, self._end, router, end)

    def _end(self, now_s, router, event):
        self.running_count -= 1
        self.served_s.append(now_s)
        self._dispatch(now_s, router, core.handle(router, event, now_s))


@pytest.mark.parametrize("max_rejections", [1.0, 3.0])
@pytest.mark.parametrize("routers_count", [2, 8])
def test_server_of_serve_rejects_no_more_than_it_bears_and_stays_busy(
    max_rejections, routers_count
):
    played = Cluster(max_rejections, routers_count).run()
    from_s = noticed.KNOWN_AFTER_S
    later_s = [at_s for at_s in played.rejected_s if at_s >= from_s]
    most = max(
        (sum(at_s <= other < at_s + WINDOW_S for other in later_s) for at_s in later_s),
        default=0,
    )
    assert most <= max_rejections
    served_count = sum(at_s >= from_s for at_s in played.served_s)
    can_serve = SLOTS_COUNT / ANSWER_S * (noticed.DURATION_S - from_s)
    assert served_count >= USED_SHARE * can_serve
