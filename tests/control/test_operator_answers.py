"""What an operator is told when a leader is lost."""

from random import Random

from sardinemast import consensus, control
from sardinemast.fleet import WithdrawKey


def test_command_of_a_lost_leader_may_still_be_accepted() -> None:
    """Say that the outcome is unknown when the leader steps down.

    The command stands in the log of a leader that another one replaces. The
    next leader may have it or not; told 'not accepted', the operator would
    believe that the key still works, or send something else.
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
