"""Define the settings and the folder identity of a replica."""

from typing import NamedTuple

_BATCH_BYTES = 1024 * 1024
_CHUNK_BYTES = _BATCH_BYTES // 4
_RETAINED_BYTES = 4 * _BATCH_BYTES


class ReplicaSettings(NamedTuple):
    """Hold the voters, timeouts and size limits of a replica.

    If ``voters_max`` is set, ``voters`` only bootstrap the cluster: replicas
    of any name may join, and up to ``voters_max`` become voters. A voter that
    has not answered the leader for ``replace_after_s`` is replaced by a waiting
    learner. That is longer than a restart, and short enough to make a second
    failure before the replacement unlikely.

    ``lease_s`` is shorter than the shortest election timeout, so that no new
    leader is elected while the old one trusts its lease. Their ratio bounds
    how much the rates of two clocks may differ. Batches and chunks are bounded
    because a frame of more than ``wire.MAX_FRAME_BYTES`` breaks the stream
    each time it is sent.

    Of the entries that a snapshot covers, at most ``retained_entries`` with at
    most ``retained_bytes`` stay in memory.
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
    retained_bytes: int = _RETAINED_BYTES
    voters_max: int = 0
    replace_after_s: float = 1.5


class FolderIdentity(NamedTuple):
    """Identify one data folder.

    ``may_found`` tells whether the folder may bootstrap a cluster. It is false
    for a folder that replaces another one, so that replicas which all lost
    their data do not start an empty cluster.
    """

    identity: str
    may_found: bool = True
