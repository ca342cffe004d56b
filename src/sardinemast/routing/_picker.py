"""Selection of the upstream with the lowest expected latency."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from sardinemast.fleet import FleetState, Pool, get_pool
from sardinemast.maintenance import takes_work
from sardinemast.membership import Announcement, UpstreamStatus
from sardinemast.routing._health import UpstreamHealth, get_typical_s

UpstreamKey = tuple[str, int]
_DEFAULT_DURATION_S = 0.05


class UpstreamCriteria(NamedTuple):
    """Hold the properties of a request that affect the selection.

    ``avoided`` holds the upstreams at which the request has failed before.
    """

    pool: str
    is_repeatable: bool
    avoided: tuple[Announcement, ...] = ()


class UpstreamPicker:
    """Select upstreams by health, locality and this entry's load on them."""

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
        """Replace the known upstreams.

        Upstreams of the first roster are taken as warm, since they may have
        started before this entry; later ones have just joined.
        """
        warm_since_s = now_s if self._healths else float('-inf')
        self._pools.clear()
        for one in announcements:
            self._pools.setdefault(one.pool, []).append(one)
            self._healths.setdefault(
                get_upstream_key(one), UpstreamHealth(warm_since_s)
            )
        self._remove_former_incarnations(announcements)

    def choose(
        self,
        state: FleetState,
        criteria: UpstreamCriteria,
        now_s: float,
    ) -> Announcement | None:
        """Return the upstream for a request, or None if all are full."""
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
        return min(free, key=self._make_rank(criteria), default=None)

    def start(self, upstream: Announcement) -> None:
        """Record the start of a request at an upstream."""
        start = get_upstream_key(upstream)
        self._running[start] = self._running.get(start, 0) + 1

    def end(self, upstream: Announcement) -> None:
        """Record the end of a request at an upstream."""
        start = get_upstream_key(upstream)
        self._running[start] -= 1
        if not self._running[start]:
            self._running.pop(start)

    def record_answer(
        self,
        upstream: Announcement,
        started_s: float,
        now_s: float,
    ) -> None:
        """Record a good answer, and eject the upstream if it is slow."""
        health = self._healths.get(get_upstream_key(upstream))
        if health is None:
            return
        health.record_answer(started_s, now_s)
        typical_s = self._get_typical_s(upstream.pool)
        if typical_s is not None and health.is_slow(typical_s):
            health.eject(now_s, self._random)

    def record_failure(
        self,
        upstream: Announcement,
        started_s: float,
        now_s: float,
    ) -> None:
        """Record a failure of an upstream."""
        health = self._healths.get(get_upstream_key(upstream))
        if health is not None:
            health.record_failure(started_s, now_s, self._random)

    def counts_as_failure(
        self, upstream: Announcement, waited_s: float
    ) -> bool:
        """Return whether a timeout counts as a failure of the upstream.

        Timeouts well below the typical duration don't count: callers with
        very short deadlines could otherwise eject a whole pool.
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
        # If all are ejected, use them anyway: otherwise a recovered pool would
        # stay unused.
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

    def _make_rank(
        self,
        criteria: UpstreamCriteria,
    ) -> Callable[[Announcement], tuple[int, bool, float, float]]:
        domains = [_get_failure_domain(one) for one in criteria.avoided]
        instances = {one.instance for one in criteria.avoided}

        def rank(one: Announcement) -> tuple[int, bool, float, float]:
            repeats = domains.count(_get_failure_domain(one))
            return (
                repeats + (one.instance in instances),
                one.data_centre != self._site,
                self._get_cost_s(one),
                # Breaks ties, or all entries would choose the same one.
                self._random.random(),
            )

        return rank

    def _get_cost_s(self, one: Announcement) -> float:
        start = get_upstream_key(one)
        duration_s = self._healths[start].duration_s or _DEFAULT_DURATION_S
        return duration_s * (self._running.get(start, 0) + 1)

    def _get_typical_s(self, pool_name: str) -> float | None:
        return get_typical_s(
            [
                self._healths[get_upstream_key(one)]
                for one in self._pools.get(pool_name, ())
            ]
        )

    def _remove_former_incarnations(
        self, announcements: tuple[Announcement, ...]
    ) -> None:
        # Upstreams missing from the roster keep their health, since a roster
        # may be empty for a moment.
        newest = dict(map(get_upstream_key, announcements))
        for instance, incarnation in tuple(self._healths):
            if newest.get(instance, incarnation) > incarnation:
                self._healths.pop((instance, incarnation))


def get_upstream_key(one: Announcement) -> UpstreamKey:
    """Return the instance and incarnation of an upstream."""
    return (one.instance, one.incarnation)


def _get_failure_domain(one: Announcement) -> tuple[str, str]:
    return (one.data_centre, one.rack)


def _is_usable(state: FleetState, one: Announcement, pool_name: str) -> bool:
    if state.subsystems.jobs.data_centres.is_evacuated(one.data_centre):
        return False
    # Both the state and the announcement must name the pool: after a move the
    # announcement may still name the former one.
    placed = state.instances.get(one.instance)
    return (
        one.status is UpstreamStatus.serving
        and one.pool == pool_name
        and placed is not None
        and placed.pool == pool_name
        and takes_work(state.subsystems.maintenance, one.instance)
    )
