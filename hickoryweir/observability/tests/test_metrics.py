"""Tests of counters and histograms."""

from hickoryweir.observability import latencies, metrics
from hickoryweir.streams import liveness


def test_a_refusal_is_exposed_with_its_reason():
    values = metrics.make_metrics()
    values.refusals.labels("summary", "shed").inc()
    text = metrics.expose(values).decode()
    assert 'hickoryweir_refusals_total{class="summary",reason="shed"} 1.0' in text


def test_latencies_are_exposed_as_quantiles():
    values = metrics.make_metrics()
    values.latencies.record("summary", latencies.Interval.ANSWER, 0.5)
    text = metrics.expose(values).decode()
    assert 'interval="answer",quantile="0.5"} 0.5' in text
    assert (
        'hickoryweir_latency_seconds_count{class="summary",interval="answer"}' in text
    )


def test_values_out_of_range_are_clamped():
    store = latencies.make_latencies()
    store.record("summary", latencies.Interval.ANSWER, 1e9)
    assert store.quantile_s("summary", latencies.Interval.ANSWER, 0.5) >= 3_500


def test_quantile_without_values_is_zero():
    store = latencies.make_latencies()
    assert store.quantile_s("summary", latencies.Interval.ANSWER, 0.5) == 0.0


def test_connections_that_ended_as_silent_are_exposed_by_purpose(monkeypatch):
    monkeypatch.setitem(liveness.ended_counts, "replica", 2)
    text = metrics.expose(metrics.make_metrics()).decode()
    assert 'hickoryweir_silent_connections_total{purpose="replica"} 2.0' in text
    assert 'hickoryweir_silent_connections_total{purpose="feed"}' in text
