"""Leader's list of upstreams, made from their announcements."""

from collections import Counter
from itertools import count
from typing import NamedTuple

from sardinemast.membership._announcements import Announcement, UpstreamStatus
from sardinemast.membership._flapping import FlapCounter
from sardinemast.membership._latest_versions import LatestVersions

LEASE_S = 3.0
SUSPECT_S = 1.5
MAX_UPSTREAMS = 5000


class Upstream(NamedTuple):
    """Hold the newest announcement of an upstream and when it was heard."""

    handle: int
    announcement: Announcement
    held_until_s: float


class RosterUpstream(NamedTuple):
    """Hold what entries are told of an upstream."""

    handle: int
    announcement: Announcement


class RosterChanges(NamedTuple):
    """Hold what changed since the last time, and the handles that ended."""

    changed: tuple[RosterUpstream, ...]
    removed_handles: tuple[int, ...]


class Roster:
    """Hold the upstreams that announced themselves to any entry."""

    def __init__(self, lease_s: float = LEASE_S) -> None:
        self._lease_s = lease_s
        self._handles = count(1)
        self._upstreams: dict[str, Upstream] = {}
        # Thousands a second change, so they are not part of the records.
        self._heard_s: dict[int, float] = {}
        self._at_address: dict[tuple[str, int], str] = {}
        self._told: dict[str, RosterUpstream] = {}
        self._latest_versions = LatestVersions()
        self._flaps = FlapCounter()
        self._started_s: float = 0

    @property
    def upstreams(self) -> tuple[Announcement, ...]:
        """Give the newest announcement of each upstream that is there."""
        return tuple(
            one.announcement
            for one in self._upstreams.values()
            if one.announcement.status is not UpstreamStatus.stopped
        )

    def start_term(self, now_s: float) -> None:
        """Begin anew; until all were heard, nobody is missed."""
        self._started_s = now_s
        self._upstreams.clear()
        self._heard_s.clear()
        self._at_address.clear()
        self._told.clear()

    def is_complete(self, now_s: float) -> bool:
        """Tell whether whoever is there must have been heard by now."""
        return now_s >= self._started_s + self._lease_s

    def accept_announcement(
        self,
        fresh: Announcement,
        now_s: float,
        age_s: float = 0,
    ) -> bool:
        """Take an announcement that an entry heard ``age_s`` ago.

        Gives whether it was taken; a late one and one too many are not.
        """
        known = self._upstreams.get(fresh.instance)
        if self._latest_versions.is_late(fresh) or age_s >= self._lease_s:
            return False
        if known is None and len(self._upstreams) >= MAX_UPSTREAMS:
            return False
        self._latest_versions.note(fresh, now_s)
        # One that has stopped stays listed as such for a lease. An entry that
        # knows it from a former leader would else keep it as serving.
        self._put(fresh, known, now_s - age_s, now_s)
        return True

    def renew(self, handle: int, now_s: float) -> None:
        """Take an unchanged announcement by its handle."""
        if self._heard_s.get(handle) is not None:
            self._heard_s[handle] = now_s

    def expire(self, now_s: float) -> None:
        """Drop the upstreams whose lease has ended."""
        if not self.is_complete(now_s):
            return
        ended_s = now_s - self._lease_s
        for upstream in tuple(self._upstreams.values()):
            if self._heard_s[upstream.handle] <= ended_s:
                self._remove(upstream.announcement.instance)
        self._flaps.forget_old(now_s)

    def get_published(self) -> tuple[RosterUpstream, ...]:
        """Give all that entries have been told."""
        return tuple(self._told.values())

    def publish_changes(self, now_s: float) -> RosterChanges:
        """Give what entries are to be told now."""
        current = self._describe(now_s)
        removed_handles = tuple(
            told.handle
            for name, told in self._told.items()
            if name not in current or current[name].handle != told.handle
        )
        changed = tuple(
            upstream
            for name, upstream in current.items()
            if self._told.get(name) is not upstream
            and self._told.get(name) != upstream
        )
        self._told = current
        return RosterChanges(changed, removed_handles)

    def _put(
        self,
        fresh: Announcement,
        known: Upstream | None,
        heard_s: float,
        now_s: float,
    ) -> None:
        if known is not None and known.announcement == fresh:
            known_s = self._heard_s[known.handle]
            self._heard_s[known.handle] = max(heard_s, known_s)
            return
        held_until_s = known.held_until_s if known else now_s
        is_start = known is None or (
            known.announcement.incarnation != fresh.incarnation
        )
        if is_start and self.is_complete(now_s):
            held_until_s = self._flaps.note_start(fresh.instance, now_s)
        self._remove(fresh.instance)
        self._free_address(fresh)
        upstream = Upstream(next(self._handles), fresh, held_until_s)
        self._heard_s[upstream.handle] = heard_s
        self._upstreams[fresh.instance] = upstream
        self._at_address[fresh.address] = fresh.instance

    def _free_address(self, fresh: Announcement) -> None:
        # Whoever listens at the address now is the one that announced last.
        # Under the former name it would be counted, and sent work, twice.
        other = self._at_address.get(fresh.address)
        if other is not None:
            self._remove(other)

    def _remove(self, instance: str) -> None:
        known = self._upstreams.pop(instance, None)
        if known is not None:
            self._heard_s.pop(known.handle)
            self._at_address.pop(known.announcement.address, None)

    def _describe(self, now_s: float) -> dict[str, RosterUpstream]:
        silent = self._find_silent(now_s)
        return {
            name: self._keep(
                name,
                upstream.handle,
                _describe(upstream, is_silent=name in silent, now_s=now_s),
            )
            for name, upstream in self._upstreams.items()
        }

    def _keep(
        self,
        name: str,
        handle: int,
        announcement: Announcement,
    ) -> RosterUpstream:
        # Nearly all upstreams are as they were told. Giving the same record
        # spares making it and comparing it field by field.
        told = self._told.get(name)
        if (
            told is not None
            and told.handle == handle
            and told.announcement is announcement
        ):
            return told
        return RosterUpstream(handle, announcement)

    def _find_silent(self, now_s: float) -> set[str]:
        # When most of a pool seems silent, it is likelier that the way to the
        # leader is broken than that they all died at once. To suspect them
        # all would stop a pool that works.
        if not self.is_complete(now_s):
            return set()
        of_pool = Counter(one.pool for one in self.upstreams)
        silent = [
            one.announcement
            for one in self._upstreams.values()
            if self._heard_s[one.handle] <= now_s - SUSPECT_S
            and one.announcement.status is not UpstreamStatus.stopped
        ]
        silent_of_pool = Counter(one.pool for one in silent)
        return {
            one.instance
            for one in silent
            if 2 * silent_of_pool[one.pool] <= of_pool[one.pool]
        }


def _describe(
    upstream: Upstream,
    *,
    is_silent: bool,
    now_s: float,
) -> Announcement:
    announcement = upstream.announcement
    if announcement.status is not UpstreamStatus.serving:
        return announcement
    if now_s < upstream.held_until_s:
        return announcement._replace(status=UpstreamStatus.joining)
    if is_silent:
        return announcement._replace(status=UpstreamStatus.suspected)
    return announcement
