"""Critical paths through the steps of a job."""

from collections.abc import Sequence
from typing import TypeVar

from sardinemast.jobs._records import Step

_Duration = TypeVar('_Duration', int, float)


def compute_critical_paths_ms(steps: tuple[Step, ...]) -> tuple[int, ...]:
    """Return the length of the declared critical path from each step on."""
    return compute_longest_chains(steps, [step.estimate_ms for step in steps])


def compute_longest_chains(
    steps: tuple[Step, ...],
    durations: Sequence[_Duration],
) -> tuple[_Duration, ...]:
    """Return the longest sum of durations from each step to the end."""
    chains = list(durations)
    for number in reversed(range(len(steps))):
        for needed in steps[number].depends_on:
            chain = durations[needed] + chains[number]
            chains[needed] = max(chains[needed], chain)
    return tuple(chains)
