"""Whether a request that got no answer may be sent to another backend server.

Answers failing backend servers: a request that may run again is tried once more
where the budget allows it, and one that may not is never sent again unless it is
certain that it has not run.
"""

import enum

from hickoryweir.routes import model

# With less time left than this share of the target, a second answer would be late.
MIN_TIME_LEFT_SHARE = 0.25


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
