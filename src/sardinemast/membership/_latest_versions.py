"""Newest announcement of each instance, also of those that are gone."""

from typing import NamedTuple

from sardinemast.membership._announcements import Announcement, UpstreamStatus

MARK_S = 7200.0
MAX_MARKS = 20_000


class _Mark(NamedTuple):
    version: tuple[int, int]
    is_stopped: bool
    noted_s: float


class LatestVersions:
    """Tell late announcements apart.

    An entry that was frozen wakes with announcements of an hour ago. Without
    a mark, an upstream that has drained and stopped would seem to serve
    again, and callers' requests would be sent to nobody.
    """

    def __init__(self) -> None:
        self._latest_versions: dict[str, _Mark] = {}

    def is_late(self, announcement: Announcement) -> bool:
        """Tell whether something newer is known, or the end."""
        mark = self._latest_versions.get(announcement.instance)
        if mark is None:
            return False
        if mark.version == announcement.version:
            return mark.is_stopped
        return announcement.version < mark.version

    def note(self, announcement: Announcement, now_s: float) -> None:
        """Note an announcement that is not late."""
        self._latest_versions.pop(announcement.instance, None)
        self._latest_versions[announcement.instance] = _Mark(
            announcement.version,
            announcement.status is UpstreamStatus.stopped,
            now_s,
        )
        self._forget(now_s)

    def _forget(self, now_s: float) -> None:
        while self._latest_versions:
            name, oldest = next(iter(self._latest_versions.items()))
            is_old = oldest.noted_s <= now_s - MARK_S
            if not is_old and len(self._latest_versions) <= MAX_MARKS:
                break
            self._latest_versions.pop(name)
