"""State shared by the components of the dispatcher."""

from collections.abc import Iterator, Mapping

from sardinemast.dispatch._durations import DurationEstimates
from sardinemast.dispatch._events import (
    DispatchOutput,
    LogDecision,
    Propose,
    StopRun,
)
from sardinemast.dispatch._failing_tasks import FailingTasks
from sardinemast.dispatch._instance_records import InstanceRecords
from sardinemast.dispatch._order_times import OrderTimes
from sardinemast.dispatch._pool_load import PoolLoad
from sardinemast.dispatch._pool_prospects import PoolProspect
from sardinemast.dispatch._preemption import Rank, get_rank
from sardinemast.dispatch._reconcile import has_unrecorded_runs
from sardinemast.dispatch._settings import DispatchSettings
from sardinemast.dispatch._starts_in_flight import StartsInFlight
from sardinemast.dispatch._suspected_workers import SuspectedWorkers
from sardinemast.dispatch._withheld_reasons import WithheldReason
from sardinemast.dispatch._worker_session import SentStop, WorkerSession
from sardinemast.jobs import (
    Advice,
    Command,
    JobsState,
    MaintenanceStatus,
    RunEnd,
    Size,
    StepState,
    TaskKey,
    Worker,
)
from sardinemast.jobs.commands import FinishedRun

_MS = 1000


