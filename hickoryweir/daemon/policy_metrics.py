"""Exports the policy core's counters as Prometheus metrics."""

from collections.abc import Iterable

from prometheus_client import core as prometheus_core
from prometheus_client import registry as prometheus_registry

from hickoryweir.observability import metrics
from hickoryweir.policy import inspection, state

PREFIX = "hickoryweir_policy_"


class DecisionCollector(prometheus_registry.Collector):
    """Exports each counter of the policy core as a metric family."""

    def __init__(self, core: state.Core) -> None:
        self._core = core

    def collect(self) -> Iterable[prometheus_core.Metric]:
        """Yield one counter family per kind of decision."""
        families: dict[str, prometheus_core.Metric] = {}
        for count in inspection.counts(self._core):
            name = PREFIX + count.name
            if name not in families:
                text = f"Decisions of the policy core: {count.name}."
                families[name] = prometheus_core.Metric(name, text, "counter")
            labels = dict(count.labels)
            families[name].add_sample(name + "_total", labels, count.value)
        yield from families.values()


def register_counters(core: state.Core, counters: metrics.Metrics) -> None:
    """Register the policy core's counters with the daemon's metrics."""
    counters.registry.register(DecisionCollector(core))
