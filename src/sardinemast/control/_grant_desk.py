"""The leader's side of grants: raises, returns and releases."""

from collections.abc import Iterable

from sardinemast.control._context import INTERNAL_REQUEST, ControlContext
from sardinemast.control._sessions import EntrySessions, Session
from sardinemast.fleet import ChangeGrants, GrantChange
from sardinemast.grants import EntryWish, plan_changes, plan_releases
from sardinemast.protocol import RenewLease


class GrantDesk:
    """Plan changes of grants, each holder's at most one at a time."""

    def __init__(
        self, context: ControlContext, sessions: EntrySessions
    ) -> None:
        self._context = context
        self._sessions = sessions
        self._planned: set[tuple[str, int, str]] = set()

    def start_term(self) -> None:
        """Forget what was planned in a former term."""
        self._planned.clear()

    def take_wish(
        self,
        session: Session,
        renewal: RenewLease,
        now_s: float,
    ) -> None:
        """Answer what an entry wants and gives back."""
        wish = EntryWish(
            session.entry,
            session.incarnation,
            renewal.demands,
            renewal.returns,
        )
        self._propose(plan_changes(self._context.state, wish), now_s)

    def release_dead(self, now_s: float) -> None:
        """Take back the grants of entries that surely run nothing."""
        releases = plan_releases(
            self._context.state,
            self._get_dead_until_s(),
            now_s,
        )
        self._propose(releases, now_s)

    def note_applied(self, command: ChangeGrants) -> None:
        """Let the holders of applied changes be planned for again."""
        self._planned.difference_update(map(_get_holder, command.changes))

    def _propose(self, changes: list[GrantChange], now_s: float) -> None:
        fresh = tuple(
            change
            for change in changes
            if _get_holder(change) not in self._planned
        )
        if fresh:
            self._planned.update(map(_get_holder, fresh))
            self._context.propose(ChangeGrants(fresh), INTERNAL_REQUEST, now_s)

    def _get_dead_until_s(self) -> dict[tuple[str, int], float]:
        bound_s = self._get_longest_run_s()
        holders: Iterable[tuple[str, int]] = {
            (grant.entry, grant.incarnation)
            for grant in self._context.state.grants.values()
        }
        return {
            holder: self._sessions.get_lease_until_s(holder) + bound_s
            for holder in holders
            if not self._sessions.is_connected(*holder)
        }

    def _get_longest_run_s(self) -> float:
        document = self._context.state.document
        pools = [
            *document.pools.values(),
            *(
                pool
                for of_site in document.site_pools.values()
                for pool in of_site.values()
            ),
        ]
        return max((pool.run_bound_s for pool in pools), default=0)


def _get_holder(change: GrantChange) -> tuple[str, int, str]:
    return (change.entry, change.incarnation, change.team)
