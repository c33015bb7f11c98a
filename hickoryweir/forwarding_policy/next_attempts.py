"""Retry rules: whether an unanswered request may go to another backend server.

A request that may run again is retried where the retry budget allows it.  A request
that must run at most once is retried only if it is certain that it has not run.
"""

import enum

from hickoryweir.routes import model

# With less time left than this share of the target, a retry would miss the target.
MIN_TIME_LEFT_SHARE = 0.25
# Share of the time left for a first attempt; it leaves as much for a retry.
FIRST_ATTEMPT_SHARE = 0.5
# Slow responses under load stay below this limit; an unresponsive server exceeds it.
UNRESPONSIVE_AFTER_TARGETS = 3.0
UNRESPONSIVE_MIN_S = 1.0
UNRESPONSIVE_AFTER_WAITS = 2.0


class Ran(enum.StrEnum):
    """Whether the request of an attempt has been executed."""

    NO = "no"
    MAYBE = "maybe"


def may_run_again(execution: model.Execution, ran: Ran) -> bool:
    """Return whether a request may be executed again.

    Examples
    --------
    >>> may_run_again(model.Execution.AT_MOST_ONCE, Ran.MAYBE)
    False
    >>> may_run_again(model.Execution.AT_MOST_ONCE, Ran.NO)
    True
    """
    return ran is Ran.NO or execution is not model.Execution.AT_MOST_ONCE


def is_worth_sending(route: model.Route, time_left_s: float) -> bool:
    """Return whether another attempt can still meet the target."""
    return time_left_s > MIN_TIME_LEFT_SHARE * route.target_latency_s


def response_timeout_s(
    route: model.Route, attempts_left_count: int, time_left_s: float
) -> float:
    """Return how long one attempt waits for the response headers.

    Only an idempotent request without a stream times out before its deadline, and only
    while a retry is possible.  A stream may wait long under load, and giving it up
    would waste its prefill.
    """
    is_plain = route.execution is model.Execution.IDEMPOTENT and not route.is_stream
    if is_plain and attempts_left_count > 0:
        return FIRST_ATTEMPT_SHARE * time_left_s
    return time_left_s


def is_unresponsive(route: model.Route, waited_s: float) -> bool:
    """Return whether a server that has sent nothing for `waited_s` is to be avoided."""
    return waited_s > _unresponsive_after_s(route)


def silent_after_s(route: model.Route, expected_wait_s: float) -> float:
    """Return after what time without a byte a connection may have gone silent.

    Parameters
    ----------
    route : model.Route
        Route of the request that waits.
    expected_wait_s : float
        Time until the first event that was expected when it was sent; 0 if unknown.
    """
    return _unresponsive_after_s(route) + UNRESPONSIVE_AFTER_WAITS * expected_wait_s


def _unresponsive_after_s(route: model.Route) -> float:
    return max(UNRESPONSIVE_MIN_S, UNRESPONSIVE_AFTER_TARGETS * route.target_latency_s)
