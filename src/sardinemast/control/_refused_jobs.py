"""Jobs that the leader refused lately."""

from typing import NamedTuple

from sardinemast.protocol import CallAnswer

_REMEMBERED_S = 60.0
_REMEMBERED_MAX = 10_000


class Refusal(NamedTuple):
    """Hold the last refusal of a job, and when it first arrived."""

    first_seen_ms: int
    refused_s: float
    answer: CallAnswer


class RefusedJobs:
    """Remember the last refusals, oldest first."""

    def __init__(self) -> None:
        self._refusals: dict[str, Refusal] = {}

    def __len__(self) -> int:
        """Return the number of refusals."""
        return len(self._refusals)

    def clear(self) -> None:
        """Forget all refusals."""
        self._refusals.clear()

    def find(self, name: str, now_s: float) -> Refusal | None:
        """Return the last refusal of a job, if it is remembered."""
        self._discard_old(now_s)
        return self._refusals.get(name)

    def put(self, name: str, refusal: Refusal) -> None:
        """Remember a refusal as the last one."""
        self._refusals.pop(name, None)
        if len(self._refusals) >= _REMEMBERED_MAX:
            self._refusals.pop(next(iter(self._refusals)))
        self._refusals[name] = refusal

    def discard(self, name: str) -> None:
        """Forget the refusal of a job that is accepted."""
        self._refusals.pop(name, None)

    def _discard_old(self, now_s: float) -> None:
        while self._refusals:
            name = next(iter(self._refusals))
            if now_s <= self._refusals[name].refused_s + _REMEMBERED_S:
                return
            self._refusals.pop(name)