class DispatchState:
    """Hold the replicated job state and the leader's state of one term.

    ``pending_ends`` holds ends of runs that are not in the log yet.
    ``needs_planning`` is set when tasks or capacity may have been added since
    the last plan. ``moving`` maps each instance that is changing pools to the
    new one. ``now_ms`` is the wall clock time. ``team_shares`` holds, by full
    pool, the millicores of each team as of the last division.
    ``held_workers`` holds the rank of the task that each worker makes room for.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self.settings = settings
        self.jobs = JobsState()
        self.term = 0
        self.started_s: float = 0
        self.now_ms = 0
        self.outputs: list[DispatchOutput] = []
        self.sessions: dict[str, WorkerSession] = {}
        self.pending_ends: dict[TaskKey, FinishedRun] = {}
        self.needs_planning = True
        self.loads: dict[str, PoolLoad] = {}
        self.order_times = OrderTimes()
        self.moving: dict[str, str] = {}
        self.durations = DurationEstimates(settings.learning)
        self.team_shares: dict[str, Mapping[str, float]] = {}
        self.failing_tasks = FailingTasks()
        self.suspected = SuspectedWorkers()
        self.starts_in_flight = StartsInFlight()
        self.instance_records = InstanceRecords(settings.failure_domains)
        self.held_workers: dict[str, Rank] = {}
        self.prospects: dict[str, PoolProspect] = {}

    def start_term(self, state: JobsState, term: int, now_s: float) -> None:
        """Discard everything but the replicated state."""
        self.jobs = state
        self.term = term
        self.started_s = now_s
        self.sessions.clear()
        self.pending_ends.clear()
        self.needs_planning = True
        self.loads = {}
        self.moving.clear()
        self.team_shares = {}
        self.durations.start_term(state.durations.values())
        self.failing_tasks.start_term()
        self.suspected.start_term()
        self.starts_in_flight.clear()
        self.instance_records.start_term(state)
        self.held_workers = {}
        self.prospects = {}

    @property
    def earlier_leases_end_s(self) -> float:
        """Return when all leases granted by earlier leaders have expired.

        An earlier leader may have renewed worker leases until its own lease
        expired, which was before this term started.
        """
        settings = self.settings
        return self.started_s + settings.longest_lease_s + settings.margin_s

    @property
    def settled_at_s(self) -> float:
        """Return when orders of earlier leaders can no longer arrive."""
        return self.started_s + self.settings.settle_s

    def may_order(self, instance: str, now_s: float) -> bool:
        """Check that no order of an earlier leader can arrive any more."""
        if now_s >= self.settled_at_s:
            return True
        # A maintenance order is repeated until it is answered, so the earlier
        # leader may have sent it long after the log recorded it.
        if self._has_open_order(instance):
            return False
        if self._is_last_order_past(instance):
            return True
        last_s = self.order_times.get_last_order_s(instance)
        return now_s >= last_s + self.settings.settle_s

    def list_instances_by_status(self, *wanted: MaintenanceStatus) -> set[str]:
        """Return the instances of waves that have one of the statuses."""
        return {
            item.instance
            for wave in self.jobs.waves.values()
            for item in wave.items
            if item.status in wanted
        }

    def is_usable(
        self,
        session: WorkerSession,
        now_s: float,
        *,
        is_last_resort: bool = False,
    ) -> bool:
        """Check whether new runs may be started on a worker."""
        reason = self.find_withheld_reason(
            session, now_s, is_last_resort=is_last_resort
        )
        return reason is None

    def find_withheld_reason(
        self,
        session: WorkerSession,
        now_s: float,
        *,
        is_last_resort: bool = False,
    ) -> WithheldReason | None:
        """Return the first reason for which a worker gets no new runs."""
        if self.is_evacuated(session.worker):
            return WithheldReason.evacuated
        name = session.worker.name
        if self.suspected.is_withheld(name):
            return WithheldReason.rack_suspected
        has_runs = bool(self.jobs.runs.get(name))
        reason = session.find_withheld_reason(
            now_s, has_runs=has_runs, is_last_resort=is_last_resort
        )
        if reason is not None:
            return reason
        # A later boot is not cordoned until the move is looked at again.
        pool = session.worker.pool
        if self.moving.get(session.worker.instance, pool) != pool:
            return WithheldReason.cordoned
        if has_unrecorded_runs(self.jobs, session):
            return WithheldReason.unrecorded_runs
        return None

    def find_session(self, worker: Worker | None) -> WorkerSession | None:
        """Return the session with a worker, if there is one."""
        return self.sessions.get(worker.name) if worker else None

    def iterate_usable(
        self, pool: str, size: Size, now_s: float
    ) -> Iterator[str]:
        """Yield the usable workers of a pool with free capacity for a size."""
        for name in self.jobs.usage.free.iterate_fitting(pool, size):
            session = self.sessions.get(name)
            if session is not None and self.is_usable(session, now_s):
                yield name

    def is_evacuated(self, worker: Worker) -> bool:
        """Check whether a worker is in an evacuated data centre."""
        return self.jobs.data_centres.is_evacuated(worker.data_centre)

    def is_held(self, step: StepState, worker: Worker) -> bool:
        """Check whether a worker makes room for a task of a higher rank."""
        held_rank = self.held_workers.get(worker.name)
        if held_rank is None:
            return False
        priority = self.jobs.get_queue(step).priority
        return get_rank(priority, step.spec) > held_rank

    def propose(self, command: Command) -> None:
        """Propose a command for the log."""
        self.outputs.append(Propose(command))

    def log(self, event: str, subject: str, **details: str | float) -> None:
        """Write a decision to the process log."""
        self.outputs.append(LogDecision(event, subject, details))

    def get_advice(self, step: StepState) -> Advice | None:
        """Return the settings of the external policy for a step, if any."""
        return self.jobs.get_queue(step).advice

    def get_runs(self, worker: str) -> dict[TaskKey, int]:
        """Return the recorded runs of a worker: run number by task."""
        return self.jobs.runs.get(worker, {})

    def record_end(self, finished_run: FinishedRun) -> None:
        """Queue an end to be recorded, if it is of the task's current run.

        An end that the worker reported is kept: while the log is stalled, its
        lease may expire before the end is recorded, but the worker forgets the
        end once this batch is acknowledged.
        """
        step = self.jobs.find_step(finished_run.task)
        run = step.running.get(finished_run.task.position) if step else None
        if run is None or run.number != finished_run.number:
            return
        queued = self.pending_ends.get(finished_run.task)
        if queued is None or queued.number != finished_run.number:
            self.pending_ends[finished_run.task] = finished_run
        elif queued.end is RunEnd.lost:
            self.pending_ends[finished_run.task] = finished_run

    def iterate_steps_on(
        self,
        worker: str,
    ) -> Iterator[tuple[TaskKey, int, StepState]]:
        """Yield each task on a worker with its run number and step."""
        for task, number in self.get_runs(worker).items():
            step = self.jobs.find_step(task)
            if step is not None:
                yield task, number, step

    def stop_run(
        self,
        session: WorkerSession,
        task: TaskKey,
        number: int,
        now_s: float,
    ) -> None:
        """Send a stop for a run, at most once per ``stop_again_s``."""
        last_stop = session.find_stop(task, number)
        if last_stop is not None:
            if now_s < last_stop.sent_s + self.settings.stop_again_s:
                return
        session.sent_stops[task] = SentStop(number, now_s)
        worker = session.worker.name
        self.log('run.stopped', str(task), run=number, worker=worker)
        self.outputs.append(
            StopRun(
                session.worker,
                task,
                number,
                session.fence,
                self.settings.answer_s,
            ),
        )

    def stop_step(self, step: StepState, now_s: float) -> None:
        """Stop all runs of a step."""
        for position, run in step.running.items():
            session = self.sessions.get(run.worker)
            if session is not None:
                task = step.get_task(position)
                self.stop_run(session, task, run.number, now_s)

    def stop_job(self, job_name: str, now_s: float) -> None:
        """Stop all runs of a job that is over."""
        job = self.jobs.jobs.get(job_name)
        if job is not None and job.is_over:
            for step in job.iterate_steps():
                self.stop_step(step, now_s)

    def _is_last_order_past(self, instance: str) -> bool:
        """Check by wall clock whether the last order can no longer arrive.

        A restarted process does not know when orders were applied, only the
        time that the log records. Without this check, instances would stay
        blocked for ``settle_s`` after all control processes restart.
        """
        last_order_at_ms = self.jobs.last_order_ms.get(instance)
        if last_order_at_ms is None:
            return True
        settings = self.settings
        needed_s = settings.settle_s + settings.clock_doubt_s
        return (
            last_order_at_ms > 0
            and self.now_ms >= last_order_at_ms + needed_s * _MS
        )

    def _has_open_order(self, instance: str) -> bool:
        return instance in self.list_instances_by_status(
            MaintenanceStatus.ordered
        )
