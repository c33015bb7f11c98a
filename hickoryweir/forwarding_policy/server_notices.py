"""What a backend server's responses say of itself.

It may say that it leaves, ask for a pause, or name a limit for all routers together.

Answers two loads.  A server that leaves would have to break off what it is still given;
its announcement is newer than the list of servers, which lags and may come from a
replica that lags as well, so a list does not undo it.  A server that turns requests
away and names a pause is overloaded; what it gets meanwhile delays its recovery, and
all callers that return at the end of the pause would overload it again.  After a pause
a server therefore gets few requests at a time, twice as many after each response and
after each second, so that one long request does not keep it idle.

Times are on a clock that includes time suspended.
"""

import dataclasses
import math

# Longer pauses are shortened to this; a server that is gone for longer leaves the list.
PAUSE_MAX_S = 600.0
# Responses and seconds after a pause until a server gets any number of requests.
RETURN_STEPS_COUNT = 6
RETURN_STEP_S = 1.0
# A server that returns after a pause answers its first request within this time.
RETURN_RETRY_AFTER_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Notices:
    """What one incarnation of a server has announced.

    Attributes
    ----------
    leaving_since_s : float or None
        When it first said that it leaves.
    paused_until_s : float
        End of the pause that it asked for; 0 if it never did.
    responses_count : int
        Responses to requests sent since the end of the pause.
    limit_per_s : float or None
        Requests a second that it takes from all routers; None if it names no limit.
    limit_at_s : float
        When it last named a limit, or was first seen to name none any more.
    """

    leaving_since_s: float | None = None
    paused_until_s: float = 0.0
    responses_count: int = RETURN_STEPS_COUNT
    limit_per_s: float | None = None
    limit_at_s: float = float("-inf")


NO_NOTICES = Notices()


def record_leaving(notices: Notices, now_s: float) -> Notices:
    """Return the notices with the announcement that the server leaves."""
    if notices.leaving_since_s is not None:
        return notices
    return dataclasses.replace(notices, leaving_since_s=now_s)


def record_pause(notices: Notices, pause_s: float, now_s: float) -> Notices:
    """Return the notices with a pause; a longer one that is in force stays.

    Examples
    --------
    >>> asked = record_pause(NO_NOTICES, 4.0, 10.0)
    >>> asked.paused_until_s, record_pause(asked, 1.0, 11.0).paused_until_s
    (14.0, 14.0)
    >>> record_pause(NO_NOTICES, 1e9, 0.0).paused_until_s == PAUSE_MAX_S
    True
    """
    until_s = now_s + min(pause_s, PAUSE_MAX_S)
    return dataclasses.replace(
        notices,
        paused_until_s=max(notices.paused_until_s, until_s),
        responses_count=0,
    )


def record_response(notices: Notices, sent_at_s: float, now_s: float) -> Notices:
    """Return the notices after a response to a request that the server has served.

    Parameters
    ----------
    notices : Notices
        What the server has said.
    sent_at_s : float
        When the request was sent; one from before the pause says nothing of the load
        that the server bears after it.
    now_s : float
        Current time.
    """
    if sent_at_s < notices.paused_until_s or not is_returning(notices, now_s):
        return notices
    return dataclasses.replace(notices, responses_count=notices.responses_count + 1)


def record_limit(
    notices: Notices, limit_per_s: float | None, at_s: float, sent_at_s: float
) -> Notices:
    """Return the notices after a response that names a limit, or names none.

    Parameters
    ----------
    notices : Notices
        What the server has said.
    limit_per_s : float or None
        The limit that the response names.
    at_s : float
        When the response came.
    sent_at_s : float
        When its request was sent.  Responses overtake each other, so only a request
        sent after the limit was named last shows that it has ended.

    Examples
    --------
    >>> limited = record_limit(NO_NOTICES, 2.0, 5.0, 4.0)
    >>> record_limit(limited, None, 5.5, 4.5) == limited
    True
    >>> record_limit(limited, None, 6.5, 6.0).limit_per_s is None
    True
    """
    if at_s <= notices.limit_at_s:
        return notices
    if limit_per_s is not None:
        return dataclasses.replace(notices, limit_per_s=limit_per_s, limit_at_s=at_s)
    if notices.limit_per_s is None or sent_at_s <= notices.limit_at_s:
        return notices
    # Routers return to it as after a pause.
    ended = dataclasses.replace(notices, limit_per_s=None, limit_at_s=at_s)
    return record_pause(ended, 0.0, at_s)


def is_limited(notices: Notices) -> bool:
    """Return whether requests to the server need a grant."""
    return notices.limit_per_s is not None


def is_paused(notices: Notices, now_s: float) -> bool:
    """Return whether the server wants no requests now."""
    return now_s < notices.paused_until_s


def is_returning(notices: Notices, now_s: float) -> bool:
    """Return whether a pause has ended and the server gets few requests at a time."""
    has_ended = not is_paused(notices, now_s)
    return has_ended and _steps_count(notices, now_s) < RETURN_STEPS_COUNT


def _steps_count(notices: Notices, now_s: float) -> int:
    elapsed_s = now_s - notices.paused_until_s
    return notices.responses_count + int(elapsed_s / RETURN_STEP_S)


def accepts(notices: Notices, unanswered_count: int, now_s: float) -> bool:
    """Return whether a server takes another request of this router.

    Parameters
    ----------
    notices : Notices
        What the server has said.
    unanswered_count : int
        Requests that this router has sent since the end of the pause, and that the
        server has not begun to answer.
    now_s : float
        Current time.

    Examples
    --------
    >>> accepts(record_leaving(NO_NOTICES, 5.0), 0, 5.1)
    False
    >>> asked = record_pause(NO_NOTICES, 4.0, 10.0)
    >>> [accepts(asked, 0, now_s) for now_s in (10.0, 13.9, 14.0)]
    [False, False, True]
    >>> accepts(asked, 1, 14.0), accepts(asked, 1, 15.0)
    (False, True)
    >>> accepts(record_response(asked, 14.0, 14.1), 1, 14.1)
    True
    """
    if notices.leaving_since_s is not None or is_paused(notices, now_s):
        return False
    if is_returning(notices, now_s):
        return unanswered_count < 2 ** _steps_count(notices, now_s)
    return True


def accepts_after_s(notices: Notices, now_s: float) -> float:
    """Return the time until a server that takes nothing now may take a request.

    Examples
    --------
    >>> accepts_after_s(record_pause(NO_NOTICES, 4.0, 10.0), 11.0)
    3.0
    >>> accepts_after_s(record_leaving(NO_NOTICES, 5.0), 5.0)
    inf
    """
    if notices.leaving_since_s is not None:
        return math.inf
    return max(RETURN_RETRY_AFTER_S, notices.paused_until_s - now_s)
