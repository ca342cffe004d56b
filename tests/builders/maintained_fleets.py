"""Run a model fleet whose instances return from maintenance."""

from builders.workers import ModelFleet
from sardinemast.jobs import StepState, TaskKey

_STEP_S = 0.05
_FIRST_NEW_BOOT_MS = 100


class MaintainedFleet:
    """Run a fleet and measure how long tasks wait beside room for them.

    An instance gets a worker with a new name once its maintenance is over.
    ``longest_waits_s`` holds, by task, the longest time in which the task did
    not run while workers that are up had room for it twice.
    """

    def __init__(self, fleet: ModelFleet) -> None:
        self.fleet = fleet
        self.longest_waits_s: dict[TaskKey, float] = {}
        self._waits_s: dict[TaskKey, float] = {}
        self._boot_ms = _FIRST_NEW_BOOT_MS

    def run(self, seconds: float) -> None:
        """Advance the time."""
        for _ in range(round(seconds / _STEP_S)):
            self._take_down_instances()
            self.fleet.run(_STEP_S)
            self._return_instances()
            self._measure()

    def _take_down_instances(self) -> None:
        for model in self.fleet.workers.values():
            instance = model.worker.instance
            if instance in self.fleet.instances.away_until_s:
                model.running.clear()
                model.is_unreachable = True

    def _return_instances(self) -> None:
        away = self.fleet.instances.away_until_s
        for instance, back_s in tuple(away.items()):
            if self.fleet.now_s >= back_s:
                away.pop(instance)
                self._boot_ms += 1
                self.fleet.replace_worker(instance, self._boot_ms)

    def _measure(self) -> None:
        for step in tuple(self.fleet.state.ready.values()):
            if not step.spec.is_long_running:
                continue
            for position in range(step.spec.task_count):
                self._measure_task(step, step.get_task(position))

    def _measure_task(self, step: StepState, task: TaskKey) -> None:
        is_running = bool(self.fleet.get_running_workers(task))
        if is_running or not self._has_room_twice(step):
            self._waits_s.pop(task, None)
            return
        wait_s = self._waits_s.get(task, 0) + _STEP_S
        self._waits_s[task] = wait_s
        longest_s = self.longest_waits_s.get(task, 0)
        self.longest_waits_s[task] = max(longest_s, wait_s)

    def _has_room_twice(self, step: StepState) -> bool:
        size = step.spec.reserved_size.millicores
        room = 0
        for model in self.fleet.workers.values():
            if not (model.is_unreachable or model.worker.is_draining):
                used = sum(self._get_millicores(task) for task in model.running)
                capacity = model.worker.capacity.millicores
                room += (capacity - used) // size
        return room >= 2

    def _get_millicores(self, task: TaskKey) -> int:
        step = self.fleet.state.find_step(task)
        return step.spec.reserved_size.millicores if step else 0
