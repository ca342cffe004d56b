"""Who is there: announcements, leases, suspicion and leaving."""

from sardinemast.membership._roster import (
    Announcement,
    Roster,
    Upstream,
    UpstreamStatus,
)

__all__ = ('Announcement', 'Roster', 'Upstream', 'UpstreamStatus')
