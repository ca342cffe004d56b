"""Report an entry's demand to the leader."""

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

_POOL_REPORT_INTERVAL_S = 0.04
_SMALL_LIMIT_PER_ENTRY = 2


class DemandReports:
    """Build lease renewals and demand reports.

    Demand and returns go with the renewals; urgent ones are sent at once.
    """

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
        self._renewal_checked_at_s = float('-inf')
        self._pools_reported_at_s = float('-inf')
        self._has_reported_pools = False

    def reset(self) -> None:
        """Report everything again, as the leader may have changed."""
        self._short_teams = set()
        self._returns = ()
        self._renewal_checked_at_s = float('-inf')

    def build(self, now_s: float) -> Iterator[EntryMessage]:
        """Yield the messages that are due."""
        wanted = self._scheduler.count_demand(self._get_slots)
        short_teams = self._get_short_teams(wanted)
        returns = self._holder.build_returns(
            self._link.state,
            self._scheduler.count_running,
        )
        idle_teams = self._get_idle_teams(wanted)
        is_urgent = bool(short_teams or idle_teams - self._idle_teams)
        renewal = self._build_renewal(now_s, is_urgent, returns)
        has_newly_short_teams = bool(short_teams - self._short_teams)
        if renewal is not None:
            self._idle_teams = idle_teams
            yield renewal
        self._idle_teams &= idle_teams
        if renewal is None and (
            has_newly_short_teams or returns != self._returns
        ):
            yield ReportDemand(
                self._scheduler.get_demands(self._get_slots), returns
            )
        self._short_teams = short_teams
        self._returns = returns
        yield from self._build_pool_report(now_s)

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
        # If a limit is small relative to the number of entries, others are
        # likely to need an idle unit, so it is reported early.
        state = self._link.state
        small_limit = _SMALL_LIMIT_PER_ENTRY * len(state.entries)
        return {
            team
            for team, usable in self._holder.get_usable_by_team(state).items()
            if usable > wanted[team]
            and state.document.teams[team].limit < small_limit
        }

    def _build_renewal(
        self,
        now_s: float,
        is_urgent: bool,
        returns: tuple[GrantReturn, ...],
    ) -> RenewLease | None:
        if now_s < self._renewal_checked_at_s + URGENT_INTERVAL_S:
            return None
        self._renewal_checked_at_s = now_s
        return self._link.build_renewal(
            now_s,
            self._scheduler.get_demands(self._get_slots),
            returns,
            is_urgent=is_urgent,
        )

    def _build_pool_report(self, now_s: float) -> Iterator[ReportPools]:
        if now_s < self._pools_reported_at_s + _POOL_REPORT_INTERVAL_S:
            return
        self._pools_reported_at_s = now_s
        uses = self._scheduler.get_usage(now_s)
        if uses or self._has_reported_pools:
            self._has_reported_pools = bool(uses)
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
