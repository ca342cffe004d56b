"""Allot pools' slots to entries and teams at the leader."""

from sardinemast.control._context import ControlContext
from sardinemast.control._sessions import EntrySessions, Session
from sardinemast.grants import PoolShares, TeamQuota
from sardinemast.protocol import AllotSlots, PoolAllotment, ReportPools

_PLAN_INTERVAL_S = 0.04


class SlotAllocator:
    """Allot slots by current demand and past use of each team."""

    def __init__(
        self, context: ControlContext, sessions: EntrySessions
    ) -> None:
        self._context = context
        self._sessions = sessions
        self._pools: dict[str, PoolShares] = {}
        self._pools_by_entry: dict[str, set[str]] = {}
        self._sent_allotments: dict[int, tuple[PoolAllotment, ...]] = {}
        self._planned_s = float('-inf')

    def start_term(self) -> None:
        """Clear reports and allotments of an earlier term."""
        self._pools.clear()
        self._pools_by_entry.clear()
        self._sent_allotments.clear()

    def handle_report(self, session: Session, report: ReportPools) -> None:
        """Record what an entry reports for each pool that it uses."""
        reported = {use.pool for use in report.pools}
        for pool in self._pools_by_entry.get(session.entry, set()) - reported:
            self._pools[pool].remove_entry(session.entry)
        self._pools_by_entry[session.entry] = reported
        for use in report.pools:
            shares = self._pools.setdefault(use.pool, PoolShares(use.pool))
            shares.record_use(session.entry, use)

    def tick(self, now_s: float) -> None:
        """Recompute the allotments when due, and send those that changed."""
        if now_s < self._planned_s + _PLAN_INTERVAL_S or not self._pools:
            return
        self._planned_s = now_s
        sessions = {
            session.entry: session
            for session in self._sessions.sessions.values()
        }
        self._remove_disconnected(set(sessions))
        self._sent_allotments = {
            stream_id: parts
            for stream_id, parts in self._sent_allotments.items()
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
            # An idle pool is not allotted; entries then default to an even
            # split, so that the next request starts at once.
            if shares.is_used()
        ]
        for entry, session in sessions.items():
            self._send_allotments(session, tuple(plan[entry] for plan in plans))

    def _remove_disconnected(self, connected: set[str]) -> None:
        for entry in set(self._pools_by_entry) - connected:
            for pool in self._pools_by_entry.pop(entry):
                self._pools[pool].remove_entry(entry)

    def _send_allotments(
        self, session: Session, parts: tuple[PoolAllotment, ...]
    ) -> None:
        if self._sent_allotments.get(session.stream_id) != parts:
            self._sent_allotments[session.stream_id] = parts
            self._context.send(session.stream_id, AllotSlots(parts))
