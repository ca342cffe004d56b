"""Queues whose outside policy allows only some workers."""

from builders.workers import ModelFleet, make_catalog, make_step, make_worker
from sardinemast.jobs import Advice, TaskKey
from sardinemast.jobs.commands import PutCatalog

TASK = TaskKey('job', 0, 0, 0)
_VALID_MS = 4000


def _make_fleet(worker_count: int = 3) -> ModelFleet:
    fleet = ModelFleet(worker_count)
    advice = Advice(decide_ms=100, per_worker_ms=10, valid_ms=_VALID_MS)
    fleet.commit(PutCatalog(make_catalog(2, advice=advice), b'{}'))
    fleet.run(1)
    return fleet


def test_tasks_start_only_where_the_policy_allows_it() -> None:
    """One worker of three may run the step; the others would refuse it.

    Sent without a ticket, each start is refused, and the job never begins.
    """
    fleet = _make_fleet()
    fleet.policy.allowed = {'w-1'}
    fleet.submit('job', make_step(3))
    fleet.run(2)
    places = [(one.worker.name, one.ticket) for one in fleet.started]
    assert set(places) == {('w-1', 'job.0.0@w-1')}
    assert len(places) == 3
    assert len(fleet.policy.questions) == 1


def test_policy_is_asked_about_the_same_worker_only_once() -> None:
    """Nobody may run the step, and the policy takes its time each time.

    Asked again and again, it would have no time for the steps of others.
    """
    fleet = _make_fleet()
    fleet.submit('job', make_step())
    fleet.run(3)
    assert len(fleet.policy.questions) == 1
    assert not fleet.started
    fleet.policy.allowed = {'w-9'}
    fleet.add_worker(make_worker(9))
    fleet.run(2)
    asked = [worker.name for worker in fleet.policy.questions[1].workers]
    assert asked == ['w-9']
    assert fleet.get_runs(TASK) == ['w-9']


def test_ticket_that_has_run_out_is_not_used() -> None:
    """The step's next task comes after the ticket's time.

    A start with an old ticket is refused, and the caller waits for nothing.
    """
    fleet = _make_fleet(1)
    fleet.policy.allowed = {'w-0'}
    fleet.submit('job', make_step(5))
    fleet.run(_VALID_MS / 1000 + 2)
    model = fleet.workers['w-0']
    model.end(TASK, 'done')
    fleet.run(2)
    assert len(fleet.started) == 5
    assert len(fleet.policy.questions) == 2


def test_silent_policy_is_asked_again() -> None:
    """The policy's answer is lost, and the job waits for it."""
    fleet = _make_fleet()
    fleet.policy.is_silent = True
    fleet.policy.allowed = {'w-0'}
    fleet.submit('job', make_step())
    fleet.run(2)
    assert not fleet.started
    fleet.policy.is_silent = False
    fleet.run(2)
    assert fleet.get_runs(TASK) == ['w-0']


def test_next_life_of_a_worker_needs_a_ticket_of_its_own() -> None:
    """A worker restarts; the tickets of its last life are void there."""
    fleet = _make_fleet(1)
    fleet.policy.allowed = {'w-0'}
    fleet.submit('job', make_step(5))
    fleet.run(1)
    restarted = make_worker(0, boot_ms=7)
    model = fleet.add_worker(restarted)
    fleet.run(2)
    assert len(fleet.policy.questions) == 2
    assert len(model.running) == 4


def test_filler_gets_tickets_where_processors_are_full() -> None:
    """A filler's processors are not counted, and other tasks take them all.

    Asked only about workers with room for its whole size, the policy never
    hears of it, and the caller waits for a job that never begins.
    """
    fleet = _make_fleet(1)
    fleet.policy.allowed = {'w-0'}
    fleet.submit('busy', make_step(4))
    fleet.run(1)
    fleet.submit('job', make_step(2, is_best_effort=True))
    fleet.run(1)
    assert fleet.get_runs(TASK) == ['w-0']


def test_denied_worker_is_not_asked_about_again() -> None:
    """The policy's answer about a worker does not change, nor runs out.

    Asked about the same workers again and again, it has less time for steps
    that it was not asked about yet.
    """
    fleet = _make_fleet()
    fleet.submit('job', make_step())
    fleet.run(2 * _VALID_MS / 1000)
    assert len(fleet.policy.questions) == 1
