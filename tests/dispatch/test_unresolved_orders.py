"""Test the log lines of orders without any result."""

from builders.workers import ModelFleet, make_step

_OVERDUE_S = 5


def _lose_results_for_a_moment(fleet: ModelFleet) -> None:
    fleet.workers['w-0'].loses_results = True
    fleet.run(1)
    fleet.workers['w-0'].loses_results = False


def test_poll_without_result_is_logged_once() -> None:
    """Guard against a lost poll that no line tells of, or many lines."""
    fleet = ModelFleet(2)
    fleet.run(4)
    fleet.submit('watch', make_step(2, is_long_running=True, max_per_worker=1))
    fleet.run(2)
    _lose_results_for_a_moment(fleet)
    fleet.run(2 * _OVERDUE_S)
    line = fleet.get_decision('order.unresolved')
    assert line.subject == 'w-0'
    assert line.details['order'] == 'poll'
    assert 3 < float(line.details['unresolved_s']) < _OVERDUE_S


def test_start_without_result_names_its_task() -> None:
    """Guard against a run that stands in the log and exists nowhere."""
    fleet = ModelFleet(1)
    fleet.run(4)
    fleet.workers['w-0'].loses_results = True
    fleet.submit('watch', make_step(is_long_running=True))
    fleet.run(_OVERDUE_S)
    lines = fleet.list_decisions('order.unresolved')
    starts = [one for one in lines if one.details['order'] == 'start']
    assert [one.details['task'] for one in starts] == ['watch.0.0.0']


def test_task_whose_start_has_no_result_runs_again() -> None:
    """A run that exists nowhere stood in the log until the term ended."""
    fleet = ModelFleet(1)
    fleet.run(4)
    model = fleet.workers['w-0']
    fleet.submit('watch', make_step(is_long_running=True))
    _lose_results_for_a_moment(fleet)
    model.running.clear()
    fleet.run(2 * _OVERDUE_S)
    assert len(model.running) == 1


def test_worker_whose_poll_has_no_result_is_used_again() -> None:
    """A worker was not polled any more, so that it got no runs."""
    fleet = ModelFleet(1)
    fleet.run(4)
    fleet.submit('watch', make_step(is_long_running=True))
    fleet.run(1)
    _lose_results_for_a_moment(fleet)
    fleet.run(2 * _OVERDUE_S)
    assert len(fleet.workers['w-0'].running) == 1
    fleet.submit('other', make_step(is_long_running=True))
    fleet.run(2)
    assert len(fleet.workers['w-0'].running) == 2


def test_timeouts_are_results() -> None:
    """Guard against a line for each order to a worker that is unreachable."""
    fleet = ModelFleet(2)
    fleet.run(4)
    fleet.submit('watch', make_step(2, is_long_running=True, max_per_worker=1))
    fleet.run(2)
    fleet.workers['w-0'].is_unreachable = True
    fleet.run(2 * _OVERDUE_S)
    assert not fleet.list_decisions('order.unresolved')


def test_results_that_arrived_in_a_pause_come_first() -> None:
    """Guard against false lines after this process was paused.

    The results that arrived meanwhile are handled after the next tick.
    """
    fleet = ModelFleet(2)
    fleet.run(4)
    fleet.submit('watch', make_step(2, is_long_running=True, max_per_worker=1))
    fleet.run(2)
    fleet.now_s += 2 * _OVERDUE_S
    fleet._execute(fleet.dispatcher.tick(fleet.now_s, fleet.now_ms))
    fleet.run(_OVERDUE_S)
    assert not fleet.list_decisions('order.unresolved')
