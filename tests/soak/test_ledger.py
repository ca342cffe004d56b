"""Check that the ledger reports each violation of a guarantee."""

import pytest

from soak.ledger import Bounds, Ledger, Step, Task

_TASK = Task('job', 0, 0)
_SECOND = Task('job', 1, 0)
_STEPS = (Step(1, 1000), Step(1, 1000, (0,)))


def _make_ledger(code: int = 200, cap: int = 0) -> Ledger:
    ledger = Ledger(Bounds(), {'breizh': cap})
    ledger.note_submitted('job', 'breizh', _STEPS)
    ledger.note_response('job', code)
    return ledger


def _list_rules(ledger: Ledger) -> list[str]:
    return [text.partition(':')[0] for text in ledger.broken]


def _run_all(ledger: Ledger) -> None:
    for task in (_TASK, _SECOND):
        ledger.note_start('w-0', task, 1)
        ledger.note_end('w-0', task, is_done=True)


def test_valid_history_has_no_violation() -> None:
    """A false alarm for a job that is accepted, runs and is shown as done."""
    ledger = _make_ledger()
    _run_all(ledger)
    ledger.note_state('job', 200, 'done')
    ledger.finish(0)
    assert not ledger.broken


def test_task_that_runs_on_two_workers() -> None:
    """Two workers run the same task at the same time."""
    ledger = _make_ledger()
    ledger.note_start('w-0', _TASK, 1)
    ledger.note_start('w-1', _TASK, 2)
    assert _list_rules(ledger) == ['TWICE']


def test_start_after_success_was_recorded() -> None:
    """A task starts again after its success was acknowledged."""
    ledger = _make_ledger()
    ledger.note_start('w-0', _TASK, 1)
    ledger.note_end('w-0', _TASK, is_done=True)
    ledger.note_recorded(_TASK)
    ledger.note_start('w-1', _TASK, 2)
    assert _list_rules(ledger) == ['TWICE']


def test_task_may_rerun_after_its_worker_was_lost() -> None:
    """A false alarm for a task that reruns because its worker was lost."""
    ledger = _make_ledger()
    ledger.note_start('w-0', _TASK, 1)
    ledger.note_end('w-0', _TASK, is_done=False)
    ledger.note_start('w-1', _TASK, 2)
    assert not ledger.broken


def test_start_before_required_step_is_done() -> None:
    """A step starts while the step that it requires still runs."""
    ledger = _make_ledger()
    ledger.note_start('w-0', _TASK, 1)
    ledger.note_start('w-0', _SECOND, 2)
    assert _list_rules(ledger) == ['ORDER']


def test_team_above_its_cap() -> None:
    """The tasks of a team use more CPU than its cap."""
    ledger = _make_ledger(cap=1000)
    ledger.note_submitted('more', 'breizh', (Step(3, 1000),))
    for position in range(3):
        ledger.note_start('w-0', Task('more', 0, position), 1)
    assert _list_rules(ledger) == ['QUOTA']


def test_accepted_job_that_is_lost() -> None:
    """An accepted job is reported as unknown and never finishes."""
    ledger = _make_ledger()
    ledger.note_state('job', 410, '')
    ledger.finish(0)
    assert _list_rules(ledger) == ['LOST', 'LOST']


@pytest.mark.parametrize('state', ['done', 'failed', 'cancelled'])
def test_wrong_final_state(state: str) -> None:
    """A job is reported in a final state while its tasks wait."""
    ledger = _make_ledger()
    ledger.note_state('job', 200, state)
    assert len(ledger.broken) == 1


def test_refused_job_that_runs() -> None:
    """A job runs although its caller was told that it was refused."""
    ledger = _make_ledger(503)
    ledger.note_start('w-0', _TASK, 1)
    ledger.finish(0)
    assert _list_rules(ledger) == ['REFUSED']


def test_job_without_response_may_run() -> None:
    """A false alarm for a job whose submission got no response."""
    ledger = _make_ledger(0)
    ledger.note_start('w-0', _TASK, 1)
    ledger.finish(0)
    assert not ledger.broken


def test_start_of_a_job_never_submitted() -> None:
    """A worker starts a task of a job that no caller submitted."""
    ledger = _make_ledger()
    ledger.note_start('w-0', Task('other', 0, 0), 1)
    assert _list_rules(ledger) == ['UNASKED']


@pytest.mark.parametrize(('at_s', 'rules'), [(3, []), (9, ['UNASKED'])])
def test_start_after_a_cancellation(at_s: float, rules: list[str]) -> None:
    """A task of a cancelled job starts after the time limit."""
    ledger = _make_ledger()
    ledger.note_cancelled('job', 1)
    ledger.note_start('w-0', _TASK, at_s)
    assert _list_rules(ledger) == rules


def test_start_on_a_draining_worker() -> None:
    """A task starts on a worker that has been draining for a while."""
    ledger = _make_ledger()
    ledger.note_draining('w-0', 1)
    ledger.note_start('w-0', _TASK, 9)
    assert _list_rules(ledger) == ['DRAIN']


def test_time_limits_are_suspended_during_faults() -> None:
    """A false alarm for a late reaction while a fault lasts."""
    ledger = _make_ledger()
    ledger.note_draining('w-0', 1)
    ledger.note_fault(2, is_begun=True)
    ledger.note_start('w-0', _TASK, 9)
    assert not ledger.broken


def test_outdated_configuration_is_read() -> None:
    """An operator reads an older version than the confirmed one."""
    ledger = _make_ledger(503)
    ledger.note_version(7, 1)
    ledger.note_read(5, 2)
    assert not ledger.broken
    ledger.note_read(5, 4)
    ledger.finish(5)
    assert _list_rules(ledger) == ['CONFIG', 'CONFIG']


