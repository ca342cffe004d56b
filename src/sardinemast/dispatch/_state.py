"""What the parts of the dispatcher share."""

from collections.abc import Iterator

from sardinemast.dispatch._events import (
    DispatchOutput,
    LogDecision,
    Propose,
    StopRun,
)
from sardinemast.dispatch._order_times import OrderTimes
from sardinemast.dispatch._pool_load import PoolLoad
from sardinemast.dispatch._settings import DispatchSettings
from sardinemast.dispatch._worker_session import Contact, SentStop
from sardinemast.jobs import (
    Advice,
    Command,
    JobsState,
    MaintenanceStatus,
    StepState,
    TaskKey,
)
from sardinemast.jobs.commands import FinishedRun

_MS = 1000


class DispatchState:
    """Hold the log's state, the contacts and what is gathered of a term.

    ``ends`` is what workers have told and the log does not have yet. With
    ``is_changed`` room or tasks may have come since the last plan. ``moving``
    are the instances that change their pool. ``now_ms`` is the time of day.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self.settings = settings
        self.jobs = JobsState()
        self.term = 0
        self.started_s: float = 0
        self.now_ms = 0
        self.outputs: list[DispatchOutput] = []
        self.contacts: dict[str, Contact] = {}
        self.ends: dict[TaskKey, FinishedRun] = {}
        self.is_changed = True
        self.loads: dict[str, PoolLoad] = {}
        self.order_times = OrderTimes()
        self.moving: set[str] = set()

    def start_term(self, state: JobsState, term: int, now_s: float) -> None:
        """Know nothing but the log."""
        self.jobs = state
        self.term = term
        self.started_s = now_s
        self.contacts.clear()
        self.ends.clear()
        self.is_changed = True
        self.loads = {}
        self.moving.clear()

    @property
    def over_at_s(self) -> float:
        """Give when leases have ended that the leader before has given.

        It may have prolonged one right until its own lease ended, which it
        had when this term began.
        """
        settings = self.settings
        lease_s = settings.lease_ms / _MS / (1 - settings.drift)
        return self.started_s + lease_s + settings.margin_s

    @property
    def settled_at_s(self) -> float:
        """Give when no earlier leader's order for any instance may come."""
        return self.started_s + self.settings.settle_s

    def is_settled(self, instance: str, now_s: float) -> bool:
        """Tell whether no earlier leader's order for an instance may come."""
        if now_s >= self.settled_at_s:
            return True
        # An order for maintenance is repeated until it is answered.
        if self._is_ordered(instance):
            return False
        if self._is_long_past(instance):
            return True
        last_s = self.order_times.get_last_s(instance)
        return now_s >= last_s + self.settings.settle_s

    def list_upkeeps(self, *wanted: MaintenanceStatus) -> set[str]:
        """Give the instances whose maintenance is that far."""
        return {
            item.instance
            for wave in self.jobs.waves.values()
            for item in wave.items
            if item.status in wanted
        }

    def propose(self, command: Command) -> None:
        """Put a command into the log."""
        self.outputs.append(Propose(command))

    def log(self, event: str, subject: str, **details: str | float) -> None:
        """Have a decision logged."""
        self.outputs.append(LogDecision(event, subject, details))

    def get_advice(self, step: StepState) -> Advice | None:
        """Give the policy that a step's queue asks, if there is one."""
        return self.jobs.get_queue(step).advice

    def get_runs(self, worker: str) -> dict[TaskKey, int]:
        """Give the runs that the log has at a worker."""
        return self.jobs.runs.get(worker, {})

    def note_end(self, over: FinishedRun) -> None:
        """Gather an end, if it is that of the task's newest run."""
        step = self.jobs.find_step(over.task)
        run = step.running.get(over.task.position) if step else None
        if run is not None and run.number == over.number:
            self.ends[over.task] = over

    def iterate_steps_on(
        self,
        worker: str,
    ) -> Iterator[tuple[TaskKey, int, StepState]]:
        """Give each task that runs on a worker, its run and its step."""
        for task, number in self.get_runs(worker).items():
            step = self.jobs.find_step(task)
            if step is not None:
                yield task, number, step

    def stop(
        self,
        contact: Contact,
        task: TaskKey,
        number: int,
        now_s: float,
    ) -> None:
        """Have a run stopped; asked too often, nothing is sent."""
        known = contact.stopping.get(task)
        if known is not None and known.number == number:
            if now_s < known.sent_s + self.settings.stop_again_s:
                return
        contact.stopping[task] = SentStop(number, now_s)
        worker = contact.worker.name
        self.log('run.stopped', str(task), run=number, worker=worker)
        self.outputs.append(
            StopRun(
                contact.worker,
                task,
                number,
                contact.fence,
                self.settings.answer_s,
            ),
        )

    def stop_step(self, step: StepState, now_s: float) -> None:
        """Have all runs of a step stopped."""
        for position, run in step.running.items():
            contact = self.contacts.get(run.worker)
            if contact is not None:
                task = step.get_task(position)
                self.stop(contact, task, run.number, now_s)

    def stop_job(self, job_name: str, now_s: float) -> None:
        """Have all runs of a job that is over stopped."""
        job = self.jobs.jobs.get(job_name)
        if job is not None and job.is_over:
            for step in job.iterate_steps():
                self.stop_step(step, now_s)

    def _is_long_past(self, instance: str) -> bool:
        """Tell whether the last order for an instance was long ago, by date.

        A process that starts again has not seen when the log named which
        instance. After all have lost power in a peak, pools would lack room
        for the whole settling time, although the instances that stand by
        were switched off long before. Times of day may be off or jump, so
        that they count only with much to spare.
        """
        noted_ms = self.jobs.last_order_ms.get(instance)
        if noted_ms is None:
            return True
        settings = self.settings
        needed_s = settings.settle_s + settings.clock_doubt_s
        return noted_ms > 0 and self.now_ms >= noted_ms + needed_s * _MS

    def _is_ordered(self, instance: str) -> bool:
        return instance in self.list_upkeeps(MaintenanceStatus.ordered)
