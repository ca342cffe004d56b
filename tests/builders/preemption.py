"""Fleets whose queues of two priorities share a pool, with preemption."""

from builders.workers import (
    CORE,
    QUEUE,
    ModelFleet,
    make_catalog,
    make_step,
)
from sardinemast.dispatch import (
    DispatchSettings,
    PoolPolicy,
    PreemptionPolicy,
)
from sardinemast.jobs import Size, Step, TaskKey
from sardinemast.jobs.commands import PutCatalog

LOW_QUEUE = 'tours'
URGENT = TaskKey('urgent', 0, 0, 0)
POLICY = PreemptionPolicy(enabled=True)
WORKERS = 2
_CORES = 4


def make_settings(policy: PreemptionPolicy = POLICY) -> DispatchSettings:
    """Return settings that keep all workers in the pool."""
    pools = PoolPolicy(opening_share=1)
    return DispatchSettings(pools=pools, preemption=policy)


def make_two_queues(version: int = 2, cap: int = 0) -> PutCatalog:
    """Return a catalog with a further queue of a lower priority."""
    catalog = make_catalog(version, cap=cap)
    low = catalog.queues[0]._replace(
        name=LOW_QUEUE, prefix='/tours/', priority=1
    )
    return PutCatalog(catalog._replace(queues=(*catalog.queues, low)), b'{}')


def make_long_running(task_count: int, cores: int = 1, **changes: int) -> Step:
    """Return a step of long-running tasks."""
    size = Size(cores * CORE, 1)
    return make_step(task_count, size=size, is_long_running=True, **changes)


def start_full_fleet(
    policy: PreemptionPolicy = POLICY,
    *,
    queue: str = LOW_QUEUE,
    step: Step | None = None,
) -> ModelFleet:
    """Return a fleet whose two workers of four cores run eight tasks."""
    fleet = ModelFleet(WORKERS, settings=make_settings(policy), cores=_CORES)
    fleet.commit(make_two_queues())
    fleet.run(1)
    filling = step or make_step(WORKERS * _CORES, estimate_ms=9000)
    fleet.submit('filling', filling, queue=queue)
    fleet.run(0.2)
    assert count_running(fleet, 'filling') == filling.task_count
    return fleet


def submit_urgent(
    fleet: ModelFleet, cores: int = 1, queue: str = QUEUE
) -> None:
    """Submit a job of one task."""
    step = make_step(size=Size(cores * CORE, 1), estimate_ms=3000)
    fleet.submit('urgent', step, queue=queue)


def count_running(fleet: ModelFleet, job: str) -> int:
    """Count the tasks of a job that run on the workers."""
    return sum(
        task.job == job
        for model in fleet.workers.values()
        for task in model.running
    )


def count_preempted(fleet: ModelFleet, job: str = 'filling') -> int:
    """Count how often tasks of a job gave way."""
    step = fleet.state.jobs[job].steps[0][0]
    return sum(map(len, step.preempted.values()))
