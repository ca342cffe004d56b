"""Learn durations from the ends of runs and note them in the log."""

from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._worker_session import WorkerSession
from sardinemast.jobs import (
    SUMMARIES_MAX,
    DurationKey,
    DurationSummary,
    RunEnd,
    StepState,
    TaskKey,
)
from sardinemast.jobs.commands import FinishedRun, NoteDurations

_MS = 1000
_NOTE_INTERVAL_S = 1.0
_LOG_INTERVAL_S = 60.0
# Fewer ends of a key say little, and are not worth a line in the log.
_LOGGED_ENDS_MIN = 50


class DurationLearner:
    """Pass the ends of runs to the estimates and propose their summaries."""

    def __init__(self, state: DispatchState) -> None:
        self._state = state
        self._noted_s = float('-inf')
        self._logged_s: dict[DurationKey, float] = {}

    def record_ends(
        self,
        session: WorkerSession,
        ends: list[FinishedRun],
        now_s: float,
    ) -> None:
        """Learn from the runs that a worker reports as ended."""
        if not self._state.durations.is_learning:
            return
        for finished_run in ends:
            step = self._state.jobs.find_step(finished_run.task)
            if step is None or step.spec.is_long_running:
                continue
            if finished_run.end is RunEnd.done:
                self._record_success(session, finished_run, step, now_s)
            elif finished_run.end is RunEnd.failed:
                self._record_failure(session, finished_run.task, step, now_s)

    def tick(self, now_s: float) -> None:
        """Refresh the estimates, and propose changed summaries when due."""
        if not self._state.durations.is_learning:
            return
        self._state.durations.refresh(now_s)
        if now_s < self._noted_s + _NOTE_INTERVAL_S:
            return
        self._noted_s = now_s
        self._state.failing_tasks.forget_jobs(self._state.jobs.live)
        summaries = self._state.durations.take_changed(SUMMARIES_MAX)
        if summaries:
            self._state.propose(NoteDurations(tuple(summaries)))
        for summary in summaries:
            self._log(summary, now_s)

    def _record_success(
        self,
        session: WorkerSession,
        finished_run: FinishedRun,
        step: StepState,
        now_s: float,
    ) -> None:
        task = finished_run.task
        state = self._state
        state.failing_tasks.record_success(
            task, step.spec.image, session.worker.name, now_s
        )
        start = session.sent_starts.get(task)
        if start is None or start.number != finished_run.number:
            return
        # The start of a run that an earlier leader sent is not known.
        if start.confirmed_s is None or not _is_typical(step, task, session):
            return
        # Runs on a worker that is slow itself say nothing about their image.
        if now_s >= session.backoff.until_s:
            state.durations.record_end(
                state.jobs.get_queue(step).name,
                step.spec,
                (now_s - start.confirmed_s) * _MS,
                now_s,
            )

    def _record_failure(
        self,
        session: WorkerSession,
        task: TaskKey,
        step: StepState,
        now_s: float,
    ) -> None:
        state = self._state
        if not state.failing_tasks.record_failure(
            task, step, session.worker.name, now_s
        ):
            return
        queue = state.jobs.get_queue(step).name
        state.durations.record_failure(queue, step.spec, now_s)

    def _log(self, summary: DurationSummary, now_s: float) -> None:
        last_s = self._logged_s.get(summary.key, float('-inf'))
        if summary.ends < _LOGGED_ENDS_MIN or now_s < last_s + _LOG_INTERVAL_S:
            return
        self._logged_s.pop(summary.key, None)
        self._logged_s[summary.key] = now_s
        self._forget_logged(now_s)
        self._state.log(
            'durations.learned',
            summary.key.queue,
            image=summary.key.image,
            stage=summary.key.stage,
            ratio=round(summary.ratio, 2),
            ends=summary.ends,
        )

    def _forget_logged(self, now_s: float) -> None:
        # The oldest come first.
        for key, logged_s in tuple(self._logged_s.items()):
            if now_s < logged_s + _LOG_INTERVAL_S:
                return
            self._logged_s.pop(key)


def _is_typical(step: StepState, task: TaskKey, session: WorkerSession) -> bool:
    """Check that a run did the whole task, where its data is."""
    spec = step.spec
    # Members of a gang wait for each other, and a run that resumed from a
    # checkpoint did only the rest.
    if (
        spec.is_gang
        or not spec.estimate_ms
        or task.position in step.checkpoints
    ):
        return False
    return spec.data_rack in {'', session.worker.rack}
