"""Sessions of entries and their leases."""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from sardinemast.fleet import EntryProcess, FleetState

LEASE_S = 3.0
# Largest assumed relative rate error between two monotonic clocks. Without it
# an entry with a slow clock could serve after the leader takes its lease for
# expired, and accept a key that the operator was told is withdrawn.
CLOCK_RATE_ERROR = 0.01
LAG_LIMIT_S = 0.75
_LAG_SAMPLE_INTERVAL_S = 0.05


Holder = tuple[str, int]


class Session(NamedTuple):
    """Hold a stream of an entry and the address for its peers."""

    stream_id: int
    entry: str
    incarnation: int
    host: str = ''
    port: int = 0

    @property
    def holder(self) -> Holder:
        """Return the entry and incarnation that lease and grants belong to."""
        return (self.entry, self.incarnation)


class _LogPosition(NamedTuple):
    applied_s: float
    log_index: int


class EntrySessions:
    """Track sessions, leases and the applied log index of entries."""

    def __init__(self, lease_s: float = LEASE_S) -> None:
        self.sessions: dict[int, Session] = {}
        self._max_lease_s = lease_s * (1 + CLOCK_RATE_ERROR)
        self._lease_until_s: dict[Holder, float] = {}
        self._applied_index: dict[Holder, int] = {}
        self._term_started_s: float = 0
        self._log_positions: deque[_LogPosition] = deque()

    def start_term(self, now_s: float) -> None:
        """Clear leases and applied indexes of an earlier term.

        The former leader may have granted leases until now, so every
        registered incarnation is assumed to hold one for a full lease.
        """
        self._term_started_s = now_s
        self._lease_until_s.clear()
        self._applied_index.clear()
        self._log_positions.clear()

    def open(self, session: Session) -> None:
        """Add a session."""
        self.sessions[session.stream_id] = session

    def close(self, stream_id: int) -> None:
        """Remove a session; its lease stays until it expires."""
        self.sessions.pop(stream_id, None)

    def close_all(self) -> tuple[int, ...]:
        """Remove all sessions and return their stream ids."""
        closed = tuple(self.sessions)
        self.sessions.clear()
        return closed

    def record_renewal(self, holder: Holder, applied_index: int) -> None:
        """Record the log index that an entry has applied; it never falls."""
        self._applied_index[holder] = max(
            applied_index,
            self._applied_index.get(holder, 0),
        )

    def grant_lease(self, holder: Holder, now_s: float) -> None:
        """Record a lease granted from now."""
        self._lease_until_s[holder] = now_s + self._max_lease_s

    def get_lease_until_s(self, holder: Holder) -> float:
        """Return the time by which the holder's lease has surely expired."""
        until_s = self._lease_until_s.get(holder, 0)
        return max(until_s, self._term_started_s + self._max_lease_s)

    def is_connected(self, entry: str, incarnation: int) -> bool:
        """Return whether this incarnation of the entry has a stream."""
        return any(
            one.holder == (entry, incarnation) for one in self.sessions.values()
        )

    def record_log_index(self, log_index: int, now_s: float) -> None:
        """Record the applied log index at a time."""
        positions = self._log_positions
        while (
            len(positions) > 1 and positions[1].applied_s <= now_s - LAG_LIMIT_S
        ):
            positions.popleft()
        if (
            not positions
            or now_s >= positions[-1].applied_s + _LAG_SAMPLE_INTERVAL_S
        ):
            positions.append(_LogPosition(now_s, log_index))

    def is_lagging(self, applied_index: int, now_s: float) -> bool:
        """Return whether an entry lags by more than ``LAG_LIMIT_S``.

        It gets no lease until it has caught up; otherwise it could delay the
        answer to an operator forever.
        """
        if (
            not self._log_positions
            or self._log_positions[0].applied_s > now_s - LAG_LIMIT_S
        ):
            return False
        return applied_index < self._log_positions[0].log_index

    def get_expired(self, state: FleetState, now_s: float) -> Iterable[Holder]:
        """Yield former incarnations whose leases have surely expired."""
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
        """Count entries that have applied the index or have no lease."""
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
        # A former incarnation may still run, for instance frozen during a
        # restart. Unless its lease counts too, it could accept a key that the
        # operator was told is withdrawn.
        return all(
            self._applied_index.get((entry.name, one), 0) >= index
            or self.get_lease_until_s((entry.name, one)) <= now_s
            for one in (entry.incarnation, *entry.former)
        )
