"""Division of one pool's capacity among teams during one plan."""

from collections import Counter
from collections.abc import Mapping

from sardinemast.jobs import JobsState
from sardinemast.max_min import split_max_min

_MIN_WEIGHT = 0.02
_DEFAULT_WEIGHT = 1.0
# Shares are sums of fractions, and may be less than a whole number by this.
_ROUNDING = 1.0


class PoolDivision:
    """Hold the share of each team in a pool, and what it uses.

    All figures are millicores of tasks that end by themselves. ``used``
    includes the starts that were planned. Of the capacity, ``late_capacity``
    is for late but useful tasks, which use ``late_used``.
    """

    def __init__(self, free: int) -> None:
        self.free = free
        self.used: Counter[str] = Counter()
        self.waiting: Counter[str] = Counter()
        self.shares: Mapping[str, float] = {}
        self.late_capacity: float = 0
        self.late_used = 0

    def split(self, jobs: JobsState, late_share: float) -> None:
        """Divide the capacity by weighted max-min fairness."""
        capacity = self.free + self.used.total()
        wanted = {
            team: _limit_to_cap(jobs, team, demand)
            for team, demand in (self.used + self.waiting).items()
        }
        weights = {team: _get_weight(jobs, team) for team in wanted}
        self.shares = split_max_min(capacity, wanted, weights)
        self.late_capacity = late_share * capacity

    def is_entitled(self, team: str, millicores: int) -> bool:
        """Check whether a team stays within its share with one more task.

        A team with nothing running may start a task that exceeds its share;
        otherwise small teams would depend on what larger ones leave.
        """
        used = self.used[team]
        share = self.shares.get(team, 0) + _ROUNDING
        return not used or used + millicores <= share

    def has_late_capacity(self) -> bool:
        """Check whether late tasks use less than is set aside for them."""
        return self.late_used < self.late_capacity

    def add_use(self, team: str, millicores: int, *, is_late: bool) -> None:
        """Add what runs, or what is planned to start."""
        self.used[team] += millicores
        if is_late:
            self.late_used += millicores


def _limit_to_cap(jobs: JobsState, name: str, demand: int) -> int:
    team = jobs.teams.get(name)
    if team is None or team.cap.millicores <= 0:
        return demand
    return min(demand, team.cap.millicores)


def _get_weight(jobs: JobsState, name: str) -> float:
    team = jobs.teams.get(name)
    return _DEFAULT_WEIGHT if team is None else max(team.weight, _MIN_WEIGHT)
