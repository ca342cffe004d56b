"""Answers to calls that evacuate or readmit a data centre."""

from random import Random

from builders.workers import make_worker
from sardinemast import consensus, control
from sardinemast.jobs.commands import EvacuateDataCentre
from sardinemast.protocol import (
    AnnounceWorker,
    Call,
    CallOutcome,
    ChangeEvacuation,
)

_NAME = 'control-1'
_VOTERS = ('control-1', 'control-2', 'control-3')
_EVACUATE = ChangeEvacuation('rennes', is_evacuated=True)
_READMIT = ChangeEvacuation('rennes', is_evacuated=False)


class _Leader:
    """Drive one of three replicas, whose peers answer when told to."""

    def __init__(self) -> None:
        settings = consensus.ReplicaSettings(_NAME, _VOTERS)
        self.core = control.ControlCore(
            control.ControlSettings(settings),
            consensus.HardState(),
            (),
            Random(1),
        )
        self.now_s = 1.3
        self.answers: dict[int, CallOutcome] = {}
        self.core.step(control.Tick(), 0)
        self.step(control.Tick(1_000_000))
        for is_pre_vote in (True, False):
            reply = consensus.VoteReply(1, True, is_pre_vote)
            self.step(control.PeerMessageReceived('control-2', reply))
        self.acknowledge()
        self.call(1, AnnounceWorker(make_worker(0), 1))

    def step(self, event: control.ControlEvent) -> None:
        for output in self.core.step(event, self.now_s):
            if isinstance(output, control.AnswerCall):
                self.answers[output.call_id] = output.answer.outcome

    def call(self, call_id: int, call: Call, *, is_acked: bool = True) -> None:
        self.step(control.CallReceived(1, call_id, call))
        self.step(control.ProposalsDue())
        if is_acked:
            self.acknowledge()

    def acknowledge(self) -> None:
        log_index = self.core.replica.log.last_index
        self.step(_make_reply(self.core, log_index))

    @property
    def is_evacuated(self) -> bool:
        jobs = self.core.state.subsystems.jobs
        return jobs.data_centres.is_evacuated('rennes')


def _make_reply(
    core: control.ControlCore, log_index: int
) -> control.PeerMessageReceived:
    """Return a follower's reply that it stores the log up to an index."""
    reply = consensus.AppendReply(core.replica.term, True, log_index, 10**6)
    return control.PeerMessageReceived('control-2', reply)


def test_evacuation_is_acknowledged_once_a_majority_has_it() -> None:
    """Answer only what the next leader knows as well."""
    leader = _Leader()
    leader.call(2, _EVACUATE, is_acked=False)
    assert 2 not in leader.answers
    leader.acknowledge()
    assert leader.answers[2] is CallOutcome.done
    assert leader.is_evacuated


def test_orders_in_flight_are_applied_in_turn() -> None:
    """Acknowledge an evacuation only if it is in force afterwards.

    Its withdrawal, proposed before it, must not be applied after the answer.
    """
    leader = _Leader()
    leader.call(2, _EVACUATE)
    leader.call(3, _READMIT, is_acked=False)
    leader.call(4, _EVACUATE, is_acked=False)
    assert 4 not in leader.answers
    leader.acknowledge()
    assert leader.answers[3] is CallOutcome.done
    assert leader.answers[4] is CallOutcome.done
    assert leader.is_evacuated


def test_unknown_data_centre_is_refused_at_once() -> None:
    """Refuse a mistyped name without waiting for a majority."""
    leader = _Leader()
    call = ChangeEvacuation('rennse', is_evacuated=True)
    leader.call(2, call, is_acked=False)
    assert leader.answers[2] is CallOutcome.invalid


def test_command_for_another_data_centre_answers_nobody() -> None:
    """Answer a call by its own command, not by an operator's refused one."""
    leader = _Leader()
    leader.call(2, _EVACUATE, is_acked=False)
    other = EvacuateDataCentre('c1', 'elsewhere')
    leader.step(control.CommandRequested(9, other))
    leader.acknowledge()
    assert leader.answers[2] is CallOutcome.done
    evacuated = leader.core.state.subsystems.jobs.data_centres.evacuated
    assert tuple(evacuated) == ('rennes',)
