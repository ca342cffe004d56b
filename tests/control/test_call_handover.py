"""Calls while the leader steps down and leads again in the same process."""

from builders.call_leaders import CallLeader
from builders.workers import KEY, make_catalog, make_step
from sardinemast import consensus, control
from sardinemast.jobs import JobRequest
from sardinemast.protocol import (
    CallOutcome,
    JobAction,
    JobCall,
    ReplaceCatalog,
)

_SUBMISSION = JobCall(
    JobAction.submit,
    'host',
    '/seats/a',
    KEY,
    JobRequest('', (make_step(),)),
)
_READ = _SUBMISSION._replace(action=JobAction.read, request=None)


def _make_leader() -> CallLeader:
    leader = CallLeader()
    leader.call(2, ReplaceCatalog(make_catalog(2), b'{}'))
    return leader


def _step_down(leader: CallLeader) -> None:
    term = leader.core.replica.term + 1
    reply = consensus.AppendReply(term, False, 0, 0)
    leader.step(control.PeerMessageReceived('control-2', reply))


def _lead_again(leader: CallLeader) -> None:
    leader.now_s += 3
    leader.step(control.Tick(1_003_000))
    for is_pre_vote in (True, False):
        term = leader.core.replica.term + is_pre_vote
        reply = consensus.VoteReply(term, True, is_pre_vote)
        leader.step(control.PeerMessageReceived('control-2', reply))
    leader.acknowledge()


def test_batch_that_is_dropped_at_the_end_of_a_term() -> None:
    """A job waits for a proposal that its leader dropped when it stepped down.

    The same process leads again, and must propose the resent call anew.
    """
    leader = _make_leader()
    leader.step(control.CallReceived(1, 3, _SUBMISSION))
    _step_down(leader)
    assert leader.answers[3] is CallOutcome.uncertain
    _lead_again(leader)
    leader.step(control.ProposalsDue())
    leader.call(4, _SUBMISSION)
    assert leader.answers[4] is CallOutcome.done
    leader.call(5, _READ)
    assert leader.answers[5] is CallOutcome.done


def test_proposal_that_is_in_the_log_of_the_next_term() -> None:
    """A job is accepted twice, or unknown, after a term ended in between."""
    leader = _make_leader()
    leader.call(3, _SUBMISSION, is_acked=False)
    _step_down(leader)
    assert leader.answers[3] is CallOutcome.uncertain
    _lead_again(leader)
    for call_id, call in ((4, _READ), (5, _SUBMISSION)):
        leader.call(call_id, call)
        assert leader.answers[call_id] is CallOutcome.done


def test_call_without_a_leader_is_left_to_the_next_one() -> None:
    """A call that comes between two terms is answered as if it were lost."""
    leader = _make_leader()
    _step_down(leader)
    leader.call(3, _SUBMISSION, is_acked=False)
    leader.call(4, _READ, is_acked=False)
    assert not leader.answers.keys() & {3, 4}
    _lead_again(leader)
    leader.call(3, _SUBMISSION)
    leader.call(4, _READ)
    assert leader.answers[3] is CallOutcome.done
    assert leader.answers[4] is CallOutcome.done


def test_job_whose_queue_is_removed_in_the_same_batch() -> None:
    """A submission gets no answer when a catalog removes its queue first."""
    leader = _make_leader()
    catalog = make_catalog(3)._replace(queues=())
    leader.step(control.CallReceived(1, 3, ReplaceCatalog(catalog, b'{}')))
    leader.call(4, _SUBMISSION)
    assert leader.answers[3] is CallOutcome.done
    assert leader.answers[4] is CallOutcome.unknown_queue
