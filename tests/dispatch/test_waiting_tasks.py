"""Test the log lines and gauges of long-running tasks that wait."""

import pytest

from builders.workers import CORE, POOL, ModelFleet, make_catalog, make_step
from sardinemast.dispatch import LogDecision
from sardinemast.dispatch._long_running_waits import LongRunningWaits
from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._waiting_tasks import WaitingTasks
from sardinemast.jobs._free_capacity import FreeCapacity
from sardinemast.jobs.commands import PutCatalog

_LASTING = make_step(is_long_running=True)
_LINES_PER_S = 20
_REPEAT_S = 5


def _make_fleet(worker_count: int = 2) -> ModelFleet:
    fleet = ModelFleet(worker_count)
    fleet.run(5)
    return fleet


def _drain_workers(fleet: ModelFleet) -> None:
    # A backoff would not keep a long-running task waiting for long.
    for number, _ in enumerate(fleet.workers):
        fleet.drain_worker(number)


def _get_lines(fleet: ModelFleet) -> list[LogDecision]:
    return fleet.list_decisions('task.waits')


def test_withheld_workers_are_counted_by_reason() -> None:
    """Guard against a task that waits beside withheld workers unexplained."""
    fleet = _make_fleet()
    _drain_workers(fleet)
    fleet.submit('watch', _LASTING)
    fleet.run(3)
    line = fleet.get_decision('task.waits')
    assert line.subject == 'watch.0.0.0'
    assert line.details['pool'] == POOL
    assert line.details['millicores'] == CORE
    assert 2 <= float(line.details['waited_s']) < 3
    assert line.details['withheld'] == 2
    assert line.details['withheld_draining'] == 2
    assert line.details['usable'] == 0
    assert line.details['too_full'] == 0


def test_free_capacity_split_over_workers_is_shown() -> None:
    """Guard against a pool that seems to have room, but on no single worker."""
    fleet = _make_fleet()
    fleet.submit('filling', make_step(2, max_per_worker=1))
    fleet.run(1)
    whole_worker = _LASTING.size._replace(millicores=4 * CORE)
    fleet.submit('watch', _LASTING._replace(size=whole_worker))
    fleet.run(3)
    line = fleet.get_decision('task.waits')
    assert line.details['too_full'] == 2
    assert line.details['withheld'] == 0
    assert line.details['free_millicores'] == 6 * CORE
    assert line.details['largest_free_millicores'] == 3 * CORE


def test_team_cap_is_shown() -> None:
    """Guard against a task that waits for its team's cap unexplained."""
    fleet = _make_fleet()
    fleet.commit(PutCatalog(make_catalog(2, cap=CORE), b'{}'))
    fleet.submit('filling', _LASTING)
    fleet.run(1)
    fleet.submit('watch', _LASTING)
    fleet.run(3)
    line = fleet.get_decision('task.waits')
    assert line.details['is_over_cap'] == 1
    assert line.details['usable'] == 2


def test_worker_that_a_step_may_not_use_is_not_usable() -> None:
    """Guard against a limit per worker that looks like an idle worker."""
    fleet = _make_fleet(1)
    fleet.submit('watch', make_step(2, is_long_running=True, max_per_worker=1))
    fleet.run(3)
    line = fleet.get_decision('task.waits')
    assert line.details['not_allowed'] == 1
    assert line.details['usable'] == 0


def test_gauge_counts_tasks_that_wait_for_long() -> None:
    """Guard against a gauge that counts each task from its submission on."""
    fleet = _make_fleet()
    _drain_workers(fleet)
    fleet.submit('watch', make_step(3, is_long_running=True))
    fleet.run(1)
    assert fleet.dispatcher.list_gauges()['long_running_waiting'] == {}
    fleet.run(2)
    waiting = fleet.dispatcher.list_gauges()['long_running_waiting']
    assert waiting == {POOL: 3}


def test_line_is_repeated_after_an_interval() -> None:
    """Guard against a task that is logged at each look."""
    fleet = _make_fleet()
    _drain_workers(fleet)
    fleet.submit('watch', _LASTING)
    fleet.run(2 * _REPEAT_S)
    assert len(_get_lines(fleet)) == 2


def _make_waiting_fleet(task_count: int) -> ModelFleet:
    fleet = _make_fleet()
    _drain_workers(fleet)
    fleet.submit('watch', make_step(task_count, is_long_running=True))
    return fleet


def test_lines_of_a_second_are_bounded() -> None:
    """Guard against lines of many waiting tasks that displace other events.

    Tasks without a line go before those whose line is to be repeated.
    """
    task_count = (_REPEAT_S + 1) * _LINES_PER_S
    fleet = _make_waiting_fleet(task_count)
    lines_before = 0
    for _ in range(_REPEAT_S + 3):
        fleet.run(1)
        assert len(_get_lines(fleet)) - lines_before <= _LINES_PER_S
        lines_before = len(_get_lines(fleet))
    assert len({line.subject for line in _get_lines(fleet)}) == task_count


def test_omitted_lines_are_counted() -> None:
    """Guard against lines that are left out without a trace."""
    fleet = _make_waiting_fleet(2 * _LINES_PER_S)
    fleet.run(_REPEAT_S - 1)
    omitted = [int(one.details['omitted']) for one in _get_lines(fleet)]
    assert sum(omitted) == _LINES_PER_S


def test_no_worker_is_checked_while_nothing_waits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a pass over all workers although no task waits for long.

    Tasks that end by themselves do not count, however long they wait.
    """
    fleet = _make_fleet()
    _drain_workers(fleet)
    fleet.submit('batch', make_step(3))
    fleet.run(1)
    state = fleet.dispatcher._state
    waiting = WaitingTasks(state, LongRunningWaits(), _reject_call)
    monkeypatch.setattr(DispatchState, 'find_withheld_reason', _reject_call)
    monkeypatch.setattr(FreeCapacity, 'iterate_emptiest', _reject_call)
    monkeypatch.setattr(FreeCapacity, 'iterate_fitting', _reject_call)
    state.outputs = []
    for second in range(20):
        waiting.tick(fleet.now_s + second)
    assert state.outputs == []
    assert waiting.count_by_pool() == {}


def _reject_call(*args: object) -> bool:
    raise AssertionError(args)
