"""Track upstreams by their announcements, leases and departures."""

from sardinemast.membership._announcements import (
    Announcement,
    UpstreamStatus,
    is_valid_announcement,
)
from sardinemast.membership._handles import decode_handles, encode_handles
from sardinemast.membership._roster import (
    LEASE_S,
    Roster,
    RosterChanges,
    RosterUpstream,
)
from sardinemast.membership._view import RosterView

__all__ = (
    'LEASE_S',
    'Announcement',
    'Roster',
    'RosterChanges',
    'RosterUpstream',
    'RosterView',
    'UpstreamStatus',
    'decode_handles',
    'encode_handles',
    'is_valid_announcement',
)
