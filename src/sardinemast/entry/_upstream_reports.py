"""What an entry tells the leader of upstreams that it heard."""

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

DIGEST_INTERVAL_S = 0.5


class _Heard(NamedTuple):
    announcement: Announcement
    heard_s: float


class UpstreamReports:
    """Report changes at once and unchanged announcements by their handle."""

    def __init__(self, view: RosterView) -> None:
        self._view = view
        self._heard: dict[str, _Heard] = {}
        self._fresh: set[str] = set()
        self._repeated: set[int] = set()
        self._epoch = 0
        self._digest_s = float('-inf')

    def hear(self, announcement: Announcement, now_s: float) -> None:
        """Take an upstream's announcement, unless it is late."""
        if self._view.is_outdated(announcement):
            return
        self._heard[announcement.instance] = _Heard(announcement, now_s)
        handle = self._view.get_handle(announcement)
        if handle is None:
            self._fresh.add(announcement.instance)
        else:
            self._repeated.add(handle)

    def start_epoch(self, epoch: int) -> None:
        """Tell a new leader all that was heard within a lease.

        It knows nobody yet, and each upstream announces to one entry at a
        time; the entries' reports together name all that are there.
        """
        self._epoch = epoch
        self._repeated.clear()
        self._fresh.update(self._heard)

    def take_due(self, now_s: float) -> list[EntryMessage]:
        """Give what is to be sent now."""
        self._forget_old(now_s)
        messages: list[EntryMessage] = []
        if self._fresh:
            fresh = [self._heard[name] for name in sorted(self._fresh)]
            self._fresh.clear()
            messages.append(
                ReportUpstreams(
                    tuple(one.announcement for one in fresh),
                    tuple(now_s - one.heard_s for one in fresh),
                ),
            )
        if self._repeated and now_s >= self._digest_s + DIGEST_INTERVAL_S:
            self._digest_s = now_s
            handles = encode_handles(self._repeated)
            self._repeated.clear()
            messages.append(HeardUpstreams(self._epoch, handles))
        return messages

    def _forget_old(self, now_s: float) -> None:
        # The table is in no order of time, and holds what one entry hears.
        old = [
            name
            for name, heard in self._heard.items()
            if heard.heard_s <= now_s - LEASE_S
        ]
        for name in old:
            self._heard.pop(name)
            self._fresh.discard(name)
