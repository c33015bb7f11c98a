"""Admission control for prompts: accept now, or refuse with a retry-after time.

Handles more prompts than the engines can prefill in time.  Without a bound each prompt
waits behind all others, none meets its target, and prompts that spill to other servers
make these prefill shared parts again.  A less urgent prompt is refused at a shorter
wait than a more urgent one, so the least urgent prompts are refused first.  Only the
wait before the prompt counts, so long prompts are not refused for their length.
"""

import dataclasses

from hickoryweir.forwarding_policy import prompt_placement
from hickoryweir.routes import model

# A prompt that waits for prefill slows the streams that run at its server, which have
# targets of their own, so it may wait for only this share of its target.
WAIT_SHARE = 0.25
# Each step of a route's urgency extends the allowed wait by this share of the base.
URGENCY_STEP = 0.5
# The urgency of an account orders the prompts of one route, and never puts a less
# urgent route before a more urgent one.
ACCOUNT_STEP = 0.1
ACCOUNT_STEPS_MAX = 4
# After a shorter time, the client would find the same queue again.
RETRY_MIN_S = 0.3
RETRY_MAX_S = 3.0
# Weight of a new sample: the moving average covers about ten requests.
LEARNING_RATE = 0.1
# Refused requests come back over this share of the time until there is room.
RETRY_SPREAD = 0.5
# Clients honour a time up to a third of what they have left.
RETRY_SHARE_MAX = 0.25
FACTOR_MIN = 0.5
FACTOR_MAX = 8.0
# Shorter predicted waits are mostly network latency and say nothing about prefill.
LEARN_ABOVE_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class WaitBounds:
    """Inputs for the longest wait of prompts at a service.

    Attributes
    ----------
    longest_target_s : float
        Longest target of the service's routes with prompts.
    least_urgent : int
        Highest priority number among these routes.
    """

    longest_target_s: float
    least_urgent: int


def make_wait_bounds(table: model.RoutingTable, service_name: str) -> WaitBounds:
    """Return the wait bounds of a service, from the routes that lead to it."""
    routes = [
        route
        for route in table.routes
        if route.has_prompt
        and any(item.service_name == service_name for item in route.destinations)
    ]
    return WaitBounds(
        max((route.target_latency_s for route in routes), default=0.0),
        max((route.priority for route in routes), default=0),
    )


def limit_s(
    bounds: WaitBounds,
    priority: int,
    account_priority: int | None = None,
    share_factor: float = 1.0,
) -> float:
    """Return the longest predicted wait at which a prompt is accepted.

    Parameters
    ----------
    bounds : WaitBounds
        Bounds of the service.
    priority : int
        Priority of the prompt's route.
    account_priority : int, optional
        Priority of its client account, where that has one.
    share_factor : float, optional
        Below 1 for a prompt beyond its account's share.  Of the prompts within their
        shares, the more urgent have the higher limit; those beyond come after all of
        them, ordered by the factor, which ranks an account's urgent prompts first.

    Examples
    --------
    >>> bounds = WaitBounds(longest_target_s=2.0, least_urgent=2)
    >>> [round(limit_s(bounds, priority), 2) for priority in (0, 1, 2, 3)]
    [1.0, 0.75, 0.5, 0.5]
    >>> [round(limit_s(bounds, 2, account), 2) for account in (0, 1, 9)]
    [0.7, 0.65, 0.5]
    >>> [limit_s(bounds, priority, None, 0.5) for priority in (0, 2)]
    [0.25, 0.25]
    """
    if share_factor < 1.0:
        return WAIT_SHARE * bounds.longest_target_s * share_factor
    steps = max(0, bounds.least_urgent - priority)
    account_steps = 0
    if account_priority is not None:
        account_steps = max(0, ACCOUNT_STEPS_MAX - account_priority)
    share = 1.0 + URGENCY_STEP * steps + ACCOUNT_STEP * account_steps
    return WAIT_SHARE * bounds.longest_target_s * share


def predict_wait_s(backlog_tokens_count: int, factor: float) -> float:
    """Return the time that a server needs to prefill its backlog."""
    return factor * backlog_tokens_count / prompt_placement.PREFILL_TOKENS_PER_S


def learn_factor(factor: float, predicted_s: float, measured_s: float) -> float:
    """Return the ratio of measured to predicted prefill time, updated by a sample.

    Examples
    --------
    >>> learn_factor(1.0, 0.5, 1.0)
    1.1
    >>> learn_factor(1.0, 0.01, 1.0)
    1.0
    """
    if predicted_s < LEARN_ABOVE_S:
        return factor
    sample = min(max(measured_s / predicted_s, FACTOR_MIN), FACTOR_MAX)
    return factor + LEARNING_RATE * (sample - factor)


def retry_after_s(wait_s: float, allowed_s: float) -> float:
    """Return the time until half of the allowed wait will be free."""
    return min(max(wait_s - allowed_s / 2, RETRY_MIN_S), RETRY_MAX_S)


def spread_retry_after_s(least_s: float, spread: float, time_left_s: float) -> float:
    """Return a time to come back that differs between requests.

    Parameters
    ----------
    least_s : float
        Time until there is room.
    spread : float
        Number from 0 to 1 of the request.
    time_left_s : float
        Time until the final response is due.

    Examples
    --------
    >>> [spread_retry_after_s(1.0, spread, 8.0) for spread in (0.0, 0.5)]
    [1.0, 1.25]
    >>> spread_retry_after_s(3.0, 0.5, 4.0)
    1.0
    """
    spread_s = least_s * (1.0 + RETRY_SPREAD * spread)
    return max(0.0, min(spread_s, RETRY_SHARE_MAX * time_left_s))
