"""What the outcome of an order says of later ones, see :mod:`.server_orders`."""

import dataclasses

from hickoryweir.duties import calls
from hickoryweir.forwarding_policy import doubling, order_state

# A zone is dry while the infrastructure has no servers of a kind to give there; a
# reclaimed zone has no spot servers for about 10 s.
DRY_PAUSE_S = 3.0
DRY_PAUSE_MAX_S = 12.0
FAILURE_PAUSE_S = 1.0
OVER_RATE_PAUSE_S = 0.5
# A retry is sent at the next decision; a later refusal is a first one again.
RETRY_RETENTION_S = 5.0
# Within this time after a refusal for lack of servers, another one is not retried.
DRY_RETENTION_S = 20.0
# A call without an answer may be executed until this long after it was sent.
LATE_EXECUTION_S = 12.0
UNANSWERED_PAUSE_MIN_S = 0.25
UNANSWERED_PAUSE_MAX_S = 4.0


def record_outcome(
    state: order_state.State,
    order: calls.ServerOrder,
    outcome: calls.Outcome,
    checks_fencing: bool,
    now_s: float,
) -> order_state.State:
    """Return the state after an order's outcome.

    Parameters
    ----------
    state : order_state.State
        State of the decision that led to the order.
    order : calls.ServerOrder
        The order.
    outcome : calls.Outcome
        Its outcome.
    checks_fencing : bool
        Whether calls with an earlier token are refused.
    now_s : float
        When the outcome was known.

    Returns
    -------
    order_state.State
        State to pass to the next decision.
    """
    key = (order.availability_zone, order.is_spot)
    subjects = {(item.availability_zone, item.is_spot): item for item in state.subjects}
    subject = subjects[key]
    changes = {}
    match outcome:
        case calls.Outcome.ACCEPTED:
            changes = _change_times(subject, order, now_s)
            subjects[key] = _accepted(subject, order, checks_fencing, now_s)
        case calls.Outcome.REFUSED:
            subjects[key] = _refused(subject, now_s)
        case calls.Outcome.NO_RESPONSE:
            subjects[key] = _unanswered(subject, order, now_s)
        case calls.Outcome.OVER_RATE:
            changes = {"paused_until_s": now_s + OVER_RATE_PAUSE_S}
        case calls.Outcome.FAILED:
            subjects[key] = dataclasses.replace(
                subject, paused_until_s=now_s + FAILURE_PAUSE_S, sent_at_s=now_s
            )
        case calls.Outcome.NOT_HOLDER:
            return state
    return dataclasses.replace(state, subjects=tuple(subjects.values()), **changes)


def _change_times(
    subject: order_state.Subject, order: calls.ServerOrder, now_s: float
) -> dict[str, float]:
    """Return the fields of the state that say when a number was last changed."""
    if order.servers_count > subject.ordered_count:
        return {"grown_at_s": now_s}
    if order.servers_count == subject.ordered_count:
        return {}
    return {"spot_returned_at_s" if order.is_spot else "returned_at_s": now_s}


def _accepted(
    subject: order_state.Subject,
    order: calls.ServerOrder,
    checks_fencing: bool,
    now_s: float,
) -> order_state.Subject:
    has_changed = order.servers_count != subject.ordered_count
    return dataclasses.replace(
        subject,
        ordered_count=order.servers_count,
        ordered_at_s=now_s if has_changed else subject.ordered_at_s,
        sent_at_s=now_s,
        is_retried=False,
        consecutive_dry_count=0,
        # Where tokens are checked, this one refuses all earlier calls.
        unanswered=() if checks_fencing else subject.unanswered,
        consecutive_unanswered_count=0,
    )


def _refused(subject: order_state.Subject, now_s: float) -> order_state.Subject:
    """Return a subject that is retried once, with a new token, and then paused.

    A refusal has two causes, an earlier token or no servers; the second try of the same
    order has a new token, which leaves the latter.
    """
    is_second = subject.is_retried and now_s - subject.sent_at_s < RETRY_RETENTION_S
    is_dry = is_second or now_s - subject.refused_at_s < DRY_RETENTION_S
    if not is_dry:
        return dataclasses.replace(subject, sent_at_s=now_s, is_retried=True)
    count = subject.consecutive_dry_count
    pause_s = doubling.pause_s(DRY_PAUSE_S, DRY_PAUSE_MAX_S, count)
    return dataclasses.replace(
        subject,
        sent_at_s=now_s,
        refused_at_s=now_s,
        is_retried=False,
        consecutive_dry_count=count + 1,
        paused_until_s=now_s + pause_s,
    )


def _unanswered(
    subject: order_state.Subject, order: calls.ServerOrder, now_s: float
) -> order_state.Subject:
    count = subject.consecutive_unanswered_count
    pause_s = doubling.pause_s(UNANSWERED_PAUSE_MIN_S, UNANSWERED_PAUSE_MAX_S, count)
    call = order_state.Unanswered(order.servers_count, now_s + LATE_EXECUTION_S)
    others = tuple(
        item for item in subject.unanswered if item.servers_count != order.servers_count
    )
    return dataclasses.replace(
        subject,
        sent_at_s=now_s,
        unanswered=(*others, call),
        consecutive_unanswered_count=count + 1,
        paused_until_s=max(subject.paused_until_s, now_s + pause_s),
    )
