"""Steps whose runs have known durations, for estimates that learn."""

from collections.abc import Iterator
from random import Random

from builders.workers import QUEUE, SETTINGS, ModelFleet, make_step
from sardinemast.dispatch import LearningPolicy
from sardinemast.dispatch._durations import DurationEstimates
from sardinemast.jobs import Step

LEARNING = LearningPolicy(enabled=True)
DECLARED_MS = 500


def make_learned_step(image: str = 'a', stage: int = 0) -> Step:
    """Return a step of an image, with the declared duration."""
    return make_step(
        estimate_ms=DECLARED_MS,
        image=image,
        depends_on=(stage - 1,) if stage else (),
    )


class LearningRun:
    """Feed estimates with ends at a constant rate."""

    def __init__(
        self, policy: LearningPolicy = LEARNING, ends_per_s: float = 60
    ) -> None:
        self.estimates = DurationEstimates(policy)
        self.now_s: float = 0
        self._ends_per_s = ends_per_s

    def learn(
        self,
        seconds: float,
        ratios: Iterator[float],
        step: Step | None = None,
    ) -> None:
        """Record ends whose durations have these ratios to the declared."""
        learned_step = step or make_learned_step()
        for _ in range(round(seconds * self._ends_per_s)):
            self.now_s += 1 / self._ends_per_s
            actual_ms = DECLARED_MS * next(ratios)
            self.estimates.record_end(
                QUEUE, learned_step, actual_ms, self.now_s
            )
        self.now_s += 1
        self.estimates.refresh(self.now_s)

    def get_ratio(self, step: Step | None = None) -> float:
        """Return the expected over the declared duration of a step."""
        found = step or make_learned_step()
        return self.estimates.get_expected_ms(QUEUE, found) / DECLARED_MS


def draw_ratios(
    mean: float, *, tail_share: float = 0, seed: int = 1
) -> Iterator[float]:
    """Yield ratios around a mean; tasks of the tail take seven times more."""
    rng = Random(seed)
    while True:
        tail = 7 if rng.random() < tail_share else 1
        yield mean * rng.uniform(0.7, 1.3) * tail


def make_learning_fleet(worker_count: int = 2) -> ModelFleet:
    """Return a fleet whose leader learns durations."""
    fleet = ModelFleet(
        worker_count, settings=SETTINGS._replace(learning=LEARNING)
    )
    fleet.run(1)
    return fleet


def run_to_end(fleet: ModelFleet, name: str, step: Step, run_s: float) -> None:
    """Submit a job and end its runs with success after a time."""
    fleet.submit(name, step)
    fleet.run(run_s)
    end_runs(fleet, name, 'done')


def end_runs(
    fleet: ModelFleet, name: str, result: str, checkpoint: str = ''
) -> None:
    """End the runs of a job, and wait until the log has the ends."""
    for model in fleet.workers.values():
        for task in tuple(model.running):
            if task.job == name:
                model.end(task, result, checkpoint)
    fleet.run(0.1)
