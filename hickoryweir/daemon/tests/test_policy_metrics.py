"""Export of the policy core's counters on ``/metrics``."""

from hickoryweir.daemon import policy_metrics
from hickoryweir.observability import metrics
from hickoryweir.policy import core, examples, settings


def test_wasted_tokens_and_dispatches_are_exposed():
    policy_core = core.make_core(settings.CoreSettings("vm-1", "a"), examples.small())
    counters = metrics.make_metrics()
    policy_metrics.register_counters(policy_core, counters)
    core.handle(policy_core, examples.arrival("r1"), 0.0)
    policy_core.counters.wasted_tokens["crashed"] += 7
    text = metrics.expose(counters).decode()
    assert "hickoryweir_policy_dispatches_total 1.0" in text
    assert 'hickoryweir_policy_wasted_tokens_total{cause="crashed"} 7.0' in text
