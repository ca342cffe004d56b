"""Each promise, broken in a history by hand, is found by the soak."""

import pytest

from soak.ledger import Bounds, Ledger, Step, Task

_TASK = Task('job', 0, 0)
_SECOND = Task('job', 1, 0)
_STEPS = (Step(1, 1000), Step(1, 1000, (0,)))


def _make_ledger(code: int = 200, cap: int = 0) -> Ledger:
    ledger = Ledger(Bounds(), {'breizh': cap})
    ledger.note_submitted('job', 'breizh', _STEPS)
    ledger.note_answer('job', code)
    return ledger


def _list_rules(ledger: Ledger) -> list[str]:
    return [text.partition(':')[0] for text in ledger.broken]


def _run_all(ledger: Ledger) -> None:
    for task in (_TASK, _SECOND):
        ledger.note_start('w-0', task, 1)
        ledger.note_end('w-0', task, is_done=True)


def test_sound_history_breaks_nothing() -> None:
    """A job is accepted, runs through, and is shown as done."""
    ledger = _make_ledger()
    _run_all(ledger)
    ledger.note_state('job', 200, 'done')
    ledger.finish(0)
    assert not ledger.broken


def test_second_run_beside_the_first() -> None:
    """Two workers run one task at a time: a family pays twice."""
    ledger = _make_ledger()
    ledger.note_start('w-0', _TASK, 1)
    ledger.note_start('w-1', _TASK, 2)
    assert _list_rules(ledger) == ['TWICE']


def test_run_after_its_end_was_recorded() -> None:
    """A task starts again although its good end had been confirmed."""
    ledger = _make_ledger()
    ledger.note_start('w-0', _TASK, 1)
    ledger.note_end('w-0', _TASK, is_done=True)
    ledger.note_recorded(_TASK)
    ledger.note_start('w-1', _TASK, 2)
    assert _list_rules(ledger) == ['TWICE']


def test_run_that_may_repeat_what_was_lost_with_its_worker() -> None:
    """A worker ends with an end that nobody had heard; the task runs anew."""
    ledger = _make_ledger()
    ledger.note_start('w-0', _TASK, 1)
    ledger.note_end('w-0', _TASK, is_done=False)
    ledger.note_start('w-1', _TASK, 2)
    assert not ledger.broken


def test_start_before_what_it_needs() -> None:
    """The second step starts while the first one runs."""
    ledger = _make_ledger()
    ledger.note_start('w-0', _TASK, 1)
    ledger.note_start('w-0', _SECOND, 2)
    assert _list_rules(ledger) == ['ORDER']


def test_more_than_a_team_may_run() -> None:
    """A team has more running than its cap, and others wait for it."""
    ledger = _make_ledger(cap=1000)
    ledger.note_submitted('more', 'breizh', (Step(3, 1000),))
    for position in range(3):
        ledger.note_start('w-0', Task('more', 0, position), 1)
    assert _list_rules(ledger) == ['QUOTA']


def test_accepted_job_that_is_forgotten() -> None:
    """A caller is told that its accepted job does not exist."""
    ledger = _make_ledger()
    ledger.note_state('job', 410, '')
    ledger.finish(0)
    assert _list_rules(ledger) == ['LOST', 'LOST']


@pytest.mark.parametrize('state', ['done', 'failed', 'cancelled'])
def test_state_without_ground(state: str) -> None:
    """A job is said to be over while its tasks wait."""
    ledger = _make_ledger()
    ledger.note_state('job', 200, state)
    assert len(ledger.broken) == 1


def test_refused_job_that_runs() -> None:
    """A caller was told that nothing ran, books elsewhere, and pays twice."""
    ledger = _make_ledger(503)
    ledger.note_start('w-0', _TASK, 1)
    ledger.finish(0)
    assert _list_rules(ledger) == ['REFUSED']


def test_job_whose_answer_was_lost_may_run() -> None:
    """A caller got no answer, which leaves open whether the job was taken."""
    ledger = _make_ledger(0)
    ledger.note_start('w-0', _TASK, 1)
    ledger.finish(0)
    assert not ledger.broken


def test_start_of_what_nobody_sent() -> None:
    """A worker is told to run a task of a job that does not exist."""
    ledger = _make_ledger()
    ledger.note_start('w-0', Task('other', 0, 0), 1)
    assert _list_rules(ledger) == ['UNASKED']


@pytest.mark.parametrize(('at_s', 'rules'), [(3, []), (9, ['UNASKED'])])
def test_start_after_a_cancellation(at_s: float, rules: list[str]) -> None:
    """A cancelled job goes on beyond the time that callers are promised."""
    ledger = _make_ledger()
    ledger.note_cancelled('job', 1)
    ledger.note_start('w-0', _TASK, at_s)
    assert _list_rules(ledger) == rules


def test_start_at_a_worker_that_drains() -> None:
    """A leaving worker gets new work, and takes it down with it."""
    ledger = _make_ledger()
    ledger.note_draining('w-0', 1)
    ledger.note_start('w-0', _TASK, 9)
    assert _list_rules(ledger) == ['DRAIN']


def test_bounds_wait_until_faults_are_over() -> None:
    """A leader that was just cut off may be late; one that is well may not."""
    ledger = _make_ledger()
    ledger.note_draining('w-0', 1)
    ledger.note_fault(2, is_begun=True)
    ledger.note_start('w-0', _TASK, 9)
    assert not ledger.broken


def test_older_configuration_is_read() -> None:
    """An operator reads an older version than the one in force."""
    ledger = _make_ledger(503)
    ledger.note_version(7, 1)
    ledger.note_read(5, 2)
    assert not ledger.broken
    ledger.note_read(5, 4)
    ledger.finish(5)
    assert _list_rules(ledger) == ['CONFIG', 'CONFIG']


def test_key_works_after_it_was_taken_away() -> None:
    """A withdrawn key goes on to work."""
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
def test_two_leaders_order_for_one_instance(
    holder: str,
    token: int,
    at_s: float,
    rules: list[str],
) -> None:
    """Two processes take themselves for the leader, one after the other."""
    ledger = _make_ledger()
    ledger.note_order('m-1', 'c-1', 1, 1)
    ledger.note_order('m-1', holder, token, at_s)
    assert _list_rules(ledger) == rules


def test_more_instances_down_than_a_wave_allows() -> None:
    """A wave takes one instance too many down at a time."""
    ledger = _make_ledger()
    ledger.note_down(1, 'm-1', 1)
    ledger.note_up(1, 'm-1')
    ledger.note_down(1, 'm-2', 1)
    assert not ledger.broken
    ledger.note_down(1, 'm-3', 1)
    assert _list_rules(ledger) == ['LIMIT']


def test_wave_that_is_said_to_be_done_too_soon() -> None:
    """An operator is told that a wave is done, without one instance."""
    ledger = _make_ledger()
    ledger.note_wave_done(1, set())
    assert not ledger.broken
    ledger.note_wave_done(1, {'m-1'})
    assert _list_rules(ledger) == ['MIXED']


def test_process_that_ends_by_itself() -> None:
    """A process ends that nobody told to."""
    ledger = _make_ledger()
    ledger.note_ended('127.0.1.1', 1)
    assert _list_rules(ledger) == ['ENDED']
