"""Jobs while catalogs give their queues other names and places."""

import pytest

from builders.call_leaders import CallLeader
from builders.catalogs import HOST, KEY, make_named_catalog
from builders.workers import make_step
from sardinemast import consensus
from sardinemast.control import PeerMessageReceived, ProposalsDue
from sardinemast.fleet import dump_state, load_state
from sardinemast.jobs import (
    Catalog,
    JobRequest,
    RunEnd,
    TaskKey,
    apply_command,
)
from sardinemast.jobs.commands import FinishedRun, RecordRuns, RunStart
from sardinemast.protocol import (
    CallOutcome,
    JobAction,
    JobCall,
    ReplaceCatalog,
)

_FIRST = make_named_catalog(1, seats='/seats/')
_RENAMED = make_named_catalog(2, places='/seats/')
_SWAPPED = make_named_catalog(2, other='/seats/', seats='/other/')
_GONE = make_named_catalog(2, other='/other/')
_MOVED = make_named_catalog(2, seats='/moved/')
_BACK = make_named_catalog(3, places='/seats/', seats='/moved/')
_TASK = TaskKey('j1', 0, 0, 0)


class _Caller:
    """Send calls to a leader and return their outcomes."""

    def __init__(self) -> None:
        self.leader = CallLeader()
        self._call_id = 100
        self.configure(_FIRST)

    def configure(self, catalog: Catalog, *, is_acked: bool = True) -> None:
        """Send a catalog, and commit it if ``is_acked``."""
        self._call_id += 1
        call = ReplaceCatalog(catalog, b'{}')
        self.leader.call(self._call_id, call, is_acked=is_acked)

    def call(self, action: JobAction, path: str) -> CallOutcome | None:
        """Return the outcome of a call; None if it has none yet."""
        self._call_id += 1
        request = None
        if action is JobAction.submit:
            request = JobRequest('spec', (make_step(),))
        call = JobCall(action, HOST, path, KEY, request)
        self.leader.call(self._call_id, call)
        return self.leader.answers.get(self._call_id)

    def read(self, path: str) -> CallOutcome | None:
        """Return the outcome of a read."""
        return self.call(JobAction.read, path)

    def restart(self) -> None:
        """Load the leader's state from its snapshot."""
        state = self.leader.core.state
        state.__dict__.update(load_state(dump_state(state)).__dict__)


def _apply(caller: _Caller, command: RecordRuns) -> None:
    state = caller.leader.core.state
    apply_command(command, state.subsystems.jobs, state.log_index)


@pytest.mark.parametrize('is_restarted', [True, False])
@pytest.mark.parametrize('catalogs', [(_RENAMED,), (_SWAPPED,), (_GONE, _BACK)])
def test_job_is_found_where_it_was_submitted(
    catalogs: tuple[Catalog, ...], *, is_restarted: bool
) -> None:
    """Guard against an accepted job that is unknown and cannot be cancelled."""
    caller = _Caller()
    assert caller.call(JobAction.submit, '/seats/j1') is CallOutcome.done
    for catalog in catalogs:
        caller.configure(catalog)
    if is_restarted:
        caller.restart()
    assert caller.read('/seats/j1') is CallOutcome.done
    assert caller.call(JobAction.cancel, '/seats/j1') is CallOutcome.done
    assert caller.read('/seats/j1') is CallOutcome.done
    job = caller.leader.core.state.subsystems.jobs.jobs['j1']
    assert job.is_cancelled


@pytest.mark.parametrize('is_over', [True, False])
def test_job_is_not_shown_at_a_place_that_took_its_name(
    *, is_over: bool
) -> None:
    """Guard against a job that is shown where nobody submitted it."""
    caller = _Caller()
    caller.call(JobAction.submit, '/seats/j1')
    if is_over:
        caller.call(JobAction.cancel, '/seats/j1')
    caller.configure(_SWAPPED)
    assert caller.read('/other/j1') is CallOutcome.unknown_job


def test_job_whose_place_is_gone_is_found_where_its_queue_went() -> None:
    """Guard against a job that runs on and that nobody can cancel."""
    caller = _Caller()
    caller.call(JobAction.submit, '/seats/j1')
    caller.configure(_MOVED)
    assert caller.read('/moved/j1') is CallOutcome.done
    caller.configure(_BACK)
    assert caller.read('/moved/j1') is CallOutcome.unknown_job
    assert caller.read('/seats/j1') is CallOutcome.done


def test_job_follows_the_policy_of_its_place() -> None:
    """Guard against a job that keeps the policy of a queue that is gone."""
    caller = _Caller()
    caller.call(JobAction.submit, '/seats/j1')
    jobs = caller.leader.core.state.subsystems.jobs
    for catalog in (_RENAMED, _BACK):
        caller.configure(catalog)
        assert jobs.jobs['j1'].queue.max_attempts == catalog.version


def test_usage_of_a_team_moves_with_the_name_of_the_queue() -> None:
    """Guard against shares of a pool that count runs long gone."""
    caller = _Caller()
    caller.call(JobAction.submit, '/seats/j1')
    fleet = caller.leader.core.state
    start = RunStart(_TASK, 1, 'w-0')
    _apply(caller, RecordRuns((), (start,)))
    used = fleet.subsystems.jobs.usage.by_queue
    caller.configure(_RENAMED)
    assert not used['seats'].total()
    assert used['places'].total()
    end = FinishedRun(_TASK, 1, RunEnd.done)
    _apply(caller, RecordRuns((end,), ()))
    assert not used['places'].total()


@pytest.mark.parametrize('catalog', [_RENAMED, _SWAPPED])
def test_job_submitted_while_its_queue_is_renamed_is_found(
    catalog: Catalog,
) -> None:
    """Guard against a job that is created in a queue that took the name."""
    caller = _Caller()
    caller.configure(catalog, is_acked=False)
    caller.call(JobAction.submit, '/seats/j1')
    caller.leader.step(ProposalsDue())
    caller.leader.acknowledge()
    assert caller.read('/seats/j1') is CallOutcome.done
    assert CallOutcome.unknown_queue not in caller.leader.answers.values()


def test_job_of_an_older_snapshot_belongs_to_the_renamed_queue() -> None:
    """Guard against replicas that disagree since one loaded a snapshot.

    Older versions left jobs in the queue that they were submitted to.
    """
    caller = _Caller()
    caller.call(JobAction.submit, '/seats/j1')
    image = dump_state(caller.leader.core.state)
    stale = image.jobs._replace(catalog=_RENAMED)
    loaded = load_state(image._replace(jobs=stale))
    assert loaded.subsystems.jobs.jobs['j1'].queue == _RENAMED.queues[0]


def test_submission_that_waits_for_a_catalog_is_answered_at_the_end() -> None:
    """Guard against callers that wait for a leader that has lost its term."""
    caller = _Caller()
    caller.configure(_RENAMED, is_acked=False)
    request = JobRequest('spec', (make_step(),))
    submission = JobCall(JobAction.submit, HOST, '/seats/j1', KEY, request)
    caller.leader.call(99, submission, is_acked=False)
    assert 99 not in caller.leader.answers
    later_term = consensus.AppendReply(9, False, 0, 0)
    caller.leader.step(PeerMessageReceived('control-2', later_term))
    assert caller.leader.answers[99] is CallOutcome.uncertain
