"""How long work takes at a server now, relative to the usual time: its slowness.

Servers that share their machines are slower or faster than usual for short times.  Such
a server announces its slowness in responses, which a router sees from a given server
only every few seconds; routers also measure it, from the time to the first event and
between events.  Each source is a mean of logarithms, so that a single absurd value
counts little, with a weight that decays with age.  The estimate is the mean of the
sources and of the usual time, weighted: a server of which nothing recent is known is
as fast as usual.

Examples
--------
>>> known = Speed(announced=add_sample(NO_SAMPLES, 3.0, 1.0, 5.0))
>>> [round(estimate(known, NO_SPEED, now_s), 2) for now_s in (5.0, 6.0, 60.0)]
[1.73, 1.14, 1.0]
"""

import dataclasses
import math

from hickoryweir.forwarding_policy import prefill_interference

# Time constant of a sample's weight.  Speeds change many times a second and reports
# of them are 0.1 to 0.2 s old, so only what lasts longer can be acted on.
WINDOW_S = 0.5
# Weight of the usual speed, in samples.
PRIOR_WEIGHT = 1.0
# Machines that are shared are about 0.5 to 4 times as slow as usual; what is far
# outside is a fault of the figure.
SLOWNESS_MIN = 0.1
SLOWNESS_MAX = 20.0
# The estimate stays within these bounds, so that no server gets everything or nothing.
ESTIMATE_MIN = 0.4
ESTIMATE_MAX = 5.0
# A measurement contains waits that the router does not know of.
MEASURED_SAMPLE_WEIGHT = 0.1
# A figure that differs from measurements by more than this factor contradicts them.
CONTRADICTION_FACTOR = 2.5
# Measured weight from which an announced figure can be contradicted.
CONTRADICTION_WEIGHT = 1.0
# What is left of the weight of a contradicted figure.
CONTRADICTED_SHARE = 0.1
# A server that is new or can be reached again counts as slower for this time, so that
# not all routers send it work before the first reports of what it has.
RAMP_S = 2.0
RAMP_FACTOR = 4.0
# Shorter prefills are mostly network latency.
MEASURABLE_S = 0.02
# Samples with less weight are dropped.
WEIGHT_MIN = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Samples:
    """Decaying mean of the logarithms of slowness.

    Attributes
    ----------
    log_sum : float
        Weighted sum of the logarithms.
    weight : float
        Sum of the weights, in samples.
    at_s : float
        Time at which both hold.
    """

    log_sum: float = 0.0
    weight: float = 0.0
    at_s: float = 0.0


NO_SAMPLES = Samples()


@dataclasses.dataclass(frozen=True, slots=True)
class Speed:
    """Samples of a server's slowness, by source."""

    announced: Samples = NO_SAMPLES
    measured: Samples = NO_SAMPLES


NO_SPEED = Speed()


def decay(samples: Samples, now_s: float) -> Samples:
    """Return the samples with the weight that they have at a later time.

    Examples
    --------
    >>> round(decay(Samples(1.0, 1.0, 0.0), WINDOW_S).weight, 3)
    0.368
    """
    if not samples.weight:
        return NO_SAMPLES
    share = math.exp(-max(0.0, now_s - samples.at_s) / WINDOW_S)
    if samples.weight * share < WEIGHT_MIN:
        return NO_SAMPLES
    return Samples(samples.log_sum * share, samples.weight * share, now_s)


def is_plausible(slowness: float | None) -> bool:
    """Return whether a figure can be a server's slowness.

    Examples
    --------
    >>> [is_plausible(value) for value in (1.0, 0.0, 1e9, float("nan"), None)]
    [True, False, False, False, False]
    """
    return slowness is not None and SLOWNESS_MIN <= slowness <= SLOWNESS_MAX


def add_sample(
    samples: Samples, slowness: float | None, weight: float, now_s: float
) -> Samples:
    """Return the samples with another one; an implausible one is left out."""
    if not is_plausible(slowness):
        return samples
    current = decay(samples, now_s)
    return Samples(
        current.log_sum + weight * math.log(slowness), current.weight + weight, now_s
    )


def add_announced(speed: Speed, slowness: float | None, now_s: float) -> Speed:
    """Return what is known after a response that announces a figure."""
    announced = add_sample(speed.announced, slowness, 1.0, now_s)
    return dataclasses.replace(speed, announced=announced)


def add_measured(speed: Speed, slowness: float, now_s: float) -> Speed:
    """Return what is known after a measurement."""
    clipped = min(max(slowness, ESTIMATE_MIN), ESTIMATE_MAX)
    measured = add_sample(speed.measured, clipped, MEASURED_SAMPLE_WEIGHT, now_s)
    return dataclasses.replace(speed, measured=measured)


