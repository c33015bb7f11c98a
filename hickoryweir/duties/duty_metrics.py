"""Metrics of the duties of a replica."""

import dataclasses
import functools

import prometheus_client

from hickoryweir.observability import metrics


@dataclasses.dataclass(frozen=True, slots=True)
class DutyMetrics:
    """The metrics.

    Attributes
    ----------
    claims : prometheus_client.Counter
        Claims by outcome: ``granted``, ``unused``, ``failed``.
    calls : prometheus_client.Counter
        Calls by duty and outcome, see :class:`.calls.Outcome`.
    reports : prometheus_client.Counter
        Windows of usage by time: ``on_time``, ``late``, ``given_up``, or
        ``unknown`` without a clock.
    is_holder : prometheus_client.Gauge
        1 while this replica may make calls.
    token : prometheus_client.Gauge
        The newest fencing token in the replicated log.
    last_window : prometheus_client.Gauge
        Number of the last window of usage that was decided.
    """

    claims: prometheus_client.Counter
    calls: prometheus_client.Counter
    reports: prometheus_client.Counter
    is_holder: prometheus_client.Gauge
    token: prometheus_client.Gauge
    last_window: prometheus_client.Gauge


def make_metrics(registry: prometheus_client.CollectorRegistry) -> DutyMetrics:
    """Return the metrics, registered and at zero."""
    counter = functools.partial(metrics.make_counter, registry)
    gauge = functools.partial(metrics.make_gauge, registry)
    return DutyMetrics(
        claims=counter("duty_claims", "Claims of duties.", "outcome"),
        calls=counter("duty_calls", "Calls of the holder.", "duty", "outcome"),
        reports=counter("usage_reports", "Windows of usage.", "time"),
        is_holder=gauge("duty_holder", "Whether this replica may make calls."),
        token=gauge("duty_token", "Newest fencing token."),
        last_window=gauge("usage_last_window", "Last decided window of usage."),
    )