def test_revoked_key_is_accepted() -> None:
    """A revoked key is still accepted after the time limit."""
    ledger = _make_ledger()
    ledger.note_revoked('key', 1)
    ledger.note_key_used('key', 200, 5)
    ledger.note_key_used('key', 401, 9)
    assert not ledger.broken
    ledger.note_key_used('key', 200, 9)
    assert _list_rules(ledger) == ['CONFIG']


@pytest.mark.parametrize(
    ('holder', 'token', 'at_s', 'rules'),
    [
        ('c-1', 1, 2, []),
        ('c-2', 2, 9, []),
        ('c-2', 1, 9, ['ONE']),
        ('c-2', 2, 2, ['ONE']),
        ('c-1', 0, 9, ['ONE']),
    ],
)
def test_two_leaders_send_orders_for_one_instance(
    holder: str,
    token: int,
    at_s: float,
    rules: list[str],
) -> None:
    """A former leader goes on to send orders, or a token is used twice."""
    ledger = _make_ledger()
    ledger.note_order('m-1', 'c-1', 1, 1)
    ledger.note_order('m-1', holder, token, at_s)
    assert _list_rules(ledger) == rules


def test_more_instances_down_than_a_wave_allows() -> None:
    """A wave has more instances down at the same time than its cap."""
    ledger = _make_ledger()
    ledger.note_down(1, 'm-1', 1)
    ledger.note_up(1, 'm-1')
    ledger.note_down(1, 'm-2', 1)
    assert not ledger.broken
    ledger.note_down(1, 'm-3', 1)
    assert _list_rules(ledger) == ['LIMIT']


def test_wave_reported_done_too_soon() -> None:
    """A wave is reported done before one of its instances was maintained."""
    ledger = _make_ledger()
    ledger.note_wave_done(1, set())
    assert not ledger.broken
    ledger.note_wave_done(1, {'m-1'})
    assert _list_rules(ledger) == ['MIXED']


def test_process_that_exits_unexpectedly() -> None:
    """A process exits without being told to."""
    ledger = _make_ledger()
    ledger.note_ended('127.0.1.1', 1)
    assert _list_rules(ledger) == ['ENDED']


_FREE = (2000,)
_LONG_RUNNING = (Step(1, 1000, is_long_running=True),)


def _make_stopped_ledger(cap: int = 0) -> Ledger:
    """Return a ledger with a long-running task that ended at 10 s."""
    ledger = Ledger(Bounds(), {'breizh': cap})
    ledger.note_submitted('job', 'breizh', _LONG_RUNNING)
    ledger.note_response('job', 200, 1)
    ledger.note_start('w-0', _TASK, 2)
    ledger.note_end('w-0', _TASK, is_done=False, now_s=10)
    return ledger


def test_long_running_task_that_stays_stopped() -> None:
    """A long-running task does not run again although a worker has room."""
    ledger = _make_stopped_ledger()
    ledger.check_long_running(12, _FREE)
    ledger.check_long_running(15.9, _FREE)
    assert not ledger.broken
    ledger.check_long_running(16, _FREE)
    assert _list_rules(ledger) == ['LOST']


def test_long_running_task_that_never_ran() -> None:
    """An accepted long-running job never starts."""
    ledger = Ledger(Bounds(), {})
    ledger.note_submitted('job', 'breizh', _LONG_RUNNING)
    ledger.note_response('job', 200, 1)
    ledger.check_long_running(2, _FREE)
    ledger.check_long_running(7, _FREE)
    assert _list_rules(ledger) == ['LOST']
    assert ledger.list_stopped() == [_TASK]


def test_long_running_task_without_room() -> None:
    """A false alarm for a task for which there was room only lately."""
    ledger = _make_stopped_ledger()
    ledger.check_long_running(12, _FREE)
    ledger.check_long_running(14, (1999,))
    ledger.check_long_running(16, _FREE)
    ledger.check_long_running(18.9, _FREE)
    assert not ledger.broken


def test_long_running_task_after_fault_or_stall() -> None:
    """A false alarm for a task that stopped in a fault or a stalled host."""
    ledger = _make_stopped_ledger()
    ledger.note_fault(11, is_begun=True)
    for at_s in (12, 19):
        ledger.check_long_running(at_s, _FREE)
    ledger.note_fault(19.5, is_begun=False)
    ledger.check_long_running(26, _FREE)
    ledger.note_stall(26.2)
    ledger.check_long_running(33, _FREE)
    assert not ledger.broken
    ledger.check_long_running(33.2, _FREE)
    assert _list_rules(ledger) == ['LOST']


def test_long_running_task_of_team_at_its_cap() -> None:
    """A false alarm for a task whose team uses half of its cap."""
    ledger = _make_stopped_ledger(2000)
    ledger.note_submitted('other', 'breizh', (Step(1, 1000),))
    ledger.note_start('w-1', Task('other', 0, 0), 11)
    for at_s in (12, 20):
        ledger.check_long_running(at_s, _FREE)
    assert not ledger.broken


def test_cancelled_long_running_task() -> None:
    """A false alarm for a cancelled task that does not run again."""
    ledger = _make_stopped_ledger()
    ledger.note_cancelled('job', 11)
    for at_s in (12, 20):
        ledger.check_long_running(at_s, _FREE)
    assert not ledger.broken


def test_state_and_wave_that_are_gone() -> None:
    """A confirmed wave is unknown, or the state of a job cannot be read."""
    ledger = _make_ledger()
    ledger.note_unreadable('job')
    ledger.note_wave_unknown(1)
    assert _list_rules(ledger) == ['LOST', 'LOST']
