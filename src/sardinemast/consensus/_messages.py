"""Messages between replicas, and what stands in their log."""

from typing import NamedTuple

from sardinemast.wire import MessageSet


class Member(NamedTuple):
    """Name one data folder of a replica; a learner does not vote.

    ``identity`` is made once with the folder, ``name`` is the process.
    """

    identity: str
    name: str
    is_voter: bool


class Configuration(NamedTuple):
    """Name the members; ``cluster`` tells one founding from another."""

    cluster: str
    members: tuple[Member, ...]

    def find(self, identity: str) -> Member | None:
        """Give the member with the identity."""
        return next(
            (one for one in self.members if one.identity == identity),
            None,
        )

    def is_voter(self, identity: str) -> bool:
        """Tell whether the identity counts in a majority."""
        member = self.find(identity)
        return member is not None and member.is_voter

    def get_quorum_size(self) -> int:
        """Give how many voters are a majority."""
        return sum(one.is_voter for one in self.members) // 2 + 1


class LogEntry(NamedTuple):
    """Hold one command at its place; an empty payload changes nothing.

    A ``configuration`` is in force at each replica from the moment that it
    stands in its log (Ongaro, 2014, section 4.1).
    """

    log_index: int
    term: int
    payload: bytes
    configuration: None | Configuration = None


class Snapshot(NamedTuple):
    """Hold the state after an entry, in place of all up to it."""

    last_index: int
    last_term: int
    configuration: Configuration
    image: bytes


class VoteRequest(NamedTuple):
    """Ask for a vote, or with ``is_pre_vote`` whether one would be given."""

    term: int
    last_index: int
    last_term: int
    is_pre_vote: bool


class VoteReply(NamedTuple):
    """Answer a vote request."""

    term: int
    is_granted: bool
    is_pre_vote: bool


class AppendEntries(NamedTuple):
    """Replicate entries, and show that the leader lives.

    ``sent_at_s`` is on the leader's clock and comes back in the reply, so
    that the leader's lease counts from before the follower heard it.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    sent_at_s: float


class AppendReply(NamedTuple):
    """Tell how far the follower's synced log agrees with the leader's.

    A refusal gives the highest index that may still agree.
    """

    term: int
    is_success: bool
    match_index: int
    sent_at_s: float


class SnapshotChunk(NamedTuple):
    """Send one part of a snapshot; the head comes with each part."""

    term: int
    last_index: int
    last_term: int
    configuration: Configuration
    offset_bytes: int
    chunk: bytes
    is_last: bool
    sent_at_s: float


class SnapshotReply(NamedTuple):
    """Tell how much of a snapshot has arrived."""

    term: int
    last_index: int
    received_bytes: int
    sent_at_s: float


class JoinRequest(NamedTuple):
    """Ask to be taken in, from a folder that belongs to no cluster.

    ``may_found`` is false where the folder replaces a damaged one.
    """

    may_found: bool


class JoinHint(NamedTuple):
    """Name the replicas that a folder may ask to be taken in.

    The leader may be one that the settings of a new replica do not name.
    """

    names: tuple[str, ...]


class FoundRequest(NamedTuple):
    """Ask an empty folder to accept the first configuration."""

    configuration: Configuration


class FoundReply(NamedTuple):
    """Tell that the first configuration is synced."""


class RetireRequest(NamedTuple):
    """Ask a member to give up its folder and to join with a new one."""

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
