"""Prefill rate and decode step of a service's servers, learned from measurements.

A prompt without known backlog before it gives a sample of the prefill rate, and a pause
between events one of the decode step, each divided by its server's slowness.  Many
samples contain waits for prompts that the router does not know of yet, which make them
slower than the server is, so a quantile on the fast side is used.  Samples are counted
in histograms, which are additive: replicas add those of all routers, so that all
routers learn the same within a second.  Without enough samples, the constants of
:mod:`hickoryweir.forwarding_policy.prefill_interference` hold.
"""

import dataclasses
import itertools
import math

from hickoryweir.forwarding_policy import prefill_interference

# Samples from which the learned rates are used.
SAMPLES_MIN = 40.0
# Each sample reduces the weight of the earlier ones by this share.
DECAY_SHARE = 0.002
# Bounds of what is believed: a quarter of the constant, and six times as fast.
RATE_MIN_TOKENS_PER_S = prefill_interference.PREFILL_TOKENS_PER_S / 4
RATE_MAX_TOKENS_PER_S = prefill_interference.PREFILL_TOKENS_PER_S * 6
STEP_MIN_S = 0.001
STEP_MAX_S = 0.05
# Relative width of a bin; the error of a quantile is at most half of it.
BIN_RATIO = 1.15
# Quantile of the rates, counted from the fast side.
RATE_QUANTILE = 0.1
# A step beside prefill is part of the usual pause, so the median counts.
STEP_QUANTILE = 0.5
# Prompts with fewer tokens show the network's latency rather than prefill.
SAMPLE_TOKENS_MIN_COUNT = 2_000


def _bins_count(least: float, most: float) -> int:
    return math.ceil(math.log(most / least) / math.log(BIN_RATIO)) + 1


RATE_BINS_COUNT = _bins_count(RATE_MIN_TOKENS_PER_S, RATE_MAX_TOKENS_PER_S)
STEP_BINS_COUNT = _bins_count(STEP_MIN_S, STEP_MAX_S)


# Number of sums in `Histograms.forecasts`.
FORECAST_SUMS_COUNT = 5
# Variance of the estimates' logarithms below which the slope is not significant.
FORECAST_SPREAD_MIN = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class Histograms:
    """Decaying counts of samples of one service, by bin, the fastest bin first.

    Attributes
    ----------
    rates, steps : tuple of float
        Samples of the prefill rate and of the decode step.
    forecasts : tuple of float
        Over announced figures x and the estimates e that were known before, as
        logarithms: their number and the sums of x, e, x times e, and e squared.
    """

    rates: tuple[float, ...] = (0.0,) * RATE_BINS_COUNT
    steps: tuple[float, ...] = (0.0,) * STEP_BINS_COUNT
    forecasts: tuple[float, ...] = (0.0,) * FORECAST_SUMS_COUNT


NO_SAMPLES = Histograms()


def _count(bins: tuple[float, ...], ratio: float) -> tuple[float, ...]:
    """Return the bins after a sample that is `ratio` times as slow as the fastest."""
    number = round(math.log(max(ratio, 1.0)) / math.log(BIN_RATIO))
    counted = [(1.0 - DECAY_SHARE) * count for count in bins]
    counted[min(number, len(counted) - 1)] += 1.0
    return tuple(counted)


def add_prompt(
    samples: Histograms,
    tokens_count: int,
    usual_s: float,
    tokens_per_event_count: int,
    rates: prefill_interference.Rates,
) -> Histograms:
    """Return the samples with the time to the first event of a prompt.

    Parameters
    ----------
    samples : Histograms
        The samples so far.
    tokens_count : int
        Tokens that were prefilled.
    usual_s : float
        Time to the first event, divided by the server's slowness.
    tokens_per_event_count : int
        Decode steps before the first event.
    rates : prefill_interference.Rates
        Rates in force, of which the decode step is subtracted.
    """
    prefill_s = usual_s - tokens_per_event_count * rates.step_s
    if tokens_count < SAMPLE_TOKENS_MIN_COUNT or prefill_s <= 0.0:
        return samples
    ratio = RATE_MAX_TOKENS_PER_S * prefill_s / tokens_count
    return dataclasses.replace(samples, rates=_count(samples.rates, ratio))


