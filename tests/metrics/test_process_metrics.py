"""Metrics of a process in the text format."""

from sardinemast.metrics import ProcessMetrics


def test_calls_decisions_and_gauges_are_rendered() -> None:
    """Render counters of calls and decisions, latencies and gauges."""
    metrics = ProcessMetrics()
    metrics.record_call('submit', 'done', 0.02)
    metrics.record_call('submit', 'refused', 0.15)
    metrics.record_decision('run.started')
    metrics.record_decision('run.started')
    metrics.list_gauges = lambda: {'tasks_waiting': {'booking': 7}}
    text = metrics.render().decode()
    assert 'sardinemast_decisions_total{event="run.started"} 2.0' in text
    assert (
        'sardinemast_calls_total{action="submit",outcome="refused"} 1.0' in text
    )
    assert 'sardinemast_call_latency_seconds_count{action="submit"} 2.0' in text
    assert 'sardinemast_tasks_waiting{of="booking"} 7.0' in text


def test_gauges_are_collected_for_each_scrape() -> None:
    """Guard against stale gauges."""
    metrics = ProcessMetrics()
    waiting = {'booking': 1.0}
    metrics.list_gauges = lambda: {'tasks_waiting': waiting}
    metrics.render()
    waiting['booking'] = 5.0
    text = metrics.render().decode()
    assert 'sardinemast_tasks_waiting{of="booking"} 5.0' in text
