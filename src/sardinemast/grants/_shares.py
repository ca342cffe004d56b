"""Weighted max-min shares of a pool's slots, corrected by what was used."""

from collections import Counter, defaultdict
from collections.abc import Mapping
from heapq import heapify, heapreplace
from typing import NamedTuple

from sardinemast.protocol import PoolAllotment, PoolUse, TeamAllotment, TeamUse

_CORRECTION_S = 1.0
_MAX_DEBT_S = 5.0
_MIN_WEIGHT = 0.02
_DIGITS = 3


class TeamQuota(NamedTuple):
    """Hold a team's share and the upper limit on what it runs."""

    share: float
    limit: int


def split_max_min(
    capacity: float,
    wanted: Mapping[str, float],
    weights: Mapping[str, float],
) -> dict[str, float]:
    """Give each team its weighted max-min part, never more than it wants."""
    parts: dict[str, float] = {}
    left = capacity
    by_need = sorted(wanted, key=lambda team: wanted[team] / weights[team])
    rest = sum(weights.values())
    for team in by_need:
        parts[team] = min(wanted[team], left * weights[team] / rest)
        left -= parts[team]
        rest -= weights[team]
    return parts


class PoolShares:
    """Hold one pool's demand, use and debts to teams, fleet-wide.

    A team that got less than its part, because slots are whole or reports
    late, is owed the difference and gets a larger weight until it has it.
    """

    def __init__(self, pool: str) -> None:
        self._pool = pool
        self._uses: dict[str, PoolUse] = {}
        self._used_s: dict[tuple[str, str], float] = {}
        self._received_s: defaultdict[str, float] = defaultdict(float)
        self._debts_s: dict[str, float] = {}
        self._parts: dict[str, float] = {}
        self._planned_s: float = 0
        self._turn = 0

    def record_use(self, entry: str, use: PoolUse) -> None:
        """Take what an entry reports."""
        self._uses[entry] = use
        for one in use.teams:
            key = (entry, one.team)
            known_s = self._used_s.get(key, one.used_s)
            # A restarted entry counts from zero again.
            self._received_s[one.team] += max(0, one.used_s - known_s)
            self._used_s[key] = one.used_s

    def remove_entry(self, entry: str) -> None:
        """Forget an entry that is gone or uses the pool no more."""
        self._uses.pop(entry, None)
        if not self._uses:
            # Whoever wants nothing is owed nothing, however long that takes.
            self._parts = {}

    def is_used(self) -> bool:
        """Tell whether any entry has something to run in the pool."""
        return bool(self._uses)

    def plan(
        self,
        terms: Mapping[str, TeamQuota],
        entries: tuple[str, ...],
        now_s: float,
    ) -> dict[str, PoolAllotment]:
        """Give each entry its slots and the teams' fair parts of them."""
        reported = (use.capacity_slots for use in self._uses.values())
        capacity = max(reported, default=0)
        wanted = self._sum_wanted(terms)
        self._settle_debts(now_s)
        shares = {team: max(_MIN_WEIGHT, terms[team].share) for team in wanted}
        self._parts = split_max_min(capacity, wanted, shares)
        weights = {
            team: max(_MIN_WEIGHT, self._parts[team] + self._get_debt(team))
            for team in wanted
        }
        corrected = split_max_min(capacity, wanted, weights)
        by_entry = self._split_over_entries(corrected)
        slots = self._allot(by_entry, entries, capacity)
        return {
            entry: PoolAllotment(
                self._pool, slots[entry], by_entry.get(entry, ())
            )
            for entry in entries
        }

    def _get_debt(self, team: str) -> float:
        return self._debts_s.get(team, 0) / _CORRECTION_S

    def _sum_wanted(self, terms: Mapping[str, TeamQuota]) -> dict[str, float]:
        return {
            team: min(amount, terms[team].limit)
            for team, amount in self._count_wanted().items()
            if team in terms and amount
        }

    def _count_wanted(self) -> Counter[str]:
        wanted: Counter[str] = Counter()
        for use in self._uses.values():
            for one in use.teams:
                wanted[one.team] += one.waiting + one.running
        return wanted

    def _settle_debts(self, now_s: float) -> None:
        passed_s = now_s - self._planned_s
        self._planned_s = now_s
        owed: dict[str, float] = {}
        for name, part in self._parts.items():
            debt_s = self._debts_s.get(name, 0) + part * passed_s
            debt_s -= self._received_s[name]
            owed[name] = max(-_MAX_DEBT_S, min(_MAX_DEBT_S, debt_s))
        self._received_s.clear()
        # Whoever wants nothing is owed nothing: shares are not saved up.
        self._debts_s = owed

    def _split_over_entries(
        self,
        parts: Mapping[str, float],
    ) -> dict[str, tuple[TeamAllotment, ...]]:
        totals = self._count_wanted()
        by_entry: dict[str, tuple[TeamAllotment, ...]] = {}
        for entry, use in self._uses.items():
            by_entry[entry] = tuple(
                TeamAllotment(one.team, _scale(parts[one.team], one, totals))
                for one in use.teams
                if one.team in parts
            )
        return by_entry

    def _allot(
        self,
        by_entry: Mapping[str, tuple[TeamAllotment, ...]],
        entries: tuple[str, ...],
        capacity: int,
    ) -> dict[str, int]:
        # What runs is counted first, so that a slot goes to another entry
        # only after its former holder has let it go.
        running = {entry: self._count_running(entry) for entry in entries}
        targets = {
            entry: sum(one.slots for one in by_entry.get(entry, ()))
            for entry in entries
        }
        room = max(0, capacity - sum(running.values()))
        slots = {
            entry: min(running[entry], round(targets[entry]))
            for entry in entries
        }
        lacking = [(slots[entry] - targets[entry], entry) for entry in entries]
        heapify(lacking)
        for _ in range(room):
            lack, entry = lacking[0]
            slots[entry] += 1
            heapreplace(lacking, (lack + 1, entry))
        return slots

    def _count_running(self, entry: str) -> int:
        use = self._uses.get(entry)
        return sum(one.running for one in use.teams) if use else 0


def _scale(part: float, one: TeamUse, totals: Mapping[str, int]) -> float:
    here = one.waiting + one.running
    return round(part * here / totals[one.team], _DIGITS)
