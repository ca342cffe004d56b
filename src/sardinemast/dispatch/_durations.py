"""Expected durations of tasks and of the rest of jobs."""

from collections.abc import Iterable

from sardinemast.dispatch._duration_table import DurationTable, make_key
from sardinemast.dispatch._settings import LearningPolicy
from sardinemast.jobs import (
    DurationSummary,
    JobState,
    Step,
    compute_longest_chains,
)

# Estimates follow new ends this often, so that the paths of waiting jobs are
# computed once for several plans.
_REFRESH_INTERVAL_S = 0.25
# Bounds the paths that are kept, also of jobs that have ended.
_PATHS_MAX = 20_000


_JobId = tuple[int, str]


class DurationEstimates:
    """Estimate durations from what steps declare and how long runs took."""

    def __init__(self, policy: LearningPolicy) -> None:
        self.is_learning = policy.enabled
        self._policy = policy
        self._table = DurationTable(policy)
        self._paths_ms: dict[_JobId, tuple[float, ...]] = {}
        self._totals_ms: dict[_JobId, float] = {}
        self._refreshed_s = float('-inf')

    def start_term(self, summaries: Iterable[DurationSummary]) -> None:
        """Start from what earlier leaders have put into the log."""
        self._table.restore(summaries if self.is_learning else ())
        self._forget_paths()

    def record_end(
        self, queue: str, step: Step, actual_ms: float, now_s: float
    ) -> None:
        """Learn from a run that succeeded."""
        for histogram in self._table.list_uses(make_key(queue, step)):
            histogram.add_end(step.estimate_ms, actual_ms, now_s)

    def record_failure(self, queue: str, step: Step, now_s: float) -> None:
        """Learn from a run that failed by its task's own fault."""
        for histogram in self._table.list_uses(make_key(queue, step)):
            histogram.add_failure(now_s)

    def refresh(self, now_s: float) -> None:
        """Let the estimates follow the ends recorded since."""
        if now_s >= self._refreshed_s + _REFRESH_INTERVAL_S:
            self._refreshed_s = now_s
            is_full = len(self._paths_ms) > _PATHS_MAX
            if self._table.refresh() or is_full:
                self._forget_paths()

    def take_changed(self, count: int) -> list[DurationSummary]:
        """Return the summaries that are to be put into the log."""
        return self._table.take_changed(count)

    def get_expected_ms(self, queue: str, step: Step) -> float:
        """Return the expected duration of a task of a step."""
        if not self.is_learning:
            return step.estimate_ms
        key = make_key(queue, step)
        return step.estimate_ms * self._table.get_ratio(key).ratio

    def get_quantile_ms(self, queue: str, step: Step, quantile: float) -> float:
        """Return the duration that this share of a step's tasks keeps to."""
        if not self.is_learning:
            return step.estimate_ms
        key = make_key(queue, step)
        return step.estimate_ms * self._table.get_quantile(key, quantile)

    def get_failure_share(self, queue: str, step: Step) -> float:
        """Return the share of runs that fail by their task's own fault."""
        return self._table.get_failure_share(make_key(queue, step))

    def get_remaining_ms(self, job: JobState, step_number: int) -> float:
        """Return the expected critical path from the start of a step on."""
        if not self.is_learning:
            return job.critical_paths_ms[step_number]
        return self._get_paths_ms(job)[step_number]

    def get_total_ms(self, job: JobState) -> float:
        """Return the critical path that the deadline of a job allows for.

        It is as declared unless learned ratios of all steps are stable.
        """
        if not (self.is_learning and self._policy.deadline_ends):
            return max(job.critical_paths_ms)
        total_ms = self._totals_ms.get(_get_id(job))
        if total_ms is None:
            paths_ms: tuple[float, ...] = job.critical_paths_ms
            if self._is_stable(job):
                paths_ms = self._get_paths_ms(job)
            total_ms = max(paths_ms)
            self._totals_ms[_get_id(job)] = total_ms
        return total_ms

    def _is_stable(self, job: JobState) -> bool:
        queue = job.queue.name
        return all(
            step.is_long_running
            or self._table.get_ratio(make_key(queue, step)).is_stable
            for step in job.request.steps
        )

    def _get_paths_ms(self, job: JobState) -> tuple[float, ...]:
        paths_ms = self._paths_ms.get(_get_id(job))
        if paths_ms is None:
            steps = job.request.steps
            queue = job.queue.name
            paths_ms = compute_longest_chains(
                steps, [self.get_expected_ms(queue, step) for step in steps]
            )
            self._paths_ms[_get_id(job)] = paths_ms
        return paths_ms

    def _forget_paths(self) -> None:
        self._paths_ms.clear()
        self._totals_ms.clear()


def _get_id(job: JobState) -> _JobId:
    # Names may be used again, and jobs that are not in the log yet share an
    # index.
    return (job.log_index, job.name)
