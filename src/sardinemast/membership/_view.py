"""Entry's list of upstreams, as the leader and they themselves tell it."""

from collections.abc import Iterable

from sardinemast.membership._announcements import Announcement, UpstreamStatus
from sardinemast.membership._latest_versions import LatestVersions
from sardinemast.membership._roster import RosterUpstream

_Place = tuple[str, tuple[int, int]]
_LEAVING = frozenset((UpstreamStatus.draining, UpstreamStatus.stopped))


class RosterView:
    """Hold upstreams; an older word about one never replaces a newer."""

    def __init__(self) -> None:
        self._upstreams: dict[str, Announcement] = {}
        self._versions: dict[int, Announcement] = {}
        self._handles: dict[_Place, int] = {}
        self._latest_versions = LatestVersions()

    @property
    def announcements(self) -> tuple[Announcement, ...]:
        """Give the upstreams that are there."""
        return tuple(self._upstreams.values())

    def is_late(self, announcement: Announcement) -> bool:
        """Tell whether something newer is known."""
        return self._latest_versions.is_late(announcement)

    def get_handle(self, announcement: Announcement) -> int | None:
        """Give the leader's handle of exactly this announcement."""
        place = (announcement.instance, announcement.version)
        return self._handles.get(place)

    def accept_departure(
        self, announcement: Announcement, now_s: float
    ) -> bool:
        """Take an upstream's own word that it leaves, before the leader's."""
        if announcement.status not in _LEAVING:
            return False
        self._put(announcement, now_s)
        return True

    def clear_handles(self) -> None:
        """Note that the leader is gone, and its handles with it."""
        self._handles.clear()
        self._versions.clear()

    def replace(
        self,
        upstreams: Iterable[RosterUpstream],
        now_s: float,
        *,
        is_complete: bool,
    ) -> None:
        """Take the leader's whole list.

        The list of a new leader lacks whoever it has not heard yet; what is
        known here stays until the list is complete.
        """
        former = dict(self._upstreams)
        self.clear_handles()
        self._upstreams.clear()
        self.apply_changes(upstreams, (), now_s)
        for name, announcement in former.items():
            listed = self._upstreams.get(name)
            is_newer = listed and announcement.version > listed.version
            is_missed = listed is None and not is_complete
            if (is_newer or is_missed) and not self.is_late(announcement):
                self._upstreams[name] = announcement

    def apply_changes(
        self,
        upstreams: Iterable[RosterUpstream],
        removed_handles: Iterable[int],
        now_s: float,
    ) -> None:
        """Take what the leader says has changed."""
        for handle in removed_handles:
            self._remove(handle)
        for upstream in upstreams:
            announcement = upstream.announcement
            place = (announcement.instance, announcement.version)
            self._handles[place] = upstream.handle
            self._versions[upstream.handle] = announcement
            self._put(announcement, now_s)

    def _put(self, announcement: Announcement, now_s: float) -> None:
        if self._latest_versions.is_late(announcement):
            return
        self._latest_versions.note(announcement, now_s)
        if announcement.status is UpstreamStatus.stopped:
            self._upstreams.pop(announcement.instance, None)
        else:
            self._upstreams[announcement.instance] = announcement

    def _remove(self, handle: int) -> None:
        announcement = self._versions.pop(handle, None)
        if announcement is None:
            return
        self._handles.pop((announcement.instance, announcement.version), None)
        known = self._upstreams.get(announcement.instance)
        if known is not None and known.version <= announcement.version:
            self._upstreams.pop(announcement.instance)
