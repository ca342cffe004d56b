"""Workers whose place another one claims."""

import pytest

from builders.workers import (
    POOL,
    ModelFleet,
    make_catalog,
    make_step,
    make_worker,
)
from sardinemast.dispatch import WorkerContested
from sardinemast.jobs import TaskKey
from sardinemast.jobs.commands import PutCatalog

_TASK = TaskKey('job', 0, 0, 0)
# A lease of 5 s on a clock that is 2% slow, and the margin.
_LEASE_S = 5.6


def _run_task(fleet: ModelFleet) -> str:
    """Start a long task and return the name of its worker."""
    fleet.run(2)
    fleet.submit('job', make_step())
    fleet.run(1)
    return fleet.get_running_workers(_TASK)[0]


def test_run_goes_on_while_its_worker_answers() -> None:
    """Guard against a second run beside one that goes on."""
    fleet = ModelFleet(2)
    name = _run_task(fleet)
    for _ in range(30):
        fleet.deliver(WorkerContested(name))
        fleet.run(0.5)
    assert len(fleet.started) == 1
    assert fleet.get_running_workers(_TASK) == [name]


def test_run_on_a_contested_worker_ends_with_its_lease() -> None:
    """Guard against a second run while a silent worker still has a lease."""
    fleet = ModelFleet(2)
    name = _run_task(fleet)
    fleet.workers[name].is_unreachable = True
    fleet.deliver(WorkerContested(name))
    running = []
    for _ in range(140):
        fleet.run(0.05)
        running.append(len(fleet.get_running_workers(_TASK)))
    assert max(running) == 1
    assert running[-1] == 1
    assert len(fleet.started) == 2


@pytest.mark.parametrize('is_there', [True, False])
def test_idle_worker_is_forgotten_only_if_it_is_gone(*, is_there: bool) -> None:
    """Guard against a worker that is lost, or whose place stays taken."""
    fleet = ModelFleet(2)
    fleet.run(_LEASE_S)
    fleet.workers['w-0'].is_unreachable = not is_there
    fleet.deliver(WorkerContested('w-0'))
    fleet.run(1)
    assert ('w-0' in fleet.state.workers) == is_there


def test_worker_that_answers_late_is_kept() -> None:
    """Guard against a worker that is forgotten before it could answer."""
    fleet = ModelFleet(1)
    fleet.run(_LEASE_S)
    fleet.workers['w-0'].is_unreachable = True
    fleet.deliver(WorkerContested('w-0'))
    fleet.workers['w-0'].is_unreachable = False
    fleet.run(2)
    assert 'w-0' in fleet.state.workers


def test_contested_worker_gets_no_start_until_it_answers() -> None:
    """Guard against a start on a worker that may have been replaced."""
    fleet = ModelFleet(1)
    fleet.run(2)
    fleet.is_held = True
    fleet.submit('job', make_step())
    fleet.deliver(WorkerContested('w-0'))
    fleet.is_held = False
    fleet.commit_held()
    assert fleet.started == []
    fleet.run(1)
    assert fleet.get_running_workers(_TASK) == ['w-0']


@pytest.mark.parametrize('is_busy', [True, False])
def test_worker_without_a_pool_is_kept_while_it_has_runs(
    *, is_busy: bool
) -> None:
    """Guard against runs that end since their pool leaves the catalog."""
    fleet = ModelFleet(1)
    fleet.run(2)
    if is_busy:
        fleet.submit('job', make_step())
        fleet.run(1)
    catalog = make_catalog(2)
    pools = tuple(one for one in catalog.pools if one.name != POOL)
    fleet.commit(PutCatalog(catalog._replace(queues=(), pools=pools), b'{}'))
    fleet.run(3)
    assert ('w-0' in fleet.state.workers) == is_busy
    assert bool(fleet.get_running_workers(_TASK)) == is_busy
    assert make_worker(0).pool == POOL
