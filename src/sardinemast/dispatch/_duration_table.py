"""Learned durations by key, with fallback from fine to coarse keys."""

from collections.abc import Iterable

from sardinemast.dispatch._duration_histogram import (
    DECLARED,
    Distribution,
    DurationHistogram,
)
from sardinemast.jobs import (
    ANY_STAGE,
    STAGE_MAX,
    DurationKey,
    DurationSummary,
    Step,
    drop_excess_keys,
)


class DurationTable:
    """Hold the histograms of a bounded number of keys.

    A key falls back to its coarser key as if that had shown ``prior_ends`` of
    its ends, and the key of a queue falls back to the declared durations.
    """

    def __init__(self, prior_ends: float) -> None:
        self._prior_ends = prior_ends
        self._histograms: dict[DurationKey, DurationHistogram] = {}
        self._noted_changes: dict[DurationKey, int] = {}
        self._ratios: dict[DurationKey, float] = {}
        self._quantiles: dict[tuple[DurationKey, float], float] = {}

    def restore(self, summaries: Iterable[DurationSummary]) -> None:
        """Replace everything by summaries from the log."""
        self._histograms.clear()
        self._noted_changes.clear()
        self.forget_answers()
        for summary in summaries:
            self._use(summary.key).restore(summary)

    def list_uses(self, key: DurationKey) -> list[DurationHistogram]:
        """Return the histograms that an end of a key belongs to."""
        return [self._use(one) for one in _list_levels(key)]

    def forget_answers(self) -> None:
        """Let ratios and quantiles follow the ends added since."""
        self._ratios.clear()
        self._quantiles.clear()

    def get_ends(self, key: DurationKey) -> float:
        """Return the decayed number of ends of a key."""
        histogram = self._histograms.get(key)
        return histogram.ends if histogram else 0

    def get_failure_share(self, key: DurationKey) -> float:
        """Return the share of runs that fail by their task's own fault."""
        histogram = self._histograms.get(key)
        return histogram.failure_share if histogram else 0

    def get_ratio(self, key: DurationKey) -> float:
        """Return the expected ratio of actual to declared durations."""
        ratio = self._ratios.get(key)
        if ratio is None:
            ratio = self._blend_ratio(key)
            self._ratios[key] = ratio
        return ratio

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

    def _blend_ratio(self, key: DurationKey) -> float:
        ratio: float = 1
        prior = self._prior_ends
        for level in reversed(_list_levels(key)):
            histogram = self._histograms.get(level)
            if histogram is not None:
                ends = histogram.ends
                ratio = (ends * histogram.ratio + prior * ratio) / (
                    ends + prior
                )
        return ratio

    def _blend_distribution(self, key: DurationKey) -> Distribution:
        blended = DECLARED
        for level in reversed(_list_levels(key)):
            histogram = self._histograms.get(level)
            if histogram is not None and histogram.ends:
                own = histogram.ends / (histogram.ends + self._prior_ends)
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
    stage = max(step.depends_on, default=-1) + 1
    return DurationKey(queue, step.image, min(stage, STAGE_MAX))


def _list_levels(key: DurationKey) -> list[DurationKey]:
    """Return a key and its coarser keys, the finest first."""
    levels = [key, key._replace(stage=ANY_STAGE), DurationKey(key.queue)]
    return levels if key.image else [key, DurationKey(key.queue)]


def _find_quantile(distribution: Distribution, quantile: float) -> float:
    share: float = 0
    for ratio in sorted(distribution):
        share += distribution[ratio]
        if share >= quantile:
            return ratio
    return max(distribution)
