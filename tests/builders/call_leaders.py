"""A leader whose followers answer when a test says so."""

from random import Random

from builders.workers import make_worker
from sardinemast import consensus, control
from sardinemast.dispatch import DispatchSettings
from sardinemast.protocol import AnnounceWorker, Call, CallOutcome

_NAME = 'control-1'
_DISPATCHING = DispatchSettings()
_VOTERS = ('control-1', 'control-2', 'control-3')


class CallLeader:
    """Drive one of three replicas, whose peers answer when told to."""

    def __init__(self, dispatching: DispatchSettings = _DISPATCHING) -> None:
        settings = consensus.ReplicaSettings(_NAME, _VOTERS)
        self.core = control.ControlCore(
            control.ControlSettings(settings, dispatching=dispatching),
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
        """Handle an event and note the outcomes of calls."""
        for output in self.core.step(event, self.now_s):
            if isinstance(output, control.AnswerCall):
                self.answers[output.call_id] = output.answer.outcome

    def call(
        self,
        call_id: int,
        call: Call,
        *,
        is_acked: bool = True,
        waited_ms: int = 0,
    ) -> None:
        """Deliver a call and commit what it proposes if ``is_acked``."""
        self.step(control.CallReceived(1, call_id, call, waited_ms))
        self.step(control.ProposalsDue())
        if is_acked:
            self.acknowledge()

    def acknowledge(self) -> None:
        """Let a follower confirm the whole log."""
        log_index = self.core.replica.log.last_index
        self.step(_make_reply(self.core, log_index))

    @property
    def is_evacuated(self) -> bool:
        """Check whether the data centre is evacuated."""
        jobs = self.core.state.subsystems.jobs
        return jobs.data_centres.is_evacuated('rennes')


def _make_reply(
    core: control.ControlCore, log_index: int
) -> control.PeerMessageReceived:
    """Return a follower's reply that it stores the log up to an index."""
    reply = consensus.AppendReply(core.replica.term, True, log_index, 10**6)
    return control.PeerMessageReceived('control-2', reply)
