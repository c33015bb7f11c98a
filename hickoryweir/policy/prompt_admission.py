"""Whether a prompt is taken now or told when to come back.

Answers more prompts than the engines read in time: without a bound each prompt waits
behind all others, none is in time, and parts are read again where prompts spill.  A
less urgent prompt is refused at a shorter wait than a more urgent one, so the least
urgent kind gives way first, and by the wait before it alone, so long prompts are not
refused for their length.
"""

import dataclasses

from hickoryweir.policy import prompt_placement
from hickoryweir.routes import model

# A prompt that waits to be read slows the streams that run at its server, each of
# which must end in its own time; so it may wait for a fifth of its target only.
WAIT_SHARE = 0.25
# Each step of urgency is worth half as much more in waiting.
URGENCY_STEP = 0.5
# Shorter pauses bring the client back into the same queue.
RETRY_MIN_S = 0.3
RETRY_MAX_S = 3.0
# A sample of the measured waits counts for about ten requests.
LEARNING_RATE = 0.1
FACTOR_MIN = 0.5
FACTOR_MAX = 8.0
# Shorter predicted waits are mostly network and say nothing of reading.
LEARN_ABOVE_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class WaitBounds:
    """How long prompts may wait at a service.

    Attributes
    ----------
    longest_target_s : float
        Longest target of the service's routes with prompts.
    least_urgent : int
        Highest priority number among them.
    """

    longest_target_s: float
    least_urgent: int


def make_wait_bounds(table: model.RoutingTable, service_name: str) -> WaitBounds:
    """Return the waits of a service, from the routes that lead to it."""
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


def limit_s(bounds: WaitBounds, priority: int) -> float:
    """Return the longest predicted wait at which a prompt is taken.

    Examples
    --------
    >>> bounds = WaitBounds(longest_target_s=2.0, least_urgent=2)
    >>> [round(limit_s(bounds, priority), 2) for priority in (0, 1, 2, 3)]
    [1.0, 0.75, 0.5, 0.5]
    """
    steps = max(0, bounds.least_urgent - priority)
    return WAIT_SHARE * bounds.longest_target_s * (1.0 + URGENCY_STEP * steps)


def predict_wait_s(backlog_tokens_count: int, factor: float) -> float:
    """Return how long a server needs to read what waits before a new prompt."""
    return factor * backlog_tokens_count / prompt_placement.PREFILL_TOKENS_PER_S


def learn_factor(factor: float, predicted_s: float, measured_s: float) -> float:
    """Return how much longer reading takes than predicted, with one sample more.

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
    """Return when half of the allowed wait will be free again."""
    return min(max(wait_s - allowed_s / 2, RETRY_MIN_S), RETRY_MAX_S)
