"""Streams of entries and the leases given on them."""

from typing import NamedTuple

from sardinemast.fleet import FleetState

LEASE_S = 3.0


Holder = tuple[str, int]


class Session(NamedTuple):
    """Hold one entry's stream."""

    stream_id: int
    entry: str
    incarnation: int


class EntrySessions:
    """Know which entry may serve by which state, and until when."""

    def __init__(self) -> None:
        self.sessions: dict[int, Session] = {}
        self._lease_until_s: dict[Holder, float] = {}
        self._applied_index: dict[str, int] = {}
        self._elected_s: float = 0

    def start_term(self, now_s: float) -> None:
        """Forget what a former leadership knew.

        The former leader may have given leases up to this moment that this
        process never saw, so each entry counts as having one until it is
        heard or the longest lease has passed.
        """
        self._elected_s = now_s
        self._lease_until_s.clear()
        self._applied_index.clear()

    def open(self, session: Session) -> None:
        """Note a new stream."""
        self.sessions[session.stream_id] = session

    def close(self, stream_id: int) -> None:
        """Forget a stream; its lease runs on."""
        self.sessions.pop(stream_id, None)

    def note_renewal(self, entry: str, applied_index: int) -> None:
        """Note how far an entry has applied the log."""
        self._applied_index[entry] = applied_index

    def grant_lease(self, holder: Holder, now_s: float) -> None:
        """Note that an entry may serve for the length of a lease."""
        self._lease_until_s[holder] = now_s + LEASE_S

    def get_lease_until_s(self, holder: Holder) -> float:
        """Give the moment after which the holder surely has no lease."""
        return self._lease_until_s.get(holder, self._elected_s + LEASE_S)

    def is_connected(self, entry: str, incarnation: int) -> bool:
        """Tell whether this incarnation of the entry has a stream."""
        return any(
            (one.entry, one.incarnation) == (entry, incarnation)
            for one in self.sessions.values()
        )

    def count_in_force(
        self,
        state: FleetState,
        index: int,
        now_s: float,
    ) -> int:
        """Count entries that serve by the index or do not serve at all."""
        return sum(
            self._applied_index.get(entry.name, 0) >= index
            or self.get_lease_until_s((entry.name, entry.incarnation)) <= now_s
            for entry in state.entries.values()
        )
