"""Orders for an earlier boot of a worker that reach its later boot.

The clock of the later boot begins anew, so that a lease which ends at a time of
the former clock lasts as long as a worker allows. Then the worker is cut off.
"""

from collections.abc import Callable

import pytest

from builders.model_workers import ModelWorker
from builders.workers import ModelFleet, make_step, make_worker
from sardinemast.dispatch import StartRun
from sardinemast.jobs import TaskKey

_TASK = TaskKey('job', 0, 0, 0)
# By then the clock of a first boot shows more than the longest lease.
_IDLE_S = 20.0
_STEP_S = 0.05
# How long the later boot answers before it is cut off.
_HEARD_S = 1.5
# Twice the longest lease and the longest delay of an order together.
_WATCHED_S = 30.0

rates = pytest.mark.parametrize('rate', [0.98, 1])


def _make_fleet(rate: float) -> ModelFleet:
    fleet = ModelFleet(worker_count=0)
    for number in range(2):
        fleet.add_worker(make_worker(number), rate)
    fleet.run(_IDLE_S)
    return fleet


def _send_start(fleet: ModelFleet) -> StartRun:
    """Submit a task and return its start, which is under way."""
    fleet.submit('job', make_step())
    return fleet.started[0]


def _restart(fleet: ModelFleet, start: StartRun) -> ModelWorker:
    """Restart the worker of a start, which has not announced itself yet."""
    return fleet.restart_silently(int(start.worker.name[-1]))


def _start_on_later_boot(fleet: ModelFleet) -> ModelWorker:
    """Let a worker restart while a start is under way, and execute it."""
    later = _restart(fleet, _send_start(fleet))
    fleet.run(_STEP_S)
    assert _TASK in later.running
    return later


def _check_runs_once(
    fleet: ModelFleet, cut_off: ModelWorker, task: TaskKey = _TASK
) -> None:
    """Check that a task runs on one worker at a time, and again in the end."""
    for _ in range(round(_WATCHED_S / _STEP_S)):
        fleet.run(_STEP_S)
        assert len(fleet.get_running_workers(task)) <= 1
    assert fleet.get_running_workers(task) not in ([], [cut_off.worker.name])


@rates
def test_start_taken_by_a_later_boot_that_answers_and_is_cut_off(
    *, rate: float
) -> None:
    """Guard against a second run while the stray start's lease lasts."""
    fleet = _make_fleet(rate)
    later = _start_on_later_boot(fleet)
    fleet.announce(later)
    fleet.run(_HEARD_S)
    later.is_unreachable = True
    _check_runs_once(fleet, later)


@rates
@pytest.mark.parametrize('is_announced', [True, False])
@pytest.mark.parametrize('is_answered', [True, False])
def test_start_taken_by_a_later_boot_that_is_cut_off_at_once(
    *, rate: float, is_announced: bool, is_answered: bool
) -> None:
    """Guard against a second run beside one of a boot never heard."""
    fleet = _make_fleet(rate)
    later = _restart(fleet, _send_start(fleet))
    later.loses_responses = not is_answered
    fleet.run(_STEP_S)
    assert _TASK in later.running
    if is_announced:
        fleet.announce(later)
    later.is_unreachable = True
    _check_runs_once(fleet, later)


def _lose_leader_heard(fleet: ModelFleet, later: ModelWorker) -> None:
    """Lose the leader; the next one hears the worker before it is cut off."""
    fleet.run(_HEARD_S / 2)
    fleet.elect()
    fleet.run(_HEARD_S / 2)
    later.is_unreachable = True


def _lose_leader_unheard(fleet: ModelFleet, later: ModelWorker) -> None:
    """Lose the leader; the worker is cut off before the next one polls it."""
    fleet.run(_HEARD_S)
    later.is_unreachable = True
    fleet.elect()


def _lose_leader_after_cut(fleet: ModelFleet, later: ModelWorker) -> None:
    """Lose the leader some time after it stops to hear the worker."""
    fleet.run(_HEARD_S)
    later.is_unreachable = True
    fleet.run(1)
    fleet.elect()


@rates
@pytest.mark.parametrize(
    'lose_leader',
    [_lose_leader_heard, _lose_leader_unheard, _lose_leader_after_cut],
)
def test_start_taken_by_a_later_boot_whose_leader_is_lost(
    *, rate: float, lose_leader: Callable[[ModelFleet, ModelWorker], None]
) -> None:
    """Guard against a second run by a leader that did not send the first."""
    fleet = _make_fleet(rate)
    later = _start_on_later_boot(fleet)
    fleet.announce(later)
    lose_leader(fleet, later)
    _check_runs_once(fleet, later)
