"""Sizes learned from the runs that ended."""

from typing import NamedTuple

from sardinemast.placement._records import Job, Size

_KEPT = 32
_ENOUGH = 5
_QUANTILE = 0.9
_MARGIN = 1.1


class LearnedKind(NamedTuple):
    """Hold the newest peaks of a team's jobs of one kind."""

    team: str
    kind: str
    peaks: tuple[Size, ...] = ()

    def note(self, peak: Size) -> 'LearnedKind':
        """Add a peak and forget the oldest."""
        return self._replace(peaks=(*self.peaks, peak)[-_KEPT:])


def estimate_size(job: Job, learned: LearnedKind | None) -> Size:
    """Estimate what a job takes: the 0.9 quantile of its kind, or its word.

    Declared sizes are far off; after five ends the peaks of the same team
    and kind say more. Each run that ran out of memory doubles the memory.
    """
    size = job.declared
    if learned is not None and len(learned.peaks) >= _ENOUGH:
        peaks = learned.peaks
        memory_bytes = _get_quantile([one.memory_bytes for one in peaks])
        size = job.declared._replace(
            millicores=_get_quantile([one.millicores for one in peaks]),
            memory_bytes=int(memory_bytes * _MARGIN),
        )
    return size._replace(memory_bytes=size.memory_bytes * job.growth)


def _get_quantile(found: list[int]) -> int:
    ordered = sorted(found)
    return ordered[min(len(ordered) - 1, int(_QUANTILE * len(ordered)))]
