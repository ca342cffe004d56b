"""Account of what is down, by pool and by failure domain."""

from collections import Counter
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from typing import NamedTuple

from sardinemast.maintenance._records import (
    Budgets,
    Condition,
    Domain,
    DomainKind,
    Instance,
    PoolBudget,
    Refusal,
    get_depth,
    get_domain,
)


class _Counts(NamedTuple):
    serving: Counter[str]
    down: Counter[str]
    down_in: Counter[Domain]
    serving_in: dict[str, Counter[Domain]]


class Ledger:
    """Count instances, so that a check costs no look at the whole fleet."""

    def __init__(self, budgets: Budgets) -> None:
        self.budgets = budgets
        self._pools: Mapping[str, PoolBudget] = {
            budget.pool: budget for budget in budgets.pools
        }
        self._counts = _Counts(Counter(), Counter(), Counter(), {})

    def add(self, instance: Instance, count: int = 1) -> None:
        """Count an instance, or with -1 stop counting it."""
        if instance.condition is Condition.serving:
            self._counts.serving[instance.pool] += count
            by_domain = self._counts.serving_in.setdefault(
                instance.pool, Counter()
            )
            for domain in _get_domains(instance):
                by_domain[domain] += count
        elif self._is_counted(instance):
            self._counts.down[instance.pool] += count
            for path in _get_domains(instance):
                self._counts.down_in[path] += count

    @contextmanager
    def trial(self) -> Iterator[None]:
        """Undo at the end what is counted within."""
        kept = self._counts
        self._counts = _Counts(
            Counter(kept.serving),
            Counter(kept.down),
            Counter(kept.down_in),
            {pool: Counter(one) for pool, one in kept.serving_in.items()},
        )
        try:
            yield
        finally:
            self._counts = kept

    def take_down(self, instance: Instance) -> None:
        """Count a serving instance as down from now on."""
        self.add(instance, -1)
        self.add(instance._replace(condition=Condition.draining))

    def is_full(self, pool: str) -> bool:
        """Tell whether the pool's budget surely refuses each instance.

        Taking an instance down lowers the reserve by one at most, so that
        what is down and in reserve never gets less by a planned step.
        """
        budget = self._pools.get(pool)
        if budget is None:
            return True
        down = self._counts.down[pool]
        if down >= budget.down_max or budget.reserve is None:
            return down >= budget.down_max
        depth = get_depth(budget.reserve)
        by_domain = self._counts.serving_in.get(pool, Counter())
        reserve = _get_largest(by_domain, depth)
        return down + reserve > budget.down_max

    def explain_refusal(self, instance: Instance) -> Refusal | None:
        """Tell why the instance may not be down too, or nothing.

        An instance that is counted as down already is checked as it stands.
        """
        budget = self._pools.get(instance.pool)
        if budget is None:
            return Refusal(
                'maintenance.E001',
                f'Pool {instance.pool!r} has no budget.',
            )
        more = int(instance.condition is Condition.serving)
        return self._check_pool(instance, budget, more) or self._check_domains(
            instance,
            more,
        )

    def _check_pool(
        self,
        instance: Instance,
        budget: PoolBudget,
        more: int,
    ) -> Refusal | None:
        down = self._counts.down[instance.pool] + more
        serving = self._counts.serving[instance.pool] - more
        reserve = self._get_reserve(instance, budget.reserve, more)
        if down + reserve > budget.down_max:
            return Refusal(
                'maintenance.E002',
                f'Pool {instance.pool}: {down} down and {reserve} in reserve '
                f'pass {budget.down_max}.',
            )
        if serving - reserve < budget.serving_min:
            return Refusal(
                'maintenance.E003',
                f'Pool {instance.pool}: {serving} serving less {reserve} in '
                f'reserve are under {budget.serving_min}.',
            )
        return None

    def _check_domains(self, instance: Instance, more: int) -> Refusal | None:
        for budget in self.budgets.domains:
            domain = get_domain(instance, budget.kind)
            down = self._counts.down_in[domain] + more
            if down > budget.down_max:
                return Refusal(
                    'maintenance.E004',
                    f'{budget.kind} {"/".join(domain)}: {down} down pass '
                    f'{budget.down_max}.',
                )
        return None

    def _get_reserve(
        self,
        instance: Instance,
        kind: DomainKind | None,
        more: int,
    ) -> int:
        if kind is None:
            return 0
        by_domain = self._counts.serving_in.get(instance.pool, Counter())
        own = get_domain(instance, kind)
        by_domain[own] -= more
        try:
            return _get_largest(by_domain, len(own))
        finally:
            by_domain[own] += more

    def _is_counted(self, instance: Instance) -> bool:
        # What waits for repair in the spare pool is nobody's capacity. If it
        # counted, each lost instance would block the spare pool for good.
        return (
            instance.condition is not Condition.set_aside
            or instance.pool != self.budgets.spare_pool
        )


def _get_domains(instance: Instance) -> tuple[Domain, ...]:
    path = (instance.region, instance.data_centre, instance.rack)
    return (path[:1], path[:2], path)


def _get_largest(by_domain: Counter[Domain], depth: int) -> int:
    largest = 0
    for domain, count in by_domain.items():
        if count > largest and len(domain) == depth:
            largest = count
    return largest