def add_step(samples: Histograms, usual_step_s: float) -> Histograms:
    """Return the samples with the duration of a decode step, at the usual speed."""
    steps = _count(samples.steps, usual_step_s / STEP_MIN_S)
    return dataclasses.replace(samples, steps=steps)


def add(first: Histograms, second: Histograms) -> Histograms:
    """Return the sums of the counts of two routers."""
    return Histograms(
        tuple(map(sum, zip(first.rates, second.rates, strict=True))),
        tuple(map(sum, zip(first.steps, second.steps, strict=True))),
        tuple(map(sum, zip(first.forecasts, second.forecasts, strict=True))),
    )


def add_forecast(samples: Histograms, expected: float, announced: float) -> Histograms:
    """Return the samples with a figure, and the slowness that was expected of it."""
    log_e, log_x = math.log(expected), math.log(announced)
    added = (1.0, log_x, log_e, log_x * log_e, log_e * log_e)
    forecasts = tuple(
        (1.0 - DECAY_SHARE) * known + new
        for known, new in zip(samples.forecasts, added, strict=True)
    )
    return dataclasses.replace(samples, forecasts=forecasts)


def forecast_share(samples: Histograms) -> float:
    """Return the share of an estimate's logarithm that later figures confirm.

    It is the slope of the line through (estimate, next figure): near 1 where speeds
    last, near 0 where they have changed again before the estimate is used.

    Examples
    --------
    >>> lasting = changing = NO_SAMPLES
    >>> for number in range(100):
    ...     expected = (0.7, 1.4)[number % 2]
    ...     lasting = add_forecast(lasting, expected, expected)
    ...     changing = add_forecast(changing, expected, (0.7, 1.4)[number // 2 % 2])
    >>> round(forecast_share(lasting), 2), round(forecast_share(changing), 2)
    (1.0, 0.0)
    """
    count, sum_x, sum_e, sum_xe, sum_ee = samples.forecasts
    if count < SAMPLES_MIN:
        return 1.0
    mean_x, mean_e = sum_x / count, sum_e / count
    spread = sum_ee / count - mean_e**2
    if spread < FORECAST_SPREAD_MIN:
        return 1.0
    slope = (sum_xe / count - mean_x * mean_e) / spread
    return min(max(slope, 0.0), 1.0)


def _quantile_ratio(bins: tuple[float, ...], quantile: float) -> float | None:
    """Return how many times slower than the fastest bin the quantile is."""
    total = sum(bins)
    if total < SAMPLES_MIN:
        return None
    for number, reached in enumerate(itertools.accumulate(bins)):
        if reached >= quantile * total:
            return BIN_RATIO**number
    return None


def learn(samples: Histograms) -> prefill_interference.Rates:
    """Return the rates that the samples show, or the constants.

    Examples
    --------
    >>> samples, known = NO_SAMPLES, prefill_interference.DEFAULT_RATES
    >>> for number in range(60):
    ...     usual_s = 7 * known.step_s + 4_000 / 100_000.0
    ...     samples = add_prompt(samples, 4_000, usual_s, 7, known)
    >>> rates = learn(samples)
    >>> 0.93 < rates.prefill_tokens_per_s / 100_000 < 1.07, rates.is_learned
    (True, True)
    >>> learn(NO_SAMPLES) == prefill_interference.DEFAULT_RATES
    True
    """
    rate_ratio = _quantile_ratio(samples.rates, RATE_QUANTILE)
    if rate_ratio is None:
        return prefill_interference.DEFAULT_RATES
    step_ratio = _quantile_ratio(samples.steps, STEP_QUANTILE)
    step_s = prefill_interference.DECODE_STEP_S
    if step_ratio is not None:
        step_s = min(STEP_MIN_S * step_ratio, STEP_MAX_S)
    rate = max(RATE_MAX_TOKENS_PER_S / rate_ratio, RATE_MIN_TOKENS_PER_S)
    return prefill_interference.Rates(rate, step_s, is_learned=True)
