"""Answers to operators when the leader is lost."""

from random import Random

from sardinemast import consensus, control
from sardinemast.fleet import WithdrawKey


def test_outcome_is_unknown_when_the_leader_steps_down() -> None:
    """The outcome of a proposed command is unknown after a step-down.

    Guards against the answer 'not accepted' to a command that the next leader
    may still commit.
    """
    voters = ('control-1', 'control-2', 'control-3')
    core = control.ControlCore(
        control.ControlSettings(
            consensus.ReplicaSettings('control-1', voters),
        ),
        consensus.HardState(),
        (),
        Random(1),
    )
    core.step(control.Tick(), 0)
    core.step(control.Tick(), 1.3)
    for is_pre_vote in (True, False):
        reply = consensus.VoteReply(1, True, is_pre_vote)
        core.step(control.PeerMessageReceived('control-2', reply), 1.3)
    core.step(control.CommandRequested(7, WithdrawKey('c1', 'k1')), 1.3)
    newer = consensus.AppendEntries(2, 0, 0, (), 0, 0)
    outputs = core.step(control.PeerMessageReceived('control-3', newer), 1.4)
    unknown = control.OperatorAnswer(None, 0, 0, 0, is_unknown=True)
    assert control.AnswerOperator(7, unknown) in outputs
