"""Define the messages between replicas and the records of their log."""

from typing import NamedTuple

from sardinemast.wire import MessageSet


class Member(NamedTuple):
    """Describe a member of the cluster, which is a voter or a learner.

    ``identity`` is that of the data folder, ``name`` that of the process.
    """

    identity: str
    name: str
    is_voter: bool


class Configuration(NamedTuple):
    """List the members; ``cluster`` is the identifier made at bootstrap."""

    cluster: str
    members: tuple[Member, ...]

    def find(self, identity: str) -> Member | None:
        """Return the member with the identity, if any."""
        return next(
            (member for member in self.members if member.identity == identity),
            None,
        )

    def is_voter(self, identity: str) -> bool:
        """Check whether the identity is that of a voter."""
        member = self.find(identity)
        return member is not None and member.is_voter

    def get_quorum_size(self) -> int:
        """Return how many voters form a majority."""
        return sum(member.is_voter for member in self.members) // 2 + 1


class LogEntry(NamedTuple):
    """Hold a command at its log index; an empty payload has no effect.

    A replica uses a ``configuration`` as soon as its own log contains it,
    committed or not (Ongaro, 2014, section 4.1).
    """

    log_index: int
    term: int
    payload: bytes
    configuration: None | Configuration = None


class Snapshot(NamedTuple):
    """Hold the serialized state, which replaces all entries up to an index."""

    last_index: int
    last_term: int
    configuration: Configuration
    image: bytes


class VoteRequest(NamedTuple):
    """Ask for a vote, or with ``is_pre_vote`` whether it would be granted."""

    term: int
    last_index: int
    last_term: int
    is_pre_vote: bool


class VoteReply(NamedTuple):
    """Grant or refuse a vote."""

    term: int
    is_granted: bool
    is_pre_vote: bool


class AppendEntries(NamedTuple):
    """Replicate entries; without any, serve as a heartbeat.

    ``sent_at_s`` is on the leader's clock and returned in the reply, so that
    the leader's lease counts from the time of sending.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    sent_at_s: float


class AppendReply(NamedTuple):
    """Report up to which index the follower's synced log matches.

    A rejection gives the highest index that may still match.
    """

    term: int
    is_success: bool
    match_index: int
    sent_at_s: float


class SnapshotChunk(NamedTuple):
    """Send a part of a snapshot; the metadata is repeated in each part."""

    term: int
    last_index: int
    last_term: int
    configuration: Configuration
    offset_bytes: int
    chunk: bytes
    is_last: bool
    sent_at_s: float


class SnapshotReply(NamedTuple):
    """Report how much of a snapshot has been received."""

    term: int
    last_index: int
    received_bytes: int
    sent_at_s: float


class JoinRequest(NamedTuple):
    """Ask to join a cluster, from a folder that is not a voter of one.

    ``may_found`` tells whether the folder may help to bootstrap a cluster.
    """

    may_found: bool


class JoinHint(NamedTuple):
    """List replicas to send join requests to.

    The settings of a new replica may not name the current leader.
    """

    names: tuple[str, ...]


class FoundRequest(NamedTuple):
    """Ask an empty folder to accept the first configuration."""

    configuration: Configuration


class FoundReply(NamedTuple):
    """Confirm that the first configuration is accepted and synced."""


class RetireRequest(NamedTuple):
    """Ask a replica to set its folder aside and to join with a new one."""

    term: int


Message = (
    VoteRequest
    | VoteReply
    | AppendEntries
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | JoinRequest
    | JoinHint
    | FoundRequest
    | FoundReply
    | RetireRequest
)
MESSAGES = MessageSet(
    VoteRequest,
    VoteReply,
    AppendEntries,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    JoinRequest,
    JoinHint,
    FoundRequest,
    FoundReply,
    RetireRequest,
)
