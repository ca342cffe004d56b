"""What an upstream says of itself."""

from enum import StrEnum
from typing import NamedTuple

MAX_NAME_CHARS = 128
_MAX_PORT = 65_535


class UpstreamStatus(StrEnum):
    """Where an upstream is between its start and its end.

    ``suspected`` is the leader's word about one that went silent, the others
    are the upstream's own.
    """

    joining = 'joining'
    serving = 'serving'
    draining = 'draining'
    stopped = 'stopped'
    suspected = 'suspected'


class Announcement(NamedTuple):
    """Say that an upstream is there.

    ``incarnation`` grows with each start of the upstream and ``sequence``
    with each change within one start, so that a late announcement is known
    as such. A repeated announcement is the same in every field.
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
        """Give what orders the announcements of one instance."""
        return (self.incarnation, self.sequence)

    @property
    def address(self) -> tuple[str, int]:
        """Give where the upstream listens."""
        return (self.host, self.port)


def is_valid_announcement(announcement: Announcement) -> bool:
    """Tell whether an upstream may say this."""
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
