"""Online estimate of output lengths: a histogram with geometric buckets.

Examples
--------
>>> lengths = make_lengths(100)
>>> for _ in range(200):
...     observe(lengths, 400)
>>> 350 < expected(lengths) < 450
True
>>> remaining(lengths, 1000) >= 1
True
"""

import dataclasses
import math

BUCKET_RATIO = 1.25
BUCKET_COUNT = 64
# Weight of the configured estimate, in samples.
PRIOR_SAMPLES = 8.0
# All weights are halved at this total, so that old samples decay.
HALVE_AT_SAMPLES = 512.0

_LOG_RATIO = math.log(BUCKET_RATIO)
_CENTRES = tuple(BUCKET_RATIO ** (index + 0.5) for index in range(BUCKET_COUNT))


@dataclasses.dataclass(slots=True)
class Lengths:
    """Histogram of output lengths in which older samples decay."""

    counts: list[float]
    total: float
    token_sum: float


def make_lengths(prior_tokens: int) -> Lengths:
    """Return a histogram that starts from the questionnaire's estimate."""
    counts = [0.0] * BUCKET_COUNT
    counts[_bucket(prior_tokens)] = PRIOR_SAMPLES
    return Lengths(counts, PRIOR_SAMPLES, PRIOR_SAMPLES * max(1, prior_tokens))


def observe(lengths: Lengths, tokens: int) -> None:
    """Add the length of one complete answer."""
    if lengths.total >= HALVE_AT_SAMPLES:
        lengths.counts = [count / 2 for count in lengths.counts]
        lengths.total /= 2
        lengths.token_sum /= 2
    lengths.counts[_bucket(tokens)] += 1.0
    lengths.total += 1.0
    lengths.token_sum += max(1, tokens)


def expected(lengths: Lengths) -> float:
    """Return the mean length."""
    return lengths.token_sum / lengths.total


def quantile(lengths: Lengths, share: float) -> float:
    """Return the quantile of the lengths at ``share``."""
    remaining_weight = share * lengths.total
    for index, count in enumerate(lengths.counts):
        remaining_weight -= count
        if remaining_weight <= 0:
            return _CENTRES[index]
    return _CENTRES[-1]


def remaining(lengths: Lengths, tokens: int) -> float:
    """Return the mean number of further tokens after the first ``tokens``."""
    first = _bucket(tokens) if tokens else 0
    weight = 0.0
    total = 0.0
    for index in range(first, BUCKET_COUNT):
        count = lengths.counts[index]
        weight += count
        total += count * _CENTRES[index]
    if weight == 0.0:
        return max(1.0, tokens * 0.5)
    return max(1.0, total / weight - tokens)


def _bucket(tokens: int) -> int:
    if tokens <= 1:
        return 0
    return min(BUCKET_COUNT - 1, int(math.log(tokens) / _LOG_RATIO))
