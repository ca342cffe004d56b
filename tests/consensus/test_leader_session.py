"""Test a session of one replica against a golden file."""

from random import Random

from builders import Session, check_golden
from sardinemast.consensus import (
    AppendReply,
    BatchProposed,
    CommandProposed,
    HardState,
    Message,
    MessageReceived,
    Replica,
    ReplicaSettings,
    SnapshotTaken,
    Tick,
    VoteReply,
)

_NAMES = ('control-1', 'control-2', 'control-3')


def _receive(message: Message) -> MessageReceived:
    return MessageReceived('control-2', message)


def test_leader_session() -> None:
    """Win an election, commit a batch, compact the log and step down."""
    settings = ReplicaSettings('control-1', _NAMES, retained_entries=0)
    replica = Replica(settings, HardState(), (), Random(1))
    session = Session(replica.step)
    session.note('No leader is known: pre-vote, then vote.')
    session.step(Tick(), 1)
    session.step(Tick(), 2)
    session.step(_receive(VoteReply(1, True, True)), 2.01)
    session.step(_receive(VoteReply(1, True, False)), 2.02)
    session.note('A follower has synced the first entry of the term.')
    session.step(_receive(AppendReply(1, True, 1, 2.02)), 2.03)
    session.note('A batch of two commands is written and committed together.')
    proposals = (CommandProposed(1, b'one'), CommandProposed(2, b'two'))
    session.step(BatchProposed(proposals), 2.05)
    session.step(_receive(AppendReply(1, True, 3, 2.05)), 2.06)
    session.note('A snapshot replaces all entries.')
    session.step(SnapshotTaken(3, b'image'), 2.07)
    session.note('No follower answers any more: the leader steps down.')
    session.step(Tick(), 2.5)
    session.step(Tick(), 2.7)
    check_golden('replica_leader', session.transcript)
