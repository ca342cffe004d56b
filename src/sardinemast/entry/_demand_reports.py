"""What an entry tells the leader of its demand, and when."""

from collections import Counter
from collections.abc import Iterator

from sardinemast.admission import RequestScheduler, SlotAllotments
from sardinemast.entry._control_link import URGENT_INTERVAL_S, ControlLink
from sardinemast.grants import GrantHolder
from sardinemast.protocol import (
    EntryMessage,
    GrantReturn,
    PoolUse,
    RenewLease,
    ReportDemand,
    ReportPools,
)

_POOL_INTERVAL_S = 0.04
_UNITS_PER_ENTRY = 2


class DemandReports:
    """Send renewals and, where it cannot wait for one, demand and returns."""

    def __init__(
        self,
        link: ControlLink,
        holder: GrantHolder,
        scheduler: RequestScheduler,
        slots: SlotAllotments,
    ) -> None:
        self._link = link
        self._holder = holder
        self._scheduler = scheduler
        self._slots = slots
        self._short_teams: set[str] = set()
        self._idle_teams: set[str] = set()
        self._returns: tuple[GrantReturn, ...] = ()
        self._looked_s = float('-inf')
        self._pools_told_s = float('-inf')
        self._has_told_pools = False

    def reset(self) -> None:
        """Tell all again; the leader may be another one."""
        self._short_teams = set()
        self._returns = ()
        self._looked_s = float('-inf')

    def make(self, now_s: float) -> Iterator[EntryMessage]:
        """Give what is to be sent now."""
        wanted = self._scheduler.count_demand(self._get_slots)
        short_teams = self._get_short_teams(wanted)
        returns = self._holder.build_returns(
            self._link.state,
            self._scheduler.count_running,
        )
        idle_teams = self._get_idle_teams(wanted)
        is_changed = bool(short_teams or idle_teams - self._idle_teams)
        renewal = self._make_renewal(now_s, is_changed, returns)
        is_fresh = bool(short_teams - self._short_teams)
        if renewal is not None:
            self._idle_teams = idle_teams
            yield renewal
        self._idle_teams &= idle_teams
        if renewal is None and (is_fresh or returns != self._returns):
            yield ReportDemand(
                self._scheduler.get_demands(self._get_slots), returns
            )
        self._short_teams = short_teams
        self._returns = returns
        yield from self._make_pools(now_s)

    def _get_slots(self, pool: str) -> int:
        return self._slots.get_slots(self._link.state, pool)

    def _get_short_teams(self, wanted: Counter[str]) -> set[str]:
        state = self._link.state
        return {
            team
            for team, amount in wanted.items()
            if amount > self._holder.get_usable(state, team)
        }

    def _get_idle_teams(self, wanted: Counter[str]) -> set[str]:
        # With a limit near the number of entries a unit that lies idle here
        # is missed elsewhere, so the leader hears of it soon.
        state = self._link.state
        small = _UNITS_PER_ENTRY * len(state.entries)
        return {
            team
            for team, usable in self._holder.get_usable_by_team(state).items()
            if usable > wanted[team]
            and state.document.teams[team].limit < small
        }

    def _make_renewal(
        self,
        now_s: float,
        is_urgent: bool,
        returns: tuple[GrantReturn, ...],
    ) -> RenewLease | None:
        if now_s < self._looked_s + URGENT_INTERVAL_S:
            return None
        self._looked_s = now_s
        return self._link.get_renewal(
            now_s,
            self._scheduler.get_demands(self._get_slots),
            returns,
            is_urgent=is_urgent,
        )

    def _make_pools(self, now_s: float) -> Iterator[ReportPools]:
        if now_s < self._pools_told_s + _POOL_INTERVAL_S:
            return
        self._pools_told_s = now_s
        uses = self._scheduler.get_usage(now_s)
        if uses or self._has_told_pools:
            self._has_told_pools = bool(uses)
            yield ReportPools(
                tuple(
                    PoolUse(
                        pool,
                        self._slots.count_capacity(self._link.state, pool),
                        teams,
                    )
                    for pool, teams in uses.items()
                )
            )
