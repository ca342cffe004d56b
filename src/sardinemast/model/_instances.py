"""Simulated instances, their pools and their current workers."""

from collections.abc import Callable, Iterator

from sardinemast.dispatch import (
    InstancesListed,
    ListedInstance,
)
from sardinemast.jobs import Size, Worker
from sardinemast.model._clock import VirtualClock
from sardinemast.model._workers import SimulatedRun, SimulatedWorker
from sardinemast.model._workload import STANDBY_POOL, DayPattern

_MS = 1000
_MIB = 1024 * 1024


class SimulatedInstance:
    """Hold an instance; its workers are slow or failing if it is.

    ``is_up`` is false while it restarts, ``is_down`` true while it lacks
    power.
    """

    def __init__(self, name: str, pool: str, rack: str) -> None:
        self.name = name
        self.pool = pool
        self.rack = rack
        self.is_up = True
        self.is_down = False
        self.slowness: float = 1
        self.is_failing = False
        self.worker: SimulatedWorker | None = None

    def restore_power(self) -> None:
        """Record that the instance has power again."""
        self.is_down = False


class Instances:
    """Hold all instances and their workers, and count what they cost."""

    def __init__(
        self,
        day: DayPattern,
        clock: VirtualClock,
        register: Callable[[Worker], None],
    ) -> None:
        self.workers: dict[str, SimulatedWorker] = {}
        self.move_count = 0
        self.worker_seconds: float = 0
        self.lost_core_s: float = 0
        self._day = day
        self._clock = clock
        self._register = register
        self._boot_count = 0
        self.by_name = {one.name: one for one in _make_instances(day)}

    def start_workers(self) -> None:
        """Start a worker on each instance outside the standby pool."""
        for instance in self.by_name.values():
            self.start_worker(instance)

    def record_elapsed(self, elapsed_s: float) -> None:
        """Add the worker seconds of the instances outside standby."""
        if 0 <= self._clock.now_s < self._day.duration_s:
            count = sum(
                one.pool != STANDBY_POOL for one in self.by_name.values()
            )
            self.worker_seconds += count * elapsed_s

    def list_instances(self, asked_s: float) -> InstancesListed:
        """Return the list of instances as the platform reports it."""
        return InstancesListed(
            tuple(
                ListedInstance(one.name, one.pool, one.is_up, one.is_down)
                for one in self.by_name.values()
            ),
            asked_s,
        )

    def move(self, name: str, pool: str) -> bool:
        """Move an instance to a pool, which ends its worker and its runs.

        Return whether the move is accepted.
        """
        instance = self.by_name[name]
        if instance.pool == pool:
            return True
        if not instance.is_up:
            return False
        self.move_count += 1
        instance.pool = pool
        self.restart(instance, self._day.move_duration_s)
        return True

    def maintain(self, name: str) -> bool:
        """Maintain an instance, which ends its worker and its runs.

        Return whether the order is accepted.
        """
        instance = self.by_name[name]
        if not instance.is_up:
            return False
        self.restart(instance, self._day.maintenance_duration_s)
        return True

    def restart(self, instance: SimulatedInstance, downtime_s: float) -> None:
        """End the instance's worker and start a new one after a downtime."""
        self.end_worker(instance)
        instance.is_up = False

        def finish_restart() -> None:
            instance.is_up = True
            self.start_worker(instance)

        self._clock.call_later(downtime_s, finish_restart)

    def start_worker(self, instance: SimulatedInstance) -> None:
        """Start and register a worker unless on standby or already running."""
        if instance.pool == STANDBY_POOL or instance.worker is not None:
            return
        self._boot_count += 1
        cores = self._day.worker_cores
        registration = Worker(
            f'w-{self._boot_count}',
            self._boot_count,
            f'10.0.0.1:{self._boot_count}',
            instance.pool,
            'dc-1',
            instance.rack,
            ('a', instance.rack),
            Size(cores * _MS, self._day.worker_memory_mib * _MIB),
            instance.name,
        )
        worker = SimulatedWorker(registration, self._clock.now_s)
        worker.slowness = instance.slowness
        worker.is_failing = instance.is_failing
        instance.worker = worker
        self.workers[registration.name] = worker
        self._register(registration)

    def end_worker(self, instance: SimulatedInstance) -> None:
        """End the instance's worker and all its runs."""
        worker = instance.worker
        if worker is None:
            return
        for run in worker.running.values():
            self.record_lost_work(run)
        worker.running.clear()
        worker.is_unreachable = True
        self.workers.pop(worker.registration.name)
        instance.worker = None

    def record_lost_work(self, run: SimulatedRun) -> None:
        """Add the core seconds of a run that ended before its task was done."""
        if run.ends_at_s < float('inf'):
            elapsed_s = self._clock.now_s - run.started_at_s
            self.lost_core_s += elapsed_s * run.millicores / _MS


def _make_instances(day: DayPattern) -> Iterator[SimulatedInstance]:
    pools = [
        queue.pool for queue in day.queues for _ in range(queue.worker_count)
    ]
    pools.extend(STANDBY_POOL for _ in range(day.standby_count))
    for index, pool in enumerate(pools):
        rack = index // day.workers_per_rack
        yield SimulatedInstance(f'm-{index}', pool, f'r-{rack}')