def merge(first: Samples, second: Samples, now_s: float) -> Samples:
    """Return the samples of two routers together."""
    left, right = decay(first, now_s), decay(second, now_s)
    return Samples(left.log_sum + right.log_sum, left.weight + right.weight, now_s)


def merge_speeds(first: Speed, second: Speed, now_s: float) -> Speed:
    """Return what two routers know together."""
    return Speed(
        merge(first.announced, second.announced, now_s),
        merge(first.measured, second.measured, now_s),
    )


def subtract(total: Speed, part: Speed, now_s: float) -> Speed:
    """Return what the others know of a total, without the part of one router.

    Examples
    --------
    >>> own = Speed(Samples(0.7, 1.0, 0.0))
    >>> subtract(Speed(Samples(0.7, 1.0, 0.0)), own, 0.0) == NO_SPEED
    True
    """
    return Speed(
        _subtract_samples(total.announced, part.announced, now_s),
        _subtract_samples(total.measured, part.measured, now_s),
    )


def _subtract_samples(total: Samples, part: Samples, now_s: float) -> Samples:
    left, right = decay(total, now_s), decay(part, now_s)
    weight = left.weight - right.weight
    if weight < WEIGHT_MIN:
        return NO_SAMPLES
    return Samples(left.log_sum - right.log_sum, weight, now_s)


def is_contradicted(announced: Samples, measured: Samples) -> bool:
    """Return whether measurements show that an announced figure is false.

    Examples
    --------
    >>> slow = Samples(math.log(4.0) * 3.0, 3.0, 0.0)
    >>> is_contradicted(Samples(0.0, 3.0, 0.0), slow), is_contradicted(slow, slow)
    (True, False)
    """
    if not announced.weight or measured.weight < CONTRADICTION_WEIGHT:
        return False
    difference = (
        announced.log_sum / announced.weight - measured.log_sum / measured.weight
    )
    return abs(difference) > math.log(CONTRADICTION_FACTOR)


def estimate(own: Speed, others: Speed, now_s: float) -> float:
    """Return the slowness that a server is expected to have.

    Parameters
    ----------
    own, others : Speed
        What this router knows, and the other routers.
    now_s : float
        Current time, on the clock of the samples.
    """
    if own is NO_SPEED and others is NO_SPEED:
        return 1.0
    announced = merge(own.announced, others.announced, now_s)
    measured = merge(own.measured, others.measured, now_s)
    share = CONTRADICTED_SHARE if is_contradicted(announced, measured) else 1.0
    log_sum = share * announced.log_sum + measured.log_sum
    weight = share * announced.weight + measured.weight + PRIOR_WEIGHT
    return min(max(math.exp(log_sum / weight), ESTIMATE_MIN), ESTIMATE_MAX)


def estimate_announced(own: Speed, others: Speed, now_s: float) -> float:
    """Return the slowness by announced figures alone.

    Rates are learned relative to it: relative to measurements, which are relative to
    the rates, both would drift.
    """
    return estimate(Speed(own.announced), Speed(others.announced), now_s)


def measure_first_event(
    rates: prefill_interference.Rates,
    uncached_tokens_count: int,
    backlog_tokens_count: int,
    tokens_per_event_count: int,
    measured_s: float,
) -> float | None:
    """Return a server's slowness by the time to a first event; None if unknown.

    Parameters
    ----------
    rates : prefill_interference.Rates
        Rates at the usual speed; constants say nothing about a slowness.
    uncached_tokens_count, backlog_tokens_count : int
        Tokens of the prompt, and of others before it, that were to be prefilled.
    tokens_per_event_count : int
        Decode steps before the first event.
    measured_s : float
        Time from sending the request to its first event.
    """
    if not rates.is_learned or backlog_tokens_count:
        return None
    prefill_s = uncached_tokens_count / rates.prefill_tokens_per_s
    usual_s = prefill_s + tokens_per_event_count * rates.step_s
    return measured_s / usual_s if prefill_s >= MEASURABLE_S else None


def measure_pause(
    rates: prefill_interference.Rates, tokens_per_event_count: int, pause_s: float
) -> float | None:
    """Return a server's slowness by a pause between events; None if unknown."""
    if not rates.is_learned or not tokens_per_event_count:
        return None
    return pause_s / (tokens_per_event_count * rates.step_s)


def ramp_factor(age_s: float) -> float:
    """Return the factor by which a server of this age counts as slower.

    Examples
    --------
    >>> [ramp_factor(age_s) for age_s in (0.0, 1.0, 2.0, 100.0)]
    [4.0, 2.5, 1.0, 1.0]
    """
    left_share = min(max(1.0 - age_s / RAMP_S, 0.0), 1.0)
    return 1.0 + (RAMP_FACTOR - 1.0) * left_share
