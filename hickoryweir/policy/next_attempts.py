"""Whether a request that got no answer may be sent to another backend server.

Answers failing backend servers: a request that may run again is tried once more
where the budget allows it, and one that may not is never sent again unless it is
certain that it has not run.
"""

import enum

from hickoryweir.routes import model

# With less time left than this share of the target, a second answer would be late.
MIN_TIME_LEFT_SHARE = 0.25
# The second server has then as long as the first one had.
FIRST_ATTEMPT_SHARE = 0.5
# Slow answers under load stay below it; a server that is mute does not.
UNRESPONSIVE_AFTER_TARGETS = 3.0
UNRESPONSIVE_MIN_S = 1.0


class Ran(enum.StrEnum):
    """Whether an attempt's request has run."""

    NO = "no"
    MAYBE = "maybe"


def may_run_again(execution: model.Execution, ran: Ran) -> bool:
    """Return whether a further run can do no harm.

    Examples
    --------
    >>> may_run_again(model.Execution.AT_MOST_ONCE, Ran.MAYBE)
    False
    >>> may_run_again(model.Execution.AT_MOST_ONCE, Ran.NO)
    True
    """
    return ran is Ran.NO or execution is not model.Execution.AT_MOST_ONCE


def is_worth_sending(route: model.Route, time_left_s: float) -> bool:
    """Return whether enough time is left for another attempt to be of use."""
    return time_left_s > MIN_TIME_LEFT_SHARE * route.target_latency_s


def answer_timeout_s(
    route: model.Route, attempts_left_count: int, time_left_s: float
) -> float:
    """Return how long one attempt waits for the head of its answer.

    Only a plain call that may run again gives up a silent server before its time is
    up, and only while another attempt may follow.  A stream's wait under load is long
    and costs what was read when it is given up.
    """
    is_plain = route.execution is model.Execution.IDEMPOTENT and not route.is_stream
    if is_plain and attempts_left_count > 0:
        return FIRST_ATTEMPT_SHARE * time_left_s
    return time_left_s


def is_unresponsive(route: model.Route, waited_s: float) -> bool:
    """Return whether a server that has said nothing for so long is to be avoided."""
    return waited_s > max(
        UNRESPONSIVE_MIN_S, UNRESPONSIVE_AFTER_TARGETS * route.target_latency_s
    )
