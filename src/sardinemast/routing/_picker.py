"""Choose the upstream that will answer soonest."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from sardinemast.fleet import FleetState, Pool, get_pool
from sardinemast.maintenance import takes_work
from sardinemast.membership import Announcement, UpstreamStatus
from sardinemast.routing._health import UpstreamHealth, get_typical_s

UpstreamKey = tuple[str, int]
_UNKNOWN_S = 0.05


class UpstreamCriteria(NamedTuple):
    """Hold what matters for the choice.

    ``avoided`` are the upstreams at which the request has failed before.
    """

    pool: str
    is_repeatable: bool
    avoided: tuple[Announcement, ...] = ()


class UpstreamPicker:
    """Count this entry's requests at each upstream and choose among them."""

    def __init__(self, site: str, random: Random) -> None:
        self._site = site
        self._random = random
        self._pools: dict[str, list[Announcement]] = {}
        self._running: dict[UpstreamKey, int] = {}
        self._healths: dict[UpstreamKey, UpstreamHealth] = {}

    def replace_roster(
        self,
        announcements: tuple[Announcement, ...],
        now_s: float,
    ) -> None:
        """Take the upstreams that are there now.

        Those of the first roster were there before this entry, so they are
        warm; later ones have just joined.
        """
        warm_since_s = now_s if self._healths else float('-inf')
        self._pools.clear()
        for one in announcements:
            self._pools.setdefault(one.pool, []).append(one)
            self._healths.setdefault(
                get_upstream_key(one), UpstreamHealth(warm_since_s)
            )
        self._forget_former(announcements)

    def choose(
        self,
        state: FleetState,
        criteria: UpstreamCriteria,
        now_s: float,
    ) -> Announcement | None:
        """Give the upstream for a request, or nothing where all are full."""
        pool = get_pool(state, criteria.pool, self._site)
        if pool is None:
            return None
        usable = [
            one
            for one in self._pools.get(criteria.pool, ())
            if _is_usable(state, one, criteria.pool)
        ]
        candidates = self._get_candidates(usable, criteria, now_s)
        free = [one for one in candidates if self._has_slot(one, pool, now_s)]
        return min(free, key=self._get_rank(criteria), default=None)

    def start(self, upstream: Announcement) -> None:
        """Count a request as running at an upstream."""
        start = get_upstream_key(upstream)
        self._running[start] = self._running.get(start, 0) + 1

    def end(self, upstream: Announcement) -> None:
        """Count a request as ended at an upstream."""
        start = get_upstream_key(upstream)
        self._running[start] -= 1
        if not self._running[start]:
            self._running.pop(start)

    def note_answer(
        self,
        upstream: Announcement,
        started_s: float,
        now_s: float,
    ) -> None:
        """Note a good answer, and set the upstream aside where it is slow."""
        health = self._healths.get(get_upstream_key(upstream))
        if health is None:
            return
        health.note_answer(started_s, now_s)
        typical_s = self._get_typical_s(upstream.pool)
        if typical_s is not None and health.is_slow(typical_s):
            health.eject(now_s, self._random)

    def note_failure(
        self,
        upstream: Announcement,
        started_s: float,
        now_s: float,
    ) -> None:
        """Note a failure of an upstream."""
        health = self._healths.get(get_upstream_key(upstream))
        if health is not None:
            health.note_failure(started_s, now_s, self._random)

    def is_late(self, upstream: Announcement, waited_s: float) -> bool:
        """Tell whether a wait without an answer speaks against an upstream.

        A caller with a deadline of a millisecond learns nothing about the
        upstream; counted, a few of them would set aside a whole pool.
        """
        typical_s = self._get_typical_s(upstream.pool)
        return typical_s is None or waited_s >= 2 * typical_s

    def _get_candidates(
        self,
        usable: list[Announcement],
        criteria: UpstreamCriteria,
        now_s: float,
    ) -> list[Announcement]:
        probes = [
            one for one in usable if self._may_probe(one, criteria, now_s)
        ]
        if probes and not criteria.avoided:
            return probes
        good = [
            one
            for one in usable
            if not self._healths[get_upstream_key(one)].is_ejected
        ]
        # Where all are set aside, trying one of them is the only way to
        # serve; a pool that has recovered would stay unused otherwise.
        return good or usable

    def _may_probe(
        self,
        one: Announcement,
        criteria: UpstreamCriteria,
        now_s: float,
    ) -> bool:
        start = get_upstream_key(one)
        return not self._running.get(start) and self._healths[start].may_probe(
            now_s, is_repeatable=criteria.is_repeatable
        )

    def _has_slot(self, one: Announcement, pool: Pool, now_s: float) -> bool:
        start = get_upstream_key(one)
        slots = self._healths[start].get_slots(pool.slots, now_s)
        return self._running.get(start, 0) < slots

    def _get_rank(
        self,
        criteria: UpstreamCriteria,
    ) -> Callable[[Announcement], tuple[int, bool, float, float]]:
        domains = [_get_domain(one) for one in criteria.avoided]
        instances = {one.instance for one in criteria.avoided}

        def rank(one: Announcement) -> tuple[int, bool, float, float]:
            repeats = domains.count(_get_domain(one))
            return (
                repeats + (one.instance in instances),
                one.data_centre != self._site,
                self._get_cost_s(one),
                # All entries would take the same one of equals otherwise.
                self._random.random(),
            )

        return rank

    def _get_cost_s(self, one: Announcement) -> float:
        start = get_upstream_key(one)
        duration_s = self._healths[start].duration_s or _UNKNOWN_S
        return duration_s * (self._running.get(start, 0) + 1)

    def _get_typical_s(self, pool_name: str) -> float | None:
        return get_typical_s(
            [
                self._healths[get_upstream_key(one)]
                for one in self._pools.get(pool_name, ())
            ]
        )

    def _forget_former(self, announcements: tuple[Announcement, ...]) -> None:
        # Those that are merely gone stay: a roster that is empty for a
        # moment must not forget who is warm and who is set aside.
        newest = dict(map(get_upstream_key, announcements))
        for instance, incarnation in tuple(self._healths):
            if newest.get(instance, incarnation) > incarnation:
                self._healths.pop((instance, incarnation))


def get_upstream_key(one: Announcement) -> UpstreamKey:
    """Name one start of an upstream."""
    return (one.instance, one.incarnation)


def _get_domain(one: Announcement) -> tuple[str, str]:
    return (one.data_centre, one.rack)


def _is_usable(state: FleetState, one: Announcement, pool_name: str) -> bool:
    # Both the log and the upstream must name the pool. An instance that was
    # moved while its announcement was under way would otherwise get work of
    # the pool that it has left.
    placed = state.instances.get(one.instance)
    return (
        one.status is UpstreamStatus.serving
        and one.pool == pool_name
        and placed is not None
        and placed.pool == pool_name
        and takes_work(state.subsystems.maintenance, one.instance)
    )
