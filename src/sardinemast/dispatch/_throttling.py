"""Slow down fillers where serving tasks respond too late."""

from collections.abc import Iterator

from sardinemast.dispatch._worker_session import Contact
from sardinemast.jobs import JobsState, TaskKey

FULL_PERCENT = 100
# A tail is a rough figure of the last half second. Fillers give way before
# it reaches the limit, and come back in steps once it is well below.
_TIGHT = 0.85
_EASY = 0.6
_STEP_PERCENT = 20
_LEAST_PERCENT = 15
# The figure must have followed the last change before it counts again.
SETTLE_S = 0.7


class Pacing:
    """Hold at which speed each worker's fillers work."""

    def __init__(self) -> None:
        self._percents: dict[str, int] = {}
        self._changed_s: dict[str, float] = {}
        self._sent: dict[tuple[str, TaskKey, int], int] = {}

    def note_look(
        self,
        state: JobsState,
        contact: Contact,
        now_s: float,
    ) -> None:
        """Judge the tails that a worker has just told."""
        name = contact.worker.name
        if (
            not state.usage.best_effort_counts[name]
            and name not in self._percents
        ):
            return
        worst = max(_list_tails(state, contact), default=0)
        changed_s = self._changed_s.get(name, float('-inf'))
        if now_s < changed_s + SETTLE_S:
            return
        percent = self._percents.get(name, FULL_PERCENT)
        wanted = _adjust(percent, worst)
        if wanted != percent:
            self._percents[name] = wanted
            self._changed_s[name] = now_s

    def choose(
        self,
        state: JobsState,
        contact: Contact,
    ) -> list[tuple[TaskKey, int, int]]:
        """Give each filler whose speed differs: task, run, percent."""
        name = contact.worker.name
        if not state.usage.best_effort_counts[name]:
            return []
        percent = self._percents.get(name, FULL_PERCENT)
        wanted = []
        for task, listed in contact.listed.items():
            key = (name, task, listed.number)
            sent = self._sent.get(key, FULL_PERCENT)
            if sent != percent and _is_filler(state, task):
                wanted.append((task, listed.number, percent))
        return wanted

    def note_sent(
        self,
        worker: str,
        task: TaskKey,
        number: int,
        percent: int,
    ) -> None:
        """Remember the speed that a run was told."""
        self._sent[(worker, task, number)] = percent


def _list_tails(state: JobsState, contact: Contact) -> Iterator[float]:
    for task, listed in contact.listed.items():
        limit_ms = _get_limit_ms(state, task)
        if limit_ms:
            yield listed.gauge / limit_ms


def _adjust(percent: int, worst: float) -> int:
    if worst > _TIGHT:
        half = percent // 2
        return half if half >= _LEAST_PERCENT else 0
    if worst < _EASY:
        return min(percent + _STEP_PERCENT, FULL_PERCENT)
    return percent


def _is_filler(state: JobsState, task: TaskKey) -> bool:
    step = state.find_step(task)
    return step is not None and step.spec.is_best_effort


def _get_limit_ms(state: JobsState, task: TaskKey) -> int:
    step = state.find_step(task)
    return step.spec.tail_latency_limit_ms if step else 0
