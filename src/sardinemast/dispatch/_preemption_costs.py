"""Find the runs that may be preempted, and what stopping them loses."""

from typing import NamedTuple

from sardinemast.dispatch._disruptions import may_stop
from sardinemast.dispatch._preemption import (
    Candidate,
    Loss,
    get_loss,
)
from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._worker_session import WorkerSession
from sardinemast.jobs import Run, Step, StepState, TaskKey

_MS = 1000
_FULL_PERCENT = 100
# A run that was told to stop is not chosen again before this time has passed.
STOP_TIMEOUT_S = 1.0


class _SavedCheckpoint(NamedTuple):
    """Hold a checkpoint of a run and when it was first reported."""

    number: int
    checkpoint: str
    seen_s: float


class CheckpointTimes:
    """Track when the runs on each worker last reported a new checkpoint."""

    def __init__(self) -> None:
        self._saved: dict[str, dict[TaskKey, _SavedCheckpoint]] = {}

    def clear(self) -> None:
        """Discard the runs of the previous term."""
        self._saved.clear()

    def record_report(self, session: WorkerSession, now_s: float) -> None:
        """Record the checkpoints in the latest report of a worker."""
        known = self._saved.get(session.worker.name, {})
        saved: dict[TaskKey, _SavedCheckpoint] = {}
        for task, run in session.reported_runs.items():
            if not run.checkpoint:
                continue
            last = known.get(task)
            if last is None or last[:2] != (run.number, run.checkpoint):
                last = _SavedCheckpoint(run.number, run.checkpoint, now_s)
            saved[task] = last
        self._saved[session.worker.name] = saved

    def get_saved_s(self, worker: str, task: TaskKey, number: int) -> float:
        """Return when the last checkpoint of a run was seen, if any."""
        saved = self._saved.get(worker, {}).get(task)
        if saved is None or saved.number != number:
            return float('-inf')
        return saved.seen_s


def make_candidate(
    state: DispatchState,
    checkpoints: CheckpointTimes,
    step: StepState,
    position: int,
    now_s: float,
) -> Candidate | None:
    """Return a run as a candidate, or ``None`` if it may not be preempted."""
    task = step.get_task(position)
    run = step.running[position]
    session = state.sessions.get(run.worker)
    if session is None or not _is_within_limit(state, step, position):
        return None
    if _is_stopping(session, task, run, now_s):
        return None
    elapsed_s = get_elapsed_s(state, step, position, now_s)
    if elapsed_s is None or not may_stop(state, step, task, now_s):
        return None
    saved_s = checkpoints.get_saved_s(run.worker, task, run.number)
    return Candidate(
        task,
        run.number,
        step.spec.reserved_size,
        get_loss(step.spec),
        _get_lost_work(step.spec, min(elapsed_s, now_s - saved_s)),
    )


def _get_lost_work(step: Step, lost_s: float) -> float:
    # A service continues where it starts again, and best-effort work is not
    # awaited.
    if get_loss(step) in {Loss.best_effort, Loss.service}:
        return 0
    return lost_s * _MS * step.size.millicores


def _is_within_limit(
    state: DispatchState, step: StepState, position: int
) -> bool:
    preempted = step.preempted.get(position, ())
    # A run that was counted may be stopped again if the stop was lost.
    if step.running[position].number in preempted:
        return True
    return len(preempted) < state.settings.preemption.max_per_task


def _is_stopping(
    session: WorkerSession, task: TaskKey, run: Run, now_s: float
) -> bool:
    last_stop = session.find_stop(task, run.number)
    return last_stop is not None and now_s < last_stop.sent_s + STOP_TIMEOUT_S


def get_elapsed_s(
    state: DispatchState,
    step: StepState,
    position: int,
    now_s: float,
) -> float | None:
    """Return how long a run has taken, or ``None`` if it may not exist yet."""
    task = step.get_task(position)
    number, worker = step.running[position]
    session = state.sessions.get(worker)
    if session is None:
        return None
    sent_start = session.sent_starts.get(task)
    if sent_start is not None and sent_start.number == number:
        confirmed_s = sent_start.confirmed_s
        return None if confirmed_s is None else now_s - confirmed_s
    reported = session.reported_runs.get(task)
    if reported is None or reported.number != number:
        return None
    # An earlier leader sent the start, so only the progress is known.
    progressed_s = (
        reported.percent / _FULL_PERCENT * get_expected_s(state, step)
    )
    return max(progressed_s, now_s - state.started_s)


def get_expected_s(state: DispatchState, step: StepState) -> float:
    """Return the expected duration of the tasks of a step."""
    queue = state.jobs.get_queue(step).name
    return state.durations.get_expected_ms(queue, step.spec) / _MS
