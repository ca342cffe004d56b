"""Report upstream announcements to the leader."""

from typing import NamedTuple

from sardinemast.membership import (
    LEASE_S,
    Announcement,
    RosterView,
    encode_handles,
)
from sardinemast.protocol import (
    EntryMessage,
    HeardUpstreams,
    ReportUpstreams,
)

HANDLES_INTERVAL_S = 0.5


class _ReceivedAnnouncement(NamedTuple):
    announcement: Announcement
    received_at_s: float


class UpstreamReports:
    """Report new announcements in full and repeated ones by handle."""

    def __init__(self, view: RosterView) -> None:
        self._view = view
        self._received: dict[str, _ReceivedAnnouncement] = {}
        self._unreported: set[str] = set()
        self._repeated_handles: set[int] = set()
        self._epoch = 0
        self._handles_sent_at_s = float('-inf')

    def record(self, announcement: Announcement, now_s: float) -> None:
        """Record an upstream's announcement, unless it is outdated."""
        if self._view.is_outdated(announcement):
            return
        self._received[announcement.instance] = _ReceivedAnnouncement(
            announcement, now_s
        )
        handle = self._view.get_handle(announcement)
        if handle is None:
            self._unreported.add(announcement.instance)
        else:
            self._repeated_handles.add(handle)

    def start_epoch(self, epoch: int) -> None:
        """Report all announcements of the last lease period to a new leader.

        The leader starts with an empty roster, and each upstream announces
        itself to one entry at a time. Together the entries' reports cover
        all upstreams.
        """
        self._epoch = epoch
        self._repeated_handles.clear()
        self._unreported.update(self._received)

    def build_due_reports(self, now_s: float) -> list[EntryMessage]:
        """Return the reports that are due."""
        self._discard_expired(now_s)
        messages: list[EntryMessage] = []
        if self._unreported:
            unreported = [
                self._received[name] for name in sorted(self._unreported)
            ]
            self._unreported.clear()
            messages.append(
                ReportUpstreams(
                    tuple(received.announcement for received in unreported),
                    tuple(
                        now_s - received.received_at_s
                        for received in unreported
                    ),
                ),
            )
        if (
            self._repeated_handles
            and now_s >= self._handles_sent_at_s + HANDLES_INTERVAL_S
        ):
            self._handles_sent_at_s = now_s
            handles = encode_handles(self._repeated_handles)
            self._repeated_handles.clear()
            messages.append(HeardUpstreams(self._epoch, handles))
        return messages

    def _discard_expired(self, now_s: float) -> None:
        # The announcements are not ordered by time, so all are checked.
        expired = [
            name
            for name, received in self._received.items()
            if received.received_at_s <= now_s - LEASE_S
        ]
        for name in expired:
            self._received.pop(name)
            self._unreported.discard(name)
