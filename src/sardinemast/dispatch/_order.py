"""Order in which steps get room."""

from functools import lru_cache

from sardinemast.jobs import JobState, Step, StepState

_CHAINS_KEPT = 4096


def get_order(
    job: JobState,
    step: StepState,
    now_ms: int,
) -> tuple[float, ...]:
    """Give what a step is sorted by; the smallest starts first.

    Within a priority, lasting tasks come first: they earn all the time that
    they run. Then comes what can still be done in time, the earliest
    deadline first, and last what is late already.
    """
    chains = get_chains_ms(job.request.steps)
    allowed_ms = job.queue.stretch * max(chains) + job.queue.target_ms
    due_ms = _get_begin_ms(job, step) + allowed_ms
    is_late = now_ms + chains[step.key.step] > due_ms
    rank = 0
    if not step.step.is_lasting:
        rank = 2 if is_late else 1
    return (job.queue.priority, rank, due_ms, job.log_index, step.key.step)


@lru_cache(_CHAINS_KEPT)
def get_chains_ms(steps: tuple[Step, ...]) -> tuple[int, ...]:
    """Give for each step the longest chain of work that begins with it."""
    chains = [step.estimate_ms for step in steps]
    for number in reversed(range(len(steps))):
        for needed in steps[number].depends_on:
            chain_ms = steps[needed].estimate_ms + chains[number]
            chains[needed] = max(chains[needed], chain_ms)
    return tuple(chains)


def _get_begin_ms(job: JobState, step: StepState) -> int:
    request = job.request
    if not request.occurrences:
        return job.submitted_ms
    return request.first_due_ms + step.key.occurrence * request.interval_ms
