"""Messages between replicas."""

from typing import NamedTuple

from sardinemast.wire import MessageSet


class LogEntry(NamedTuple):
    """Hold one command at its place; an empty payload changes nothing."""

    log_index: int
    term: int
    payload: bytes


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
    """Tell how far the follower's synced log agrees with the leader's."""

    term: int
    is_success: bool
    match_index: int
    sent_at_s: float


Message = VoteRequest | VoteReply | AppendEntries | AppendReply
MESSAGES = MessageSet(VoteRequest, VoteReply, AppendEntries, AppendReply)
