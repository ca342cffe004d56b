"""Votes asked of replicas that hear a leader."""

from random import Random

from sardinemast.consensus import (
    AppendEntries,
    HardState,
    MessageReceived,
    Replica,
    ReplicaSettings,
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
