"""Instances: which pool each is in, and the worker that it runs now."""

from collections.abc import Callable, Iterator

from sardinemast.dispatch import (
    InstancesListed,
    ListedInstance,
)
from sardinemast.jobs import Size, Worker
from sardinemast.model._clock import VirtualClock
from sardinemast.model._patterns import STANDBY_POOL, DayPattern
from sardinemast.model._workers import ModelRun, ModelWorker

_MS = 1000
_MIB = 1024 * 1024


class ModelInstance:
    """Hold one instance; slow or failing, so are its workers."""

    def __init__(self, name: str, pool: str, rack: str) -> None:
        self.name = name
        self.pool = pool
        self.rack = rack
        self.is_up = True
        self.is_down = False
        self.slowness: float = 1
        self.is_failing = False
        self.worker: ModelWorker | None = None

    def note_back(self) -> None:
        """Note that the instance has power again."""
        self.is_down = False


class Instances:
    """Hold all instances and their workers, and what they cost."""

    def __init__(
        self,
        day: DayPattern,
        clock: VirtualClock,
        announce: Callable[[Worker], None],
    ) -> None:
        self.workers: dict[str, ModelWorker] = {}
        self.moves = 0
        self.worker_seconds: float = 0
        self.lost_core_s: float = 0
        self._day = day
        self._clock = clock
        self._announce = announce
        self._boots = 0
        self.all = {one.name: one for one in _make_instances(day)}

    def start_all(self) -> None:
        """Have the first worker of each instance announce itself."""
        for instance in self.all.values():
            self.start_worker(instance)

    def note_passed(self, passed_s: float) -> None:
        """Charge for the instances that are on while the day lasts."""
        if 0 <= self._clock.now_s < self._day.length_s:
            on = sum(one.pool != STANDBY_POOL for one in self.all.values())
            self.worker_seconds += on * passed_s

    def list_all(self, asked_s: float) -> InstancesListed:
        """Give the list as whoever runs the instances gives it."""
        return InstancesListed(
            tuple(
                ListedInstance(one.name, one.pool, one.is_up, one.is_down)
                for one in self.all.values()
            ),
            asked_s,
        )

    def move(self, name: str, pool: str) -> bool:
        """Move an instance; all that runs on it ends."""
        instance = self.all[name]
        if instance.pool == pool:
            return True
        if not instance.is_up:
            return False
        self.moves += 1
        instance.pool = pool
        self.restart(instance, self._day.move_s)
        return True

    def maintain(self, name: str) -> bool:
        """Maintain an instance; all that runs on it ends."""
        instance = self.all[name]
        if not instance.is_up:
            return False
        self.restart(instance, self._day.upkeep_s)
        return True

    def restart(self, instance: ModelInstance, away_s: float) -> None:
        """End an instance's worker, and start the next one after a while."""
        self.end_worker(instance)
        instance.is_up = False

        def come_back() -> None:
            instance.is_up = True
            self.start_worker(instance)

        self._clock.call_later(away_s, come_back)

    def start_worker(self, instance: ModelInstance) -> None:
        """Have a new worker of an instance announce itself."""
        if instance.pool == STANDBY_POOL or instance.worker is not None:
            return
        self._boots += 1
        cores = self._day.worker_cores
        worker = Worker(
            f'w-{self._boots}',
            self._boots,
            f'10.0.0.1:{self._boots}',
            instance.pool,
            'dc-1',
            instance.rack,
            ('a', instance.rack),
            Size(cores * _MS, self._day.worker_memory_mib * _MIB),
            instance.name,
        )
        model = ModelWorker(worker, self._clock.now_s)
        model.slowness = instance.slowness
        model.is_failing = instance.is_failing
        instance.worker = model
        self.workers[worker.name] = model
        self._announce(worker)

    def end_worker(self, instance: ModelInstance) -> None:
        """End the worker of an instance, and all that it runs."""
        model = instance.worker
        if model is None:
            return
        for run in model.running.values():
            self.note_lost(run)
        model.running.clear()
        model.is_dark = True
        self.workers.pop(model.worker.name)
        instance.worker = None

    def note_lost(self, run: ModelRun) -> None:
        """Count the work of a run that has to be done again."""
        if run.ends_s < float('inf'):
            worked_s = self._clock.now_s - run.begun_s
            self.lost_core_s += worked_s * run.millicores / _MS


def _make_instances(day: DayPattern) -> Iterator[ModelInstance]:
    names = [queue.pool for queue in day.queues for _ in range(queue.workers)]
    names.extend(STANDBY_POOL for _ in range(day.standby))
    for place, pool in enumerate(names):
        rack = place // day.workers_a_rack
        yield ModelInstance(f'm-{place}', pool, f'r-{rack}')
