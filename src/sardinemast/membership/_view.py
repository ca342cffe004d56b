"""Maintain an entry's list of upstreams."""

from collections.abc import Iterable

from sardinemast.membership._announcements import Announcement, UpstreamStatus
from sardinemast.membership._latest_versions import LatestVersions
from sardinemast.membership._roster import RosterUpstream

_VersionKey = tuple[str, tuple[int, int]]
_LEAVING = frozenset((UpstreamStatus.draining, UpstreamStatus.stopped))


class RosterView:
    """Hold the upstreams that the leader published or that depart here.

    An older version of an upstream never replaces a newer one.
    """

    def __init__(self) -> None:
        self._upstreams: dict[str, Announcement] = {}
        self._announcement_by_handle: dict[int, Announcement] = {}
        self._handles: dict[_VersionKey, int] = {}
        self._latest_versions = LatestVersions()

    @property
    def announcements(self) -> tuple[Announcement, ...]:
        """Return the newest announcement of each listed upstream."""
        return tuple(self._upstreams.values())

    def is_outdated(self, announcement: Announcement) -> bool:
        """Check whether a newer version of the instance is known."""
        return self._latest_versions.is_outdated(announcement)

    def get_handle(self, announcement: Announcement) -> int | None:
        """Return the leader's handle for this version, if published."""
        key = (announcement.instance, announcement.version)
        return self._handles.get(key)

    def accept_departure(
        self, announcement: Announcement, now_s: float
    ) -> bool:
        """Apply an announced departure before the leader publishes it.

        Returns whether the announcement is one of a departure.
        """
        if announcement.status not in _LEAVING:
            return False
        self._put(announcement, now_s)
        return True

    def clear_handles(self) -> None:
        """Discard all handles, which only the leader that made them knows."""
        self._handles.clear()
        self._announcement_by_handle.clear()

    def replace(
        self,
        upstreams: Iterable[RosterUpstream],
        now_s: float,
        *,
        is_complete: bool,
    ) -> None:
        """Replace the list by the leader's full roster.

        A new leader's roster lacks upstreams that it has not heard from yet, so
        that upstreams known here are kept until the roster is complete.
        """
        previous = dict(self._upstreams)
        self.clear_handles()
        self._upstreams.clear()
        self.apply_changes(upstreams, (), now_s)
        for name, announcement in previous.items():
            listed = self._upstreams.get(name)
            is_newer = listed and announcement.version > listed.version
            is_missing = listed is None and not is_complete
            if (is_newer or is_missing) and not self.is_outdated(announcement):
                self._upstreams[name] = announcement

    def apply_changes(
        self,
        upstreams: Iterable[RosterUpstream],
        removed_handles: Iterable[int],
        now_s: float,
    ) -> None:
        """Apply changes that the leader published."""
        for handle in removed_handles:
            self._remove(handle)
        for upstream in upstreams:
            announcement = upstream.announcement
            key = (announcement.instance, announcement.version)
            self._handles[key] = upstream.handle
            self._announcement_by_handle[upstream.handle] = announcement
            self._put(announcement, now_s)

    def _put(self, announcement: Announcement, now_s: float) -> None:
        if self._latest_versions.is_outdated(announcement):
            return
        self._latest_versions.record(announcement, now_s)
        if announcement.status is UpstreamStatus.stopped:
            self._upstreams.pop(announcement.instance, None)
        else:
            self._upstreams[announcement.instance] = announcement

    def _remove(self, handle: int) -> None:
        announcement = self._announcement_by_handle.pop(handle, None)
        if announcement is None:
            return
        self._handles.pop((announcement.instance, announcement.version), None)
        current = self._upstreams.get(announcement.instance)
        if current is not None and current.version <= announcement.version:
            self._upstreams.pop(announcement.instance)
