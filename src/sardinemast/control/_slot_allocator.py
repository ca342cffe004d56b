"""The leader's side of shares: pools' slots split over entries and teams."""

from sardinemast.control._context import ControlContext
from sardinemast.control._sessions import EntrySessions, Session
from sardinemast.grants import PoolShares, TeamQuota
from sardinemast.protocol import AllotSlots, PoolAllotment, ReportPools

_INTERVAL_S = 0.04


class SlotAllocator:
    """Allot slots by demand and by what each team has used."""

    def __init__(
        self, context: ControlContext, sessions: EntrySessions
    ) -> None:
        self._context = context
        self._sessions = sessions
        self._pools: dict[str, PoolShares] = {}
        self._entries_of: dict[str, set[str]] = {}
        self._told: dict[int, tuple[PoolAllotment, ...]] = {}
        self._planned_s = float('-inf')

    def start_term(self) -> None:
        """Forget what entries reported to a former leadership."""
        self._pools.clear()
        self._entries_of.clear()
        self._told.clear()

    def take_report(self, session: Session, report: ReportPools) -> None:
        """Take what an entry does in each pool that it uses."""
        fresh = {use.pool for use in report.pools}
        for pool in self._entries_of.get(session.entry, set()) - fresh:
            self._pools[pool].remove_entry(session.entry)
        self._entries_of[session.entry] = fresh
        for use in report.pools:
            shares = self._pools.setdefault(use.pool, PoolShares(use.pool))
            shares.record_use(session.entry, use)

    def tick(self, now_s: float) -> None:
        """Allot all pools again when it is time."""
        if now_s < self._planned_s + _INTERVAL_S or not self._pools:
            return
        self._planned_s = now_s
        sessions = {
            session.entry: session
            for session in self._sessions.sessions.values()
        }
        self._drop_gone(set(sessions))
        self._told = {
            stream_id: parts
            for stream_id, parts in self._told.items()
            if stream_id in self._sessions.sessions
        }
        entries = tuple(sorted(sessions))
        if not entries:
            return
        terms = {
            team.name: TeamQuota(team.share, team.limit)
            for team in self._context.state.document.teams.values()
        }
        plans = [
            shares.plan(terms, entries, now_s)
            for shares in self._pools.values()
            # Of a pool that nobody uses at the moment nothing is allotted:
            # each entry takes its even part, so that the next request starts
            # at once.
            if shares.is_used()
        ]
        for entry, session in sessions.items():
            self._tell(session, tuple(plan[entry] for plan in plans))

    def _drop_gone(self, connected: set[str]) -> None:
        for entry in set(self._entries_of) - connected:
            for pool in self._entries_of.pop(entry):
                self._pools[pool].remove_entry(entry)

    def _tell(self, session: Session, parts: tuple[PoolAllotment, ...]) -> None:
        if self._told.get(session.stream_id) != parts:
            self._told[session.stream_id] = parts
            self._context.send(session.stream_id, AllotSlots(parts))
