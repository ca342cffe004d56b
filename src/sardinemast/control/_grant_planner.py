"""Plan changes of grants at the leader."""

from collections import Counter
from collections.abc import Iterable

from sardinemast.control._context import INTERNAL_REQUEST, ControlContext
from sardinemast.control._sessions import EntrySessions, Session
from sardinemast.fleet import ChangeGrants, Command, FleetState, GrantChange
from sardinemast.grants import (
    DemandTracker,
    EntryDemand,
    GrantKey,
    GrantPlan,
    RunBoundTracker,
    plan_grants,
    plan_releases,
)
from sardinemast.protocol import (
    GrantRecall,
    RecallGrants,
    RenewLease,
    ReportDemand,
)

Holder = tuple[str, int]

# A new demand is planned for at once; unmet demand is planned for again at
# this interval, which limits the load of contended teams on the leader.
_PLAN_INTERVAL_S = 0.05
_RELEASE_INTERVAL_S = 0.25


class GrantPlanner:
    """Raise, return, recall and release grants.

    At most one change of a grant is pending at a time.
    """

    def __init__(
        self, context: ControlContext, sessions: EntrySessions
    ) -> None:
        self._context = context
        self._sessions = sessions
        self._demand_tracker = DemandTracker(context.state)
        self._run_bounds = RunBoundTracker(context.lease_s)
        self._releasing: set[Holder] = set()
        self._now_s: float = 0
        self._planned_s: float = 0
        self._released_s: float = 0

    def start_term(self, now_s: float) -> None:
        """Clear plans of an earlier term."""
        self._now_s = now_s
        self._demand_tracker.start_term(now_s)
        self._releasing.clear()

    def is_releasing(self, session: Session) -> bool:
        """Return whether grants of the session's holder are being released.

        Such a holder must not renew its lease: it would start work on a grant
        that is about to go to another entry.
        """
        return (session.entry, session.incarnation) in self._releasing

    def handle_demand(
        self,
        session: Session,
        report: RenewLease | ReportDemand,
        now_s: float,
    ) -> None:
        """Plan for the demands and returns that an entry reports."""
        self._now_s = now_s
        holder = (session.entry, session.incarnation)
        touched = self._demand_tracker.record_demands(
            holder, report.demands, now_s
        )
        returns = self._demand_tracker.accept_returns(holder, report.returns)
        freed: Counter[str] = Counter()
        for change in returns:
            freed[change.team] += self._get_amount(change) - change.amount
        touched.update(freed)
        self._plan(touched, freed, returns)
        if isinstance(report, RenewLease):
            self._send_recalls(holder, self._demand_tracker.get_recalls(holder))

    def tick(self, now_s: float) -> None:
        """Release grants of dead entries and plan for unmet demand."""
        self._now_s = now_s
        if now_s >= self._released_s + _RELEASE_INTERVAL_S:
            self._released_s = now_s
            self._release_expired(now_s)
        if now_s >= self._planned_s + _PLAN_INTERVAL_S:
            self._planned_s = now_s
            self._plan(self._demand_tracker.get_waiting_teams(), Counter(), [])

    def handle_applied(self, command: Command, state: FleetState) -> None:
        """Record changes of grants and of the longest permitted run."""
        if not isinstance(command, ChangeGrants):
            self._run_bounds.record_document(state.document)
            return
        self._demand_tracker.record_applied(command.changes, self._now_s)
        held = {(one.entry, one.incarnation) for one in state.grants.values()}
        self._releasing.intersection_update(held)

    def _release_expired(self, now_s: float) -> None:
        self._demand_tracker.discard_expired(self._is_alive)
        releases = plan_releases(
            self._context.state,
            self._get_release_time_s,
            now_s,
        )
        releases = [
            change
            for change in releases
            if not self._demand_tracker.has_pending_change(
                _get_grant_key(change)
            )
        ]
        self._releasing.update(
            (change.entry, change.incarnation) for change in releases
        )
        self._propose(releases)

    def _plan(
        self,
        teams: Iterable[str],
        freed: Counter[str],
        changes: list[GrantChange],
    ) -> None:
        recalled: set[Holder] = set()
        returned = {_get_grant_key(change) for change in changes}
        for team in sorted(teams):
            split = self._plan_team(team, freed[team], returned)
            changes.extend(
                GrantChange(*_make_grant_key(demand, team), amount)
                for demand, amount in split.raises
            )
            for demand, amount in split.recalls:
                recalled.add((demand.entry, demand.incarnation))
                self._demand_tracker.add_recall(
                    _make_grant_key(demand, team), amount
                )
        self._propose(changes)
        for holder in sorted(recalled):
            self._send_recalls(holder, self._demand_tracker.get_recalls(holder))

    def _plan_team(
        self, team: str, freed: int, returned: set[GrantKey]
    ) -> GrantPlan:
        demands = self._demand_tracker.get_demands(team, self._is_alive)
        return plan_grants(
            tuple(
                _exclude_returned(demand, team, returned) for demand in demands
            ),
            self._demand_tracker.get_unallocated(team) + freed,
            self._now_s,
        )

    def _propose(self, changes: list[GrantChange]) -> None:
        if changes:
            self._demand_tracker.record_pending(changes)
            self._context.propose(
                ChangeGrants(tuple(changes)),
                INTERNAL_REQUEST,
                self._now_s,
            )

    def _send_recalls(
        self,
        holder: Holder,
        recalls: tuple[GrantRecall, ...],
    ) -> None:
        if not recalls:
            return
        for session in self._sessions.sessions.values():
            if (session.entry, session.incarnation) == holder:
                self._context.send(session.stream_id, RecallGrants(recalls))

    def _get_amount(self, change: GrantChange) -> int:
        return self._context.state.grants[_get_grant_key(change)].amount

    def _is_alive(self, holder: Holder) -> bool:
        return self._sessions.get_lease_until_s(holder) > self._now_s

    def _get_release_time_s(self, entry: str, incarnation: int) -> float:
        lease_until_s = self._sessions.get_lease_until_s((entry, incarnation))
        return lease_until_s + self._run_bounds.get_longest_run_s(self._now_s)


def _exclude_returned(
    demand: EntryDemand,
    team: str,
    returned: set[GrantKey],
) -> EntryDemand:
    """Mark the holder unsettled if its return is in the same command."""
    if _make_grant_key(demand, team) in returned:
        return demand._replace(is_settled=False)
    return demand


def _make_grant_key(demand: EntryDemand, team: str) -> GrantKey:
    return GrantKey(demand.entry, demand.incarnation, team)


def _get_grant_key(change: GrantChange) -> GrantKey:
    return GrantKey(change.entry, change.incarnation, change.team)
