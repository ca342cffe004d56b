"""Critical paths through the steps of a job."""

from sardinemast.jobs._records import Step


def compute_critical_paths_ms(steps: tuple[Step, ...]) -> tuple[int, ...]:
    """Return the length of the critical path from each step on."""
    chains = [step.estimate_ms for step in steps]
    for number in reversed(range(len(steps))):
        for needed in steps[number].depends_on:
            chain_ms = steps[needed].estimate_ms + chains[number]
            chains[needed] = max(chains[needed], chain_ms)
    return tuple(chains)
