"""Divide a pool's slots by weighted max-min fairness and past usage."""

from collections import Counter, defaultdict
from collections.abc import Mapping
from heapq import heapify, heapreplace
from typing import NamedTuple

from sardinemast.max_min import split_max_min
from sardinemast.protocol import PoolAllotment, PoolUse, TeamAllotment, TeamUse

_DEBT_REPAYMENT_S = 1.0
_MAX_DEBT_S = 5.0
_MIN_WEIGHT = 0.02
_SLOT_DECIMALS = 3
# Slots are assigned one by one, some 50 ms for this many.
_SLOTS_MAX = 100_000


class TeamQuota(NamedTuple):
    """Hold a team's share and its limit on concurrent requests."""

    share: float
    limit: int


class PoolShares:
    """Divide one pool's slots among the entries and teams of the fleet.

    Slots are integers and reports arrive late, so a team may receive less
    service than its fair share. The difference is kept as a debt to the team,
    which raises its weight until the debt is paid.
    """

    def __init__(self, pool: str) -> None:
        self._pool = pool
        self._uses: dict[str, PoolUse] = {}
        self._used_s: dict[tuple[str, str], float] = {}
        self._served_s: defaultdict[str, float] = defaultdict(float)
        self._debts_s: dict[str, float] = {}
        self._fair_slots: dict[str, float] = {}
        self._planned_at_s: float = 0
        self._turn = 0

    def record_use(self, entry: str, use: PoolUse) -> None:
        """Record the demand and the used service time that an entry reports."""
        self._uses[entry] = use
        for team_use in use.teams:
            key = (entry, team_use.team)
            known_s = self._used_s.get(key, team_use.used_s)
            # The counter starts at zero again when an entry restarts.
            self._served_s[team_use.team] += max(0, team_use.used_s - known_s)
            self._used_s[key] = team_use.used_s

    def remove_entry(self, entry: str) -> None:
        """Remove an entry that has left or no longer uses the pool."""
        self._uses.pop(entry, None)
        if not self._uses:
            # No debt accrues while the pool is not in use.
            self._fair_slots = {}

    def is_used(self) -> bool:
        """Check whether any entry reports demand for the pool."""
        return bool(self._uses)

    def plan(
        self,
        quotas: Mapping[str, TeamQuota],
        entries: tuple[str, ...],
        now_s: float,
    ) -> dict[str, PoolAllotment]:
        """Return each entry's slots and the teams' fair shares of them."""
        reported = (use.capacity_slots for use in self._uses.values())
        capacity = max(reported, default=0)
        wanted = self._get_capped_demand(quotas)
        self._update_debts(now_s)
        shares = {team: max(_MIN_WEIGHT, quotas[team].share) for team in wanted}
        self._fair_slots = split_max_min(capacity, wanted, shares)
        weights = {
            team: max(
                _MIN_WEIGHT,
                self._fair_slots[team] + self._get_debt_weight(team),
            )
            for team in wanted
        }
        corrected = split_max_min(capacity, wanted, weights)
        allotments_by_entry = self._divide_among_entries(corrected)
        slots = self._assign_slots(allotments_by_entry, entries, capacity)
        return {
            entry: PoolAllotment(
                self._pool, slots[entry], allotments_by_entry.get(entry, ())
            )
            for entry in entries
        }

    def _get_debt_weight(self, team: str) -> float:
        return self._debts_s.get(team, 0) / _DEBT_REPAYMENT_S

    def _get_capped_demand(
        self, quotas: Mapping[str, TeamQuota]
    ) -> dict[str, float]:
        return {
            team: min(amount, quotas[team].limit)
            for team, amount in self._count_demand().items()
            if team in quotas and amount
        }

    def _count_demand(self) -> Counter[str]:
        wanted: Counter[str] = Counter()
        for use in self._uses.values():
            for team_use in use.teams:
                wanted[team_use.team] += team_use.waiting + team_use.running
        return wanted

    def _update_debts(self, now_s: float) -> None:
        elapsed_s = now_s - self._planned_at_s
        self._planned_at_s = now_s
        debts_s: dict[str, float] = {}
        for name, allocation in self._fair_slots.items():
            debt_s = self._debts_s.get(name, 0) + allocation * elapsed_s
            debt_s -= self._served_s[name]
            debts_s[name] = max(-_MAX_DEBT_S, min(_MAX_DEBT_S, debt_s))
        self._served_s.clear()
        # Debts to teams without demand lapse: unused shares do not accumulate.
        self._debts_s = debts_s

    def _divide_among_entries(
        self,
        allocations: Mapping[str, float],
    ) -> dict[str, tuple[TeamAllotment, ...]]:
        totals = self._count_demand()
        allotments_by_entry: dict[str, tuple[TeamAllotment, ...]] = {}
        for entry, use in self._uses.items():
            allotments_by_entry[entry] = tuple(
                TeamAllotment(
                    team_use.team,
                    _scale_to_entry(
                        allocations[team_use.team], team_use, totals
                    ),
                )
                for team_use in use.teams
                if team_use.team in allocations
            )
        return allotments_by_entry

    def _assign_slots(
        self,
        allotments_by_entry: Mapping[str, tuple[TeamAllotment, ...]],
        entries: tuple[str, ...],
        capacity: int,
    ) -> dict[str, int]:
        # Slots in use count as taken even above their entry's target, so that
        # no slot is allotted to another entry before it is free.
        running = {entry: self._count_running(entry) for entry in entries}
        targets = {
            entry: sum(
                allotment.slots
                for allotment in allotments_by_entry.get(entry, ())
            )
            for entry in entries
        }
        free = max(0, capacity - sum(running.values()))
        free = min(free, _SLOTS_MAX)
        slots = {
            entry: min(running[entry], round(targets[entry]))
            for entry in entries
        }
        by_deficit = [
            (slots[entry] - targets[entry], entry) for entry in entries
        ]
        heapify(by_deficit)
        for _ in range(free):
            negative_deficit, entry = by_deficit[0]
            slots[entry] += 1
            heapreplace(by_deficit, (negative_deficit + 1, entry))
        return slots

    def _count_running(self, entry: str) -> int:
        use = self._uses.get(entry)
        return sum(team_use.running for team_use in use.teams) if use else 0


def _scale_to_entry(
    allocation: float, team_use: TeamUse, totals: Mapping[str, int]
) -> float:
    local_demand = team_use.waiting + team_use.running
    return round(
        allocation * local_demand / totals[team_use.team], _SLOT_DECIMALS
    )
