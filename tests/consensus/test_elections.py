"""Test how replicas answer vote requests."""

from random import Random

from sardinemast.consensus import (
    AppendEntries,
    Configuration,
    FolderIdentity,
    HardState,
    LogEntry,
    Member,
    MessageReceived,
    Replica,
    ReplicaSettings,
    Route,
    SaveHardState,
    Tick,
    VoteRequest,
)

_NAMES = ('control-1', 'control-2', 'control-3')


def test_vote_request_keeps_term_while_leader_is_live() -> None:
    """Keep the current term when a candidate that lost the leader asks.

    A follower that adopted the higher term would depose a healthy leader.
    """
    settings = ReplicaSettings('control-1', _NAMES)
    replica = Replica(settings, HardState(), (), Random(1))
    heartbeat = AppendEntries(1, 0, 0, (), 0, 0)
    replica.step(MessageReceived('control-2', heartbeat), 10)
    request = VoteRequest(5, 9, 4, is_pre_vote=False)
    replica.step(MessageReceived('control-3', request), 10.1)
    assert replica.term == 1


def test_learner_grants_vote() -> None:
    """Grant a vote before the entry that makes this replica a voter arrives.

    The other members may need this vote for a majority, and could otherwise
    never elect a leader.
    """
    members = (
        Member('first', 'control-1', is_voter=False),
        *(Member(name, name, is_voter=True) for name in _NAMES[1:]),
    )
    replica = Replica(
        ReplicaSettings('control-1', _NAMES),
        HardState(1),
        (LogEntry(1, 1, b'', Configuration('c', members)),),
        Random(1),
        folder=FolderIdentity('first'),
    )
    request = VoteRequest(2, 2, 1, is_pre_vote=False)
    route = Route('control-2', 'first', 'c')
    replica.step(Tick(), 0)
    outputs = replica.step(MessageReceived('control-2', request, route), 9)
    assert SaveHardState(HardState(2, 'control-2')) in outputs
