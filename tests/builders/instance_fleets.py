"""Simulated fleet whose instances carry out maintenance and moves."""

from typing import Any, NamedTuple

from builders.model_workers import ModelWorker
from builders.workers import (
    MAINTENANCE_S,
    STANDBY,
    ModelFleet,
    PendingOutput,
    make_worker,
)
from sardinemast.dispatch import OrderMaintenance, OrderMove
from sardinemast.jobs import Worker
from sardinemast.jobs.commands import RegisterWorker

# How long a move takes an instance out of service.
MOVE_S = 1.5


class _ExpectedWorker(NamedTuple):
    """A worker that starts on an instance at a given time."""

    worker: Worker
    starts_s: float


class InstanceFleet(ModelFleet):
    """Replace the worker of an instance that is maintained or moved.

    The next worker has a new name, unless ``keeps_names`` is set. A reachable
    worker that the log has forgotten registers again.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self.keeps_names = False
        self._last_boot_ms = 1000
        self._expected: list[_ExpectedWorker] = []
        super().__init__(*args, **kwargs)

    def run(self, seconds: float, step_s: float = 0.05) -> None:
        """Advance the time and start the workers of returning instances."""
        for _ in range(round(seconds / step_s)):
            super().run(step_s, step_s)
            self._start_expected()
            self._register_forgotten()

    def restart_worker(self, name: str) -> None:
        """Restart a worker under its name, without its runs."""
        self._last_boot_ms += 1
        worker = self.workers[name].worker
        self.add_worker(
            worker._replace(boot_ms=self._last_boot_ms, is_draining=False)
        )

    def crash_worker(self, name: str, away_s: float) -> None:
        """End a worker at once; its instance returns after a time."""
        self._expect(self.workers.pop(name), away_s)

    def is_up(self, instance: str) -> bool:
        """Check that no maintenance or move keeps an instance away."""
        return not self._is_away(instance)

    def find_worker(self, instance: str) -> ModelWorker | None:
        """Return the worker of an instance, if it has one."""
        return next(
            (
                model
                for model in self.workers.values()
                if model.worker.instance == instance
            ),
            None,
        )

    def _answer(self, pending: PendingOutput) -> None:
        order = pending.order
        if isinstance(order, OrderMaintenance):
            if order.instance not in self.instances.refused:
                self._take_down(order.instance, MAINTENANCE_S)
        elif isinstance(order, OrderMove):
            self._carry_out_move(order)
        super()._answer(pending)

    def _take_down(self, instance: str, away_s: float) -> None:
        model = self.find_worker(instance)
        if model is not None and self.is_up(instance):
            self.workers.pop(model.worker.name)
            self._expect(model, away_s)

    def _carry_out_move(self, order: OrderMove) -> None:
        model = self.find_worker(order.instance)
        if order.instance in self.instances.standby and order.pool != STANDBY:
            self.instances.standby.remove(order.instance)
            self._expect(_make_standby_model(order), MOVE_S)
        elif model is not None and model.worker.pool != order.pool:
            self.workers.pop(model.worker.name)
            if order.pool == STANDBY:
                self.instances.standby.add(order.instance)
                return
            model.worker = model.worker._replace(pool=order.pool)
            self._expect(model, MOVE_S)

    def _expect(self, model: ModelWorker, away_s: float) -> None:
        self._last_boot_ms += 1
        boot_ms = self._last_boot_ms
        worker = model.worker._replace(boot_ms=boot_ms, is_draining=False)
        if not self.keeps_names:
            worker = worker._replace(name=f'{worker.instance}-{boot_ms}')
        starts_s = self.now_s + away_s
        self.instances.away_until_s[worker.instance] = starts_s
        self._expected.append(_ExpectedWorker(worker, starts_s))

    def _register_forgotten(self) -> None:
        for name, model in self.workers.items():
            is_reachable = not (model.is_unreachable or model.loses_responses)
            if is_reachable and name not in self.state.workers:
                self.commit(RegisterWorker(model.worker))

    def _start_expected(self) -> None:
        expected = self._expected
        self._expected = []
        for one in expected:
            if self.now_s >= one.starts_s:
                self.add_worker(one.worker)
            else:
                self._expected.append(one)


def _make_standby_model(order: OrderMove) -> ModelWorker:
    worker = make_worker(0)._replace(
        name=order.instance,
        address=f'{order.instance}:80',
        pool=order.pool,
        instance=order.instance,
    )
    return ModelWorker(worker)
