"""Metrics of a process, as their reader gets them."""

from sardinemast.metrics import ProcessMetrics


def test_calls_decisions_and_current_figures_are_told() -> None:
    """An engineer at night sees what was asked, decided, and what waits."""
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


def test_figures_are_taken_anew_at_each_reading() -> None:
    """A queue that has grown since the last reading shows it."""
    metrics = ProcessMetrics()
    waiting = {'booking': 1.0}
    metrics.list_gauges = lambda: {'tasks_waiting': waiting}
    metrics.render()
    waiting['booking'] = 5.0
    text = metrics.render().decode()
    assert 'sardinemast_tasks_waiting{of="booking"} 5.0' in text
