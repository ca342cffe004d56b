"""Maintain the leader's list of upstreams from their announcements."""

from collections import Counter
from itertools import count
from typing import NamedTuple

from sardinemast.membership._announcements import Announcement, UpstreamStatus
from sardinemast.membership._flapping import FlapCounter
from sardinemast.membership._latest_versions import LatestVersions

LEASE_S = 3.0
SUSPECT_AFTER_S = 1.5
MAX_UPSTREAMS = 5000


class TrackedUpstream(NamedTuple):
    """Hold the newest announcement of an upstream.

    ``held_until_s`` is the time until which a flapping upstream is held back.
    """

    handle: int
    announcement: Announcement
    held_until_s: float


class RosterUpstream(NamedTuple):
    """Describe an upstream as published to entries.

    The handle stands for exactly this announcement in later messages.
    """

    handle: int
    announcement: Announcement


class RosterChanges(NamedTuple):
    """Hold the upstreams changed and the handles removed since last time."""

    changed: tuple[RosterUpstream, ...]
    removed_handles: tuple[int, ...]


class Roster:
    """Hold the upstreams that have announced themselves to any entry."""

    def __init__(self, lease_s: float = LEASE_S) -> None:
        self._lease_s = lease_s
        self._handles = count(1)
        self._upstreams: dict[str, TrackedUpstream] = {}
        # By handle, apart from the records, because thousands change a second.
        self._last_heard_s: dict[int, float] = {}
        self._instance_by_address: dict[tuple[str, int], str] = {}
        self._published: dict[str, RosterUpstream] = {}
        self._latest_versions = LatestVersions()
        self._flap_counter = FlapCounter()
        self._term_started_s: float = 0

    @property
    def upstreams(self) -> tuple[Announcement, ...]:
        """Return the newest announcement of each upstream not stopped."""
        return tuple(
            upstream.announcement
            for upstream in self._upstreams.values()
            if upstream.announcement.status is not UpstreamStatus.stopped
        )

    def start_term(self, now_s: float) -> None:
        """Clear the roster for a new term of this leader."""
        self._term_started_s = now_s
        self._upstreams.clear()
        self._last_heard_s.clear()
        self._instance_by_address.clear()
        self._published.clear()

    def is_complete(self, now_s: float) -> bool:
        """Check whether all live upstreams must have been reported by now."""
        return now_s >= self._term_started_s + self._lease_s

    def accept_announcement(
        self,
        announcement: Announcement,
        now_s: float,
        age_s: float = 0,
    ) -> bool:
        """Record an announcement that an entry received ``age_s`` ago.

        Returns false if it is outdated or the roster is full.
        """
        previous = self._upstreams.get(announcement.instance)
        if (
            self._latest_versions.is_outdated(announcement)
            or age_s >= self._lease_s
        ):
            return False
        if previous is None and len(self._upstreams) >= MAX_UPSTREAMS:
            return False
        self._latest_versions.record(announcement, now_s)
        # A stopped upstream stays listed until its lease ends, or an entry
        # that knows it from an earlier leader would keep it as serving.
        self._put(announcement, previous, now_s - age_s, now_s)
        return True

    def renew(self, handle: int, now_s: float) -> None:
        """Renew the lease of an upstream that repeated its announcement."""
        if self._last_heard_s.get(handle) is not None:
            self._last_heard_s[handle] = now_s

    def expire(self, now_s: float) -> None:
        """Remove upstreams whose lease has expired."""
        if not self.is_complete(now_s):
            return
        expired_before_s = now_s - self._lease_s
        for upstream in tuple(self._upstreams.values()):
            if self._last_heard_s[upstream.handle] <= expired_before_s:
                self._remove(upstream.announcement.instance)
        self._flap_counter.discard_expired(now_s)

    def get_published(self) -> tuple[RosterUpstream, ...]:
        """Return all upstreams as last published to entries."""
        return tuple(self._published.values())

    def publish_changes(self, now_s: float) -> RosterChanges:
        """Return the changes since the last call, to be sent to entries."""
        current = self._build_roster(now_s)
        removed_handles = tuple(
            published.handle
            for name, published in self._published.items()
            if name not in current or current[name].handle != published.handle
        )
        changed = tuple(
            upstream
            for name, upstream in current.items()
            if self._published.get(name) is not upstream
            and self._published.get(name) != upstream
        )
        self._published = current
        return RosterChanges(changed, removed_handles)

    def _put(
        self,
        announcement: Announcement,
        previous: TrackedUpstream | None,
        heard_s: float,
        now_s: float,
    ) -> None:
        if previous is not None and previous.announcement == announcement:
            previous_heard_s = self._last_heard_s[previous.handle]
            self._last_heard_s[previous.handle] = max(heard_s, previous_heard_s)
            return
        held_until_s = previous.held_until_s if previous else now_s
        is_start = previous is None or (
            previous.announcement.incarnation != announcement.incarnation
        )
        if is_start and self.is_complete(now_s):
            held_until_s = self._flap_counter.record_start(
                announcement.instance, now_s
            )
        self._remove(announcement.instance)
        self._release_address(announcement)
        upstream = TrackedUpstream(
            next(self._handles), announcement, held_until_s
        )
        self._last_heard_s[upstream.handle] = heard_s
        self._upstreams[announcement.instance] = upstream
        self._instance_by_address[announcement.address] = announcement.instance

    def _release_address(self, announcement: Announcement) -> None:
        # The newest announcement of an address wins. Kept under its former
        # name too, the upstream would be counted and sent requests twice.
        former_owner = self._instance_by_address.get(announcement.address)
        if former_owner is not None:
            self._remove(former_owner)

    def _remove(self, instance: str) -> None:
        previous = self._upstreams.pop(instance, None)
        if previous is not None:
            self._last_heard_s.pop(previous.handle)
            self._instance_by_address.pop(previous.announcement.address, None)

    def _build_roster(self, now_s: float) -> dict[str, RosterUpstream]:
        silent = self._find_silent(now_s)
        return {
            name: self._reuse_published(
                name,
                upstream.handle,
                _get_effective_announcement(
                    upstream, is_silent=name in silent, now_s=now_s
                ),
            )
            for name, upstream in self._upstreams.items()
        }

    def _reuse_published(
        self,
        name: str,
        handle: int,
        announcement: Announcement,
    ) -> RosterUpstream:
        # Most upstreams are unchanged. Reusing the record avoids building one
        # and comparing it field by field.
        published = self._published.get(name)
        if (
            published is not None
            and published.handle == handle
            and published.announcement is announcement
        ):
            return published
        return RosterUpstream(handle, announcement)

    def _find_silent(self, now_s: float) -> set[str]:
        # If most of a pool is silent, the path to the leader has probably
        # failed, rather than all upstreams at once. Suspecting all of them
        # would stop a working pool.
        if not self.is_complete(now_s):
            return set()
        total_by_pool = Counter(
            announcement.pool for announcement in self.upstreams
        )
        silent = [
            upstream.announcement
            for upstream in self._upstreams.values()
            if self._last_heard_s[upstream.handle] <= now_s - SUSPECT_AFTER_S
            and upstream.announcement.status is not UpstreamStatus.stopped
        ]
        silent_by_pool = Counter(announcement.pool for announcement in silent)
        return {
            announcement.instance
            for announcement in silent
            if 2 * silent_by_pool[announcement.pool]
            <= total_by_pool[announcement.pool]
        }


def _get_effective_announcement(
    upstream: TrackedUpstream,
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
