"""Learned durations by key, with fallback from fine to coarse keys."""

from collections.abc import Iterable
from functools import lru_cache
from typing import NamedTuple

from sardinemast.dispatch._duration_histogram import (
    DECLARED,
    Distribution,
    DurationHistogram,
)
from sardinemast.dispatch._settings import LearningPolicy
from sardinemast.jobs import (
    STAGE_MAX,
    DurationKey,
    DurationSummary,
    Step,
    drop_excess_keys,
)

# Bounds the levels and answers that are kept for keys in use.
_KEYS_CACHED = 1024
# Answers stay the same while no ratio has moved by more, so that the paths of
# waiting jobs need not be computed again.
_TOLERANCE = 0.02


class LearnedRatio(NamedTuple):
    """Hold the ratio of a key, and whether it is stable."""

    ratio: float
    is_stable: bool


class DurationTable:
    """Hold the histograms of a bounded number of keys.

    A key falls back to its coarser key as if that had shown ``prior_ends`` of
    its ends, and the key of a queue falls back to the declared durations.
    """

    def __init__(self, policy: LearningPolicy) -> None:
        self._policy = policy
        self._histograms: dict[DurationKey, DurationHistogram] = {}
        self._noted_changes: dict[DurationKey, int] = {}
        self._answers: dict[DurationKey, LearnedRatio] = {}
        self._quantiles: dict[tuple[DurationKey, float], float] = {}

    def restore(self, summaries: Iterable[DurationSummary]) -> None:
        """Replace everything by summaries from the log."""
        self._histograms.clear()
        self._noted_changes.clear()
        self._answers.clear()
        self._quantiles.clear()
        for summary in summaries:
            self._use(summary.key).restore(summary)

    def list_uses(self, key: DurationKey) -> list[DurationHistogram]:
        """Return the histograms that an end of a key belongs to."""
        return [self._use(one) for one in _list_levels(key)]

    def refresh(self) -> bool:
        """Let answers follow new ends; return whether ratios changed."""
        self._quantiles.clear()
        has_changed = len(self._answers) > _KEYS_CACHED or any(
            _differ(answer, self._learn_ratio(key))
            for key, answer in self._answers.items()
        )
        if has_changed:
            self._answers.clear()
        return has_changed

    def get_failure_share(self, key: DurationKey) -> float:
        """Return the share of runs that fail by their task's own fault."""
        histogram = self._histograms.get(key)
        return histogram.failure_share if histogram else 0

    def get_ratio(self, key: DurationKey) -> LearnedRatio:
        """Return the expected ratio of actual to declared durations."""
        answer = self._answers.get(key)
        if answer is None:
            answer = self._learn_ratio(key)
            self._answers[key] = answer
        return answer

    def get_quantile(self, key: DurationKey, quantile: float) -> float:
        """Return the ratio that this share of the tasks does not exceed."""
        ratio = self._quantiles.get((key, quantile))
        if ratio is None:
            ratio = _find_quantile(self._blend_distribution(key), quantile)
            self._quantiles[key, quantile] = ratio
        return ratio

    def take_changed(self, count: int) -> list[DurationSummary]:
        """Return summaries of keys with new ends, least recently taken first.

        Each is returned again only after further ends.
        """
        changed = [
            key
            for key, histogram in self._histograms.items()
            if histogram.changes != self._noted_changes.get(key, 0)
        ]
        places = {key: place for place, key in enumerate(self._noted_changes)}
        changed.sort(key=lambda key: places.get(key, -1))
        return [self._take(key) for key in changed[:count]]

    def _take(self, key: DurationKey) -> DurationSummary:
        histogram = self._histograms[key]
        self._noted_changes.pop(key, None)
        self._noted_changes[key] = histogram.changes
        return histogram.summarise(key)

    def _use(self, key: DurationKey) -> DurationHistogram:
        histogram = self._histograms.pop(key, None)
        if histogram is not None:
            self._histograms[key] = histogram
            return histogram
        histogram = DurationHistogram()
        self._histograms[key] = histogram
        drop_excess_keys(self._histograms)
        for dropped in self._noted_changes.keys() - self._histograms.keys():
            self._noted_changes.pop(dropped)
        return histogram

    def _learn_ratio(self, key: DurationKey) -> LearnedRatio:
        ratio: float = 1
        ends: float = 0
        prior = self._policy.prior_ends
        for level in reversed(_list_levels(key)):
            histogram = self._histograms.get(level)
            ends = histogram.ends if histogram else 0
            known = ends * histogram.ratio if histogram else 0
            ratio = (known + prior * ratio) / (ends + prior)
        return LearnedRatio(ratio, ends >= self._policy.deadline_ends)

    def _blend_distribution(self, key: DurationKey) -> Distribution:
        blended = DECLARED
        for level in reversed(_list_levels(key)):
            histogram = self._histograms.get(level)
            if histogram is not None and histogram.ends:
                own = histogram.ends / (
                    histogram.ends + self._policy.prior_ends
                )
                shares = histogram.get_distribution()
                blended = {
                    ratio: own * shares.get(ratio, 0)
                    + (1 - own) * blended.get(ratio, 0)
                    for ratio in (*shares, *blended)
                }
        return blended


def make_key(queue: str, step: Step) -> DurationKey:
    """Return the key of a step.

    The stage stands for the number of the step: it is the lowest that its
    dependencies allow, so that the step alone decides it.
    """
    stage = max(step.depends_on) + 1 if step.depends_on else 0
    return DurationKey(queue, step.image, min(stage, STAGE_MAX))


@lru_cache(maxsize=_KEYS_CACHED)
def _list_levels(key: DurationKey) -> tuple[DurationKey, ...]:
    """Return a key and its coarser keys, the finest first."""
    of_queue = DurationKey(key.queue)
    if key.image:
        return (key, DurationKey(key.queue, key.image), of_queue)
    return (key, of_queue)


def _differ(known: LearnedRatio, current: LearnedRatio) -> bool:
    change = abs(current.ratio - known.ratio)
    has_moved = change > _TOLERANCE * known.ratio
    return has_moved or current.is_stable != known.is_stable


def _find_quantile(distribution: Distribution, quantile: float) -> float:
    share: float = 0
    for ratio in sorted(distribution):
        share += distribution[ratio]
        if share >= quantile:
            return ratio
    return max(distribution)
