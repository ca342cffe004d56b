"""The leader's side of grants: raises, returns, recalls and releases."""

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

# A team that waits is planned for at once; one that goes on waiting is looked
# at again this often, so that contended teams don't load the leader.
_PLAN_INTERVAL_S = 0.05
_RELEASE_INTERVAL_S = 0.25


class GrantPlanner:
    """Plan changes of grants, each holder's at most one at a time."""

    def __init__(
        self, context: ControlContext, sessions: EntrySessions
    ) -> None:
        self._context = context
        self._sessions = sessions
        self._book = DemandTracker(context.state)
        self._bounds = RunBoundTracker(context.lease_s)
        self._releasing: set[Holder] = set()
        self._now_s: float = 0
        self._planned_s: float = 0
        self._released_s: float = 0

    def start_term(self, now_s: float) -> None:
        """Forget what was planned in a former term."""
        self._now_s = now_s
        self._book.start_term(now_s)
        self._releasing.clear()

    def is_releasing(self, session: Session) -> bool:
        """Tell whether the grants of a session's holder are being released.

        A frozen entry that wakes up just then would renew its lease and
        start work on a grant that another entry gets a moment later.
        """
        return (session.entry, session.incarnation) in self._releasing

    def take_wish(
        self,
        session: Session,
        wish: RenewLease | ReportDemand,
        now_s: float,
    ) -> None:
        """Answer what an entry wants and gives back."""
        self._now_s = now_s
        holder = (session.entry, session.incarnation)
        touched = self._book.record_demands(holder, wish.demands, now_s)
        returns = self._book.accept_returns(holder, wish.returns)
        freed: Counter[str] = Counter()
        for change in returns:
            freed[change.team] += self._get_amount(change) - change.amount
        touched.update(freed)
        self._plan(touched, freed, returns)
        if isinstance(wish, RenewLease):
            self._send_recalls(holder, self._book.get_recalls(holder))

    def tick(self, now_s: float) -> None:
        """Release what dead entries hold, and go on for who still waits."""
        self._now_s = now_s
        if now_s >= self._released_s + _RELEASE_INTERVAL_S:
            self._released_s = now_s
            self._release_dead(now_s)
        if now_s >= self._planned_s + _PLAN_INTERVAL_S:
            self._planned_s = now_s
            self._plan(self._book.get_waiting_teams(), Counter(), [])

    def note_applied(self, command: Command, state: FleetState) -> None:
        """Note what the log says about grants and longest runs."""
        if not isinstance(command, ChangeGrants):
            self._bounds.record_document(state.document)
            return
        self._book.record_applied(command.changes, self._now_s)
        held = {(one.entry, one.incarnation) for one in state.grants.values()}
        self._releasing.intersection_update(held)

    def _release_dead(self, now_s: float) -> None:
        self._book.discard_expired(self._is_alive)
        releases = plan_releases(
            self._context.state,
            self._get_dead_until_s,
            now_s,
        )
        releases = [
            change
            for change in releases
            if not self._book.has_pending_change(_get_key(change))
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
        returned = {_get_key(change) for change in changes}
        for team in sorted(teams):
            split = self._split(team, freed[team], returned)
            changes.extend(
                GrantChange(*_name_grant(need, team), amount)
                for need, amount in split.raises
            )
            for need, amount in split.recalls:
                recalled.add((need.entry, need.incarnation))
                self._book.add_recall(_name_grant(need, team), amount)
        self._propose(changes)
        for holder in sorted(recalled):
            self._send_recalls(holder, self._book.get_recalls(holder))

    def _split(
        self, team: str, freed: int, returned: set[GrantKey]
    ) -> GrantPlan:
        needs = self._book.get_demands(team, self._is_alive)
        return plan_grants(
            tuple(_settle(need, team, returned) for need in needs),
            self._book.get_unallocated(team) + freed,
            self._now_s,
        )

    def _propose(self, changes: list[GrantChange]) -> None:
        if changes:
            self._book.record_pending(changes)
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
        return self._context.state.grants[_get_key(change)].amount

    def _is_alive(self, holder: Holder) -> bool:
        return self._sessions.get_lease_until_s(holder) > self._now_s

    def _get_dead_until_s(self, entry: str, incarnation: int) -> float:
        lease_until_s = self._sessions.get_lease_until_s((entry, incarnation))
        return lease_until_s + self._bounds.get_longest_run_s(self._now_s)


def _settle(
    need: EntryDemand,
    team: str,
    returned: set[GrantKey],
) -> EntryDemand:
    """Leave out the holder whose return goes into the same command."""
    if _name_grant(need, team) in returned:
        return need._replace(is_settled=False)
    return need


def _name_grant(need: EntryDemand, team: str) -> GrantKey:
    return GrantKey(need.entry, need.incarnation, team)


def _get_key(change: GrantChange) -> GrantKey:
    return GrantKey(change.entry, change.incarnation, change.team)
