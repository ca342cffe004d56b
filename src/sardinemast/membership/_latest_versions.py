"""Remember the newest version of each instance, also after it stopped."""

from typing import NamedTuple

from sardinemast.membership._announcements import Announcement, UpstreamStatus

RETENTION_S = 7200.0
MAX_INSTANCES = 20_000


class _HighWaterMark(NamedTuple):
    version: tuple[int, int]
    is_stopped: bool
    recorded_s: float


class LatestVersions:
    """Detect outdated announcements by a high-water mark per instance.

    An entry that was frozen may pass on announcements that are an hour old. An
    upstream that has stopped since would otherwise be listed as serving again.
    """

    def __init__(self) -> None:
        self._marks: dict[str, _HighWaterMark] = {}

    def is_outdated(self, announcement: Announcement) -> bool:
        """Check whether a newer version, or the stop, is known."""
        mark = self._marks.get(announcement.instance)
        if mark is None:
            return False
        if mark.version == announcement.version:
            return mark.is_stopped
        return announcement.version < mark.version

    def record(self, announcement: Announcement, now_s: float) -> None:
        """Record an announcement that is not outdated."""
        self._marks.pop(announcement.instance, None)
        self._marks[announcement.instance] = _HighWaterMark(
            announcement.version,
            announcement.status is UpstreamStatus.stopped,
            now_s,
        )
        self._discard_expired(now_s)

    def _discard_expired(self, now_s: float) -> None:
        while self._marks:
            name, oldest = next(iter(self._marks.items()))
            is_old = oldest.recorded_s <= now_s - RETENTION_S
            if not is_old and len(self._marks) <= MAX_INSTANCES:
                break
            self._marks.pop(name)
