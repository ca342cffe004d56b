"""Streams of entries and the leases given on them."""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from sardinemast.fleet import EntryProcess, FleetState

LEASE_S = 3.0
# Monotonic clocks of two machines differ by at most this share. An entry whose
# clock is slow would otherwise still serve when the leader counts its lease
# as ended, and a withdrawn key would work after the operator was told.
CLOCK_RATE_ERROR = 0.01
LAG_LIMIT_S = 0.75
_LAG_STEP_S = 0.05


Holder = tuple[str, int]


class Session(NamedTuple):
    """Hold one entry's stream, and where other entries reach it."""

    stream_id: int
    entry: str
    incarnation: int
    host: str = ''
    port: int = 0

    @property
    def holder(self) -> Holder:
        """Give whom a lease on this stream belongs to."""
        return (self.entry, self.incarnation)


class _Mark(NamedTuple):
    applied_s: float
    log_index: int


class EntrySessions:
    """Know which entry may serve by which state, and until when."""

    def __init__(self, lease_s: float = LEASE_S) -> None:
        self.sessions: dict[int, Session] = {}
        self._longest_s = lease_s * (1 + CLOCK_RATE_ERROR)
        self._lease_until_s: dict[Holder, float] = {}
        self._applied_index: dict[Holder, int] = {}
        self._elected_s: float = 0
        self._marks: deque[_Mark] = deque()

    def start_term(self, now_s: float) -> None:
        """Forget what a former leadership knew.

        The former leader may have given leases up to this moment that this
        process never saw, so each incarnation that the log knows counts as
        having one until it is heard or the longest lease has passed.
        """
        self._elected_s = now_s
        self._lease_until_s.clear()
        self._applied_index.clear()
        self._marks.clear()

    def open(self, session: Session) -> None:
        """Note a new stream; an older one of the same holder is done with."""
        self.sessions[session.stream_id] = session

    def close(self, stream_id: int) -> None:
        """Forget a stream; its lease runs on."""
        self.sessions.pop(stream_id, None)

    def close_all(self) -> tuple[int, ...]:
        """Forget all streams, and give them."""
        closed = tuple(self.sessions)
        self.sessions.clear()
        return closed

    def note_renewal(self, holder: Holder, applied_index: int) -> None:
        """Note how far an entry has applied the log; it never goes back."""
        self._applied_index[holder] = max(
            applied_index,
            self._applied_index.get(holder, 0),
        )

    def grant_lease(self, holder: Holder, now_s: float) -> None:
        """Note that an entry may serve for the length of a lease."""
        self._lease_until_s[holder] = now_s + self._longest_s

    def get_lease_until_s(self, holder: Holder) -> float:
        """Give the moment after which the holder surely has no lease."""
        until_s = self._lease_until_s.get(holder, 0)
        return max(until_s, self._elected_s + self._longest_s)

    def is_connected(self, entry: str, incarnation: int) -> bool:
        """Tell whether this incarnation of the entry has a stream."""
        return any(
            one.holder == (entry, incarnation) for one in self.sessions.values()
        )

    def note_log(self, log_index: int, now_s: float) -> None:
        """Note how far the log was applied at a moment."""
        marks = self._marks
        while len(marks) > 1 and marks[1].applied_s <= now_s - LAG_LIMIT_S:
            marks.popleft()
        if not marks or now_s >= marks[-1].applied_s + _LAG_STEP_S:
            marks.append(_Mark(now_s, log_index))

    def is_lagging(self, applied_index: int, now_s: float) -> bool:
        """Tell whether an entry misses what was applied too long ago.

        An entry that renews its lease but does not apply would keep an
        operator waiting without end; it gets no lease until it has caught up.
        """
        if not self._marks or self._marks[0].applied_s > now_s - LAG_LIMIT_S:
            return False
        return applied_index < self._marks[0].log_index

    def get_ended(self, state: FleetState, now_s: float) -> Iterable[Holder]:
        """Give the former incarnations that surely have no lease."""
        for entry in state.entries.values():
            for incarnation in entry.former:
                holder = (entry.name, incarnation)
                if self.get_lease_until_s(holder) <= now_s:
                    yield holder

    def count_in_force(
        self,
        state: FleetState,
        index: int,
        now_s: float,
    ) -> int:
        """Count entries that serve by the index or do not serve at all."""
        return sum(
            self._is_in_force(entry, index, now_s)
            for entry in state.entries.values()
        )

    def _is_in_force(
        self,
        entry: EntryProcess,
        index: int,
        now_s: float,
    ) -> bool:
        # A former incarnation may live on, for instance frozen while the
        # entry was started again. Without its lease counted, the operator is
        # told that a key is withdrawn and the old process still takes it.
        return all(
            self._applied_index.get((entry.name, one), 0) >= index
            or self.get_lease_until_s((entry.name, one)) <= now_s
            for one in (entry.incarnation, *entry.former)
        )
