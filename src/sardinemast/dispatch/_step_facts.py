"""Facts of waiting steps that stay the same from plan to plan."""

from typing import NamedTuple

from sardinemast.dispatch._durations import DurationEstimates
from sardinemast.dispatch._job_deadlines import get_deadlines
from sardinemast.jobs import JobsState, JobState, StepState

# Bounds how long a changed estimate or catalog is not seen, and for how long
# steps that have ended are kept.
_KEEP_MS = 1000


class StepFacts(NamedTuple):
    """Hold what the order of a step depends on.

    If the step starts after ``on_time_start_ms``, its job is expected to be
    late; after ``useful_start_ms``, the job will be of no use. If the step ends
    after ``late_finish_ms``, its job is late whenever it started.
    """

    step: StepState
    job: JobState
    pool: str
    millicores: int
    due_ms: float
    useful_until_ms: float
    on_time_start_ms: float
    useful_start_ms: float
    late_finish_ms: float

    def get_usual_rank(self, now_ms: int) -> int:
        """Return the rank that ``get_step_priority`` gives the step."""
        if self.step.spec.is_long_running:
            return 0
        return 2 if now_ms > self.on_time_start_ms else 1


class StepFactsCache:
    """Keep the facts of waiting steps for a short time.

    Deriving them for each waiting step would take most of a plan.
    """

    def __init__(self) -> None:
        self._facts: dict[StepState, StepFacts] = {}
        self._made_ms = 0

    def get(self, step: StepState) -> StepFacts:
        """Return the facts of a step that was listed for this plan."""
        return self._facts[step]

    def list_facts(
        self,
        jobs: JobsState,
        steps: list[StepState],
        durations: DurationEstimates,
        now_ms: int,
    ) -> list[StepFacts]:
        """Return the facts of each step."""
        if not 0 <= now_ms - self._made_ms < _KEEP_MS:
            self._facts.clear()
            self._made_ms = now_ms
        known = self._facts
        for step in steps:
            if step not in known:
                known[step] = _make_facts(jobs.get_job(step), step, durations)
        return [known[wanted] for wanted in steps]


def _make_facts(
    job: JobState, step: StepState, durations: DurationEstimates
) -> StepFacts:
    due_ms, useful_until_ms = get_deadlines(job, step.key.occurrence, durations)
    remaining_ms = durations.get_remaining_ms(job, step.key.step)
    expected_ms = durations.get_expected_ms(job.queue.name, step.spec)
    return StepFacts(
        step,
        job,
        job.queue.pool,
        step.spec.reserved_size.millicores,
        due_ms,
        useful_until_ms,
        due_ms - remaining_ms,
        useful_until_ms - remaining_ms,
        due_ms - remaining_ms + expected_ms,
    )
