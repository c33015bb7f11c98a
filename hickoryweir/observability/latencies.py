"""Latency histograms per class, kept with hdrhistogram.

Values are recorded in seconds and stored in microseconds with two significant
digits, from 10 microseconds to an hour.
"""

import dataclasses
import enum

from hdrh import histogram

US_PER_S = 1_000_000
LOWEST_US = 10
HIGHEST_US = 3_600 * US_PER_S
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.95, 0.99)


class Interval(enum.StrEnum):
    """The interval that a histogram measures."""

    FIRST_TOKEN = "first_token"
    BETWEEN_TOKENS = "between_tokens"
    ANSWER = "answer"
    QUEUED = "queued"
    LONGEST_PAUSE = "longest_pause"


@dataclasses.dataclass(slots=True)
class Latencies:
    """Histograms by class and interval, with the sum of the values."""

    histograms: dict[tuple[str, Interval], histogram.HdrHistogram]
    sums_s: dict[tuple[str, Interval], float]

    def record(self, class_name: str, interval: Interval, value_s: float) -> None:
        """Add one value, clamped to the histogram's range."""
        key = (class_name, interval)
        found = self.histograms.get(key)
        if found is None:
            found = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self.histograms[key] = found
            self.sums_s[key] = 0.0
        value_us = min(max(int(value_s * US_PER_S), LOWEST_US), HIGHEST_US)
        found.record_value(value_us)
        self.sums_s[key] += value_s

    def quantile_s(self, class_name: str, interval: Interval, quantile: float) -> float:
        """Return a quantile in seconds; 0 if nothing was recorded."""
        found = self.histograms.get((class_name, interval))
        if found is None:
            return 0.0
        return found.get_value_at_percentile(quantile * 100) / US_PER_S

    def count(self, class_name: str, interval: Interval) -> int:
        """Return how many values were recorded."""
        found = self.histograms.get((class_name, interval))
        return 0 if found is None else found.get_total_count()


def make_latencies() -> Latencies:
    """Return an empty set of histograms."""
    return Latencies({}, {})
