"""Expected durations of tasks and of the rest of jobs."""

from sardinemast.jobs import JobState, Step


class DurationEstimates:
    """Estimate durations from what the steps of jobs declare."""

    def get_expected_ms(self, queue: str, step: Step) -> float:
        """Return the expected duration of a task of a step."""
        return step.estimate_ms

    def get_remaining_ms(self, job: JobState, step_number: int) -> float:
        """Return the expected critical path from the start of a step on."""
        return job.critical_paths_ms[step_number]

    def get_total_ms(self, job: JobState) -> float:
        """Return the expected critical path of a whole occurrence."""
        return max(job.critical_paths_ms)
