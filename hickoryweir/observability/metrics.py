"""Prometheus metrics of one daemon.

Each daemon has its own :class:`Metrics` and registry; there is no global state.
"""

import dataclasses
import functools
from collections.abc import Iterable

import prometheus_client
from prometheus_client import core as prometheus_core
from prometheus_client import registry as prometheus_registry

from hickoryweir.observability import latencies, logs
from hickoryweir.streams import handshake, liveness

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST


@dataclasses.dataclass(slots=True)
class Metrics:
    """The counters, gauges and histograms of one daemon."""

    registry: prometheus_client.CollectorRegistry
    calls: prometheus_client.Counter
    refusals: prometheus_client.Counter
    retries: prometheus_client.Counter
    attainment: prometheus_client.Counter
    output_tokens: prometheus_client.Counter
    claims: prometheus_client.Counter
    operator_refusals: prometheus_client.Counter
    given_up_connections: prometheus_client.Counter
    configuration_version: prometheus_client.Gauge
    in_flight: prometheus_client.Gauge
    latencies: latencies.Latencies


class LatencyCollector(prometheus_registry.Collector):
    """Exports hdrhistograms as Prometheus summaries."""

    def __init__(self, source: latencies.Latencies) -> None:
        self._source = source

    def collect(self) -> Iterable[prometheus_core.Metric]:
        """Yield one summary family with a sample per class and interval."""
        family = prometheus_core.Metric(
            "hickoryweir_latency_seconds", "Latency by class and interval.", "summary"
        )
        for (class_name, interval), found in self._source.histograms.items():
            labels = {"class": class_name, "interval": str(interval)}
            for quantile in latencies.QUANTILES:
                value_s = self._source.quantile_s(class_name, interval, quantile)
                family.add_sample(
                    family.name, {**labels, "quantile": str(quantile)}, value_s
                )
            total_s = self._source.sums_s[(class_name, interval)]
            family.add_sample(family.name + "_count", labels, found.get_total_count())
            family.add_sample(family.name + "_sum", labels, total_s)
        yield family


class SilentConnectionCollector(prometheus_registry.Collector):
    """Exports how many connections to other processes have ended as silent."""

    def collect(self) -> Iterable[prometheus_core.Metric]:
        """Yield one counter family with a sample per purpose."""
        family = prometheus_core.CounterMetricFamily(
            "hickoryweir_silent_connections",
            "Connections to other processes ended because nothing arrived.",
            labels=["purpose"],
        )
        for purpose in handshake.Purpose:
            family.add_metric([purpose.value], liveness.ended_counts[purpose.value])
        yield family


def make_counter(
    registry: prometheus_client.CollectorRegistry,
    name: str,
    documentation: str,
    *labels: str,
) -> prometheus_client.Counter:
    """Return a registered counter whose name has the project's prefix."""
    return prometheus_client.Counter(
        f"hickoryweir_{name}", documentation, labels, registry=registry
    )


def make_gauge(
    registry: prometheus_client.CollectorRegistry,
    name: str,
    documentation: str,
    *labels: str,
) -> prometheus_client.Gauge:
    """Return a registered gauge whose name has the project's prefix."""
    return prometheus_client.Gauge(
        f"hickoryweir_{name}", documentation, labels, registry=registry
    )


def make_given_up_counter(
    registry: prometheus_client.CollectorRegistry,
) -> prometheus_client.Counter:
    """Return the counter of :func:`record_given_up`."""
    documentation = "Connections closed for bytes."
    return make_counter(registry, "given_up_connections", documentation, "reason")


def record_given_up(
    counter: prometheus_client.Counter, address: str, reason: str, detail: str
) -> None:
    """Count and log a connection that was closed because of its server's bytes.

    Parameters
    ----------
    counter : prometheus_client.Counter
        Made by :func:`make_given_up_counter`.
    address, reason, detail : str
        See :class:`hickoryweir.engines.framing.ResponseConnector`.
    """
    counter.labels(reason).inc()
    fields = logs.Fields(peer=address, reason=reason, detail=detail)
    logs.warning("connection to a server given up", fields)


def make_metrics() -> Metrics:
    """Return the metrics of one daemon, all at zero."""
    registry = prometheus_client.CollectorRegistry()
    counter = functools.partial(make_counter, registry)
    gauge = functools.partial(make_gauge, registry)
    store = latencies.make_latencies()
    registry.register(LatencyCollector(store))
    registry.register(SilentConnectionCollector())
    return Metrics(
        registry=registry,
        calls=counter("calls", "Calls ended, by class and result.", "class", "result"),
        refusals=counter(
            "refusals", "Refusals by class and reason.", "class", "reason"
        ),
        retries=counter(
            "retries", "Further attempts by class and cause.", "class", "cause"
        ),
        attainment=counter(
            "attainment", "Answered calls by class and target met.", "class", "met"
        ),
        output_tokens=counter("output_tokens", "Tokens sent to callers.", "class"),
        claims=counter("claims", "Claim verdicts.", "verdict"),
        operator_refusals=counter(
            "operator_refusals", "Refusals of operators' requests.", "reason"
        ),
        given_up_connections=make_given_up_counter(registry),
        configuration_version=gauge("configuration_version", "Version in force."),
        in_flight=gauge("calls_in_flight", "Calls in flight or queued."),
        latencies=store,
    )


def expose(metrics: Metrics) -> bytes:
    """Return all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest(metrics.registry)
