"""Votes asked of replicas that hear a leader."""

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


def test_settled_voter_keeps_its_term() -> None:
    """Keep the leader's term when asked for a vote in a later one.

    A replica that no longer hears the leader asks for votes. A follower that
    took over its term would refuse the next heartbeat, the leader would step
    down, and operators would wait for an election that nobody needs.
    """
    settings = ReplicaSettings('control-1', _NAMES)
    replica = Replica(settings, HardState(), (), Random(1))
    heartbeat = AppendEntries(1, 0, 0, (), 0, 0)
    replica.step(MessageReceived('control-2', heartbeat), 10)
    request = VoteRequest(5, 9, 4, is_pre_vote=False)
    replica.step(MessageReceived('control-3', request), 10.1)
    assert replica.term == 1


def test_learner_votes_when_asked() -> None:
    """Vote, though the entry that makes this replica a voter is not here.

    A leader adds a voter and dies before the voter itself has the entry. The
    others have it, so that they need this vote for their majority. Were it
    refused, nobody could ever lead again.
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
