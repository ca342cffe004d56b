"""Summaries of the learned durations of tasks, in the replicated state."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple, TypeVar

# Bounds memory, snapshots and the log when images have random names.
DURATION_KEYS_MAX = 512
# Bounds the size of a command, which is synced and sent as a whole.
SUMMARIES_MAX = 64
# Steps from this stage on share a key.
STAGE_MAX = 3
ANY_STAGE = -1

_Kept = TypeVar('_Kept')


class DurationKey(NamedTuple):
    """Identify the tasks that are learned together.

    ``stage`` is the position of a step in its job's order, at most
    ``STAGE_MAX``. A coarse key has no image or ``ANY_STAGE``.
    """

    queue: str
    image: str = ''
    stage: int = ANY_STAGE

    @property
    def is_whole_queue(self) -> bool:
        """Check whether the key covers all tasks of its queue."""
        return not self.image and self.stage == ANY_STAGE


class DurationSummary(NamedTuple):
    """Summarise the runs of a key that ended; all weights are decayed.

    ``declared_ms`` and ``actual_ms`` are sums over ``ends`` runs. ``buckets``
    holds the weight of each bucket of the ratio of actual to declared, and
    ``own_failures`` that of failures by the task's own fault, in tenths of an
    end.
    """

    key: DurationKey
    ends: float = 0
    declared_ms: int = 0
    actual_ms: int = 0
    own_failures: int = 0
    buckets: Mapping[int, int] = MappingProxyType({})

    @property
    def ratio(self) -> float:
        """Return the mean ratio of actual to declared durations."""
        return self.actual_ms / self.declared_ms if self.declared_ms else 1


def drop_excess_keys(table: dict[DurationKey, _Kept]) -> None:
    """Drop the least recently used keys; those of whole queues go last."""
    while len(table) > DURATION_KEYS_MAX:
        oldest = next(iter(table))
        fine = (key for key in table if not key.is_whole_queue)
        table.pop(next(fine, oldest))
