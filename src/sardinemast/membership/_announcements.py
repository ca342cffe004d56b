"""Define the announcements by which upstreams report themselves."""

from enum import StrEnum
from typing import NamedTuple

MAX_NAME_CHARS = 128
_MAX_PORT = 65_535


class UpstreamStatus(StrEnum):
    """Define the states in the life cycle of an upstream.

    An upstream announces its own state, except for ``suspected``, which the
    leader sets for an upstream that it has not heard from.
    """

    joining = 'joining'
    serving = 'serving'
    draining = 'draining'
    stopped = 'stopped'
    suspected = 'suspected'


class Announcement(NamedTuple):
    """Report the address, location and status of an upstream.

    ``incarnation`` grows with each start of the upstream and ``sequence`` with
    each change after a start, so that outdated announcements can be detected.
    An announcement that is repeated as a heartbeat is equal in every field.
    """

    instance: str
    incarnation: int
    pool: str
    host: str
    port: int
    data_centre: str
    rack: str
    status: UpstreamStatus = UpstreamStatus.serving
    sequence: int = 0

    @property
    def version(self) -> tuple[int, int]:
        """Return the key that orders the announcements of one instance."""
        return (self.incarnation, self.sequence)

    @property
    def address(self) -> tuple[str, int]:
        """Return host and port of the upstream."""
        return (self.host, self.port)


def is_valid_announcement(announcement: Announcement) -> bool:
    """Check the lengths, the port and the status of an announcement."""
    names = (
        announcement.instance,
        announcement.pool,
        announcement.host,
        announcement.data_centre,
        announcement.rack,
    )
    return (
        all(0 < len(name) <= MAX_NAME_CHARS for name in names)
        and 0 < announcement.port <= _MAX_PORT
        and announcement.status is not UpstreamStatus.suspected
    )
