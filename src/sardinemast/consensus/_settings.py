"""Names and times of one replica."""

from typing import NamedTuple

_BATCH_BYTES = 1024 * 1024
_CHUNK_BYTES = _BATCH_BYTES // 4


class ReplicaSettings(NamedTuple):
    """Name the replicas and set the times.

    With ``voters_max`` the voters of the settings only found the cluster.
    Replicas of any name may join it, up to that many become voters, and one
    that nobody has heard for ``replace_after_s`` gives its place to a replica
    that waits for one: longer than a restart or a lost word, short enough
    that a second loss seldom comes before.

    ``lease_s`` is shorter than the shortest election timeout, so that a new
    leader cannot be elected while the old one still trusts its lease. The
    quotient bounds how far the rates of two clocks may lie apart. Entries and
    chunks in one message are bounded, since a frame of more than
    ``wire.MAX_FRAME_BYTES`` breaks the stream each time it is sent again.
    """

    name: str
    voters: tuple[str, ...]
    heartbeat_s: float = 0.1
    election_timeout_s: float = 0.6
    lease_s: float = 0.5
    batch_entries: int = 512
    batch_bytes: int = _BATCH_BYTES
    chunk_bytes: int = _CHUNK_BYTES
    retained_entries: int = 1024
    voters_max: int = 0
    replace_after_s: float = 1.5


class FolderIdentity(NamedTuple):
    """Identify one data folder.

    ``may_found`` is false for a folder that replaces a damaged one: three of
    them must not found an empty cluster as if there had been nothing.
    """

    identity: str
    may_found: bool = True
