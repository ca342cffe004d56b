"""List of upstreams made from their announcements."""

from enum import StrEnum
from typing import NamedTuple

LEASE_S = 3.0


class UpstreamStatus(StrEnum):
    """What an upstream says of itself."""

    serving = 'serving'
    draining = 'draining'


class Announcement(NamedTuple):
    """Say that an upstream is there.

    ``incarnation`` grows with each start of the upstream, so that a late
    announcement of an earlier start is known as such.
    """

    instance: str
    incarnation: int
    pool: str
    host: str
    port: int
    data_centre: str
    rack: str
    status: UpstreamStatus = UpstreamStatus.serving


class Upstream(NamedTuple):
    """Hold the newest announcement and until when it counts."""

    announcement: Announcement
    lease_until_s: float


class Roster:
    """Hold the upstreams that announced themselves."""

    def __init__(self, lease_s: float = LEASE_S) -> None:
        self._lease_s = lease_s
        self._upstreams: dict[str, Upstream] = {}

    @property
    def announcements(self) -> tuple[Announcement, ...]:
        """Give the newest announcement of each upstream."""
        return tuple(one.announcement for one in self._upstreams.values())

    def take_announcement(self, fresh: Announcement, now_s: float) -> bool:
        """Renew a lease, and tell whether anything else changed."""
        known = self._upstreams.get(fresh.instance)
        if known and known.announcement.incarnation > fresh.incarnation:
            return False
        self._upstreams[fresh.instance] = Upstream(
            fresh,
            now_s + self._lease_s,
        )
        return known is None or known.announcement != fresh

    def expire(self, now_s: float) -> tuple[Announcement, ...]:
        """Drop the upstreams whose lease has ended, and give them."""
        gone = tuple(
            one.announcement
            for one in self._upstreams.values()
            if one.lease_until_s <= now_s
        )
        for announcement in gone:
            self._upstreams.pop(announcement.instance)
        return gone
