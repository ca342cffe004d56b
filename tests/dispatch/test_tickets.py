"""Test queues whose external policy allows only some workers."""

from builders.workers import (
    CORE,
    MIB,
    ModelFleet,
    make_catalog,
    make_step,
    make_worker,
)
from sardinemast.jobs import Advice, Size, TaskKey
from sardinemast.jobs.commands import PutCatalog

TASK = TaskKey('job', 0, 0, 0)
_VALID_MS = 4000


def _make_fleet(worker_count: int = 3) -> ModelFleet:
    fleet = ModelFleet(worker_count)
    advice = Advice(decide_ms=100, per_worker_ms=10, valid_ms=_VALID_MS)
    fleet.commit(PutCatalog(make_catalog(2, advice=advice), b'{}'))
    fleet.run(1)
    return fleet


def test_tasks_start_only_with_ticket() -> None:
    """Start tasks only on workers that have a ticket.

    Workers refuse starts without one.
    """
    fleet = _make_fleet()
    fleet.policy.allowed = {'w-1'}
    fleet.submit('job', make_step(3))
    fleet.run(2)
    starts = [(one.worker.name, one.ticket) for one in fleet.started]
    assert set(starts) == {('w-1', 'job.0.0@w-1')}
    assert len(starts) == 3
    assert len(fleet.policy.questions) == 1


def test_ticket_is_requested_once_per_worker() -> None:
    """Request tickets only for workers that the policy has not denied.

    Repeated requests would delay those for other steps.
    """
    fleet = _make_fleet()
    fleet.submit('job', make_step())
    fleet.run(3)
    assert len(fleet.policy.questions) == 1
    assert not fleet.started
    fleet.policy.allowed = {'w-9'}
    fleet.add_worker(make_worker(9))
    fleet.run(2)
    requested = [worker.name for worker in fleet.policy.questions[1].workers]
    assert requested == ['w-9']
    assert fleet.get_running_workers(TASK) == ['w-9']


def test_expired_ticket_is_not_used() -> None:
    """Request a new ticket instead of sending an expired one."""
    fleet = _make_fleet(1)
    fleet.policy.allowed = {'w-0'}
    fleet.submit('job', make_step(5))
    fleet.run(_VALID_MS / 1000 + 2)
    model = fleet.workers['w-0']
    model.end(TASK, 'done')
    fleet.run(2)
    assert len(fleet.started) == 5
    assert len(fleet.policy.questions) == 2


def test_unanswered_request_is_repeated() -> None:
    """Repeat a request that the policy has not answered."""
    fleet = _make_fleet()
    fleet.policy.is_silent = True
    fleet.policy.allowed = {'w-0'}
    fleet.submit('job', make_step())
    fleet.run(2)
    assert not fleet.started
    fleet.policy.is_silent = False
    fleet.run(2)
    assert fleet.get_running_workers(TASK) == ['w-0']


def test_restarted_worker_needs_new_ticket() -> None:
    """Request a new ticket after a worker restarts."""
    fleet = _make_fleet(1)
    fleet.policy.allowed = {'w-0'}
    fleet.submit('job', make_step(5))
    fleet.run(1)
    restarted = make_worker(0, boot_ms=7)
    model = fleet.add_worker(restarted)
    fleet.run(2)
    assert len(fleet.policy.questions) == 2
    assert len(model.running) == 4


def test_best_effort_task_gets_tickets_where_cpus_are_used() -> None:
    """Request tickets for a best-effort task on workers whose CPUs are in use.

    Best-effort tasks reserve no CPU, so they fit there.
    """
    fleet = _make_fleet(1)
    fleet.policy.allowed = {'w-0'}
    fleet.submit('busy', make_step(4))
    fleet.run(1)
    fleet.submit('job', make_step(2, is_best_effort=True))
    fleet.run(1)
    assert fleet.get_running_workers(TASK) == ['w-0']


def test_denied_ticket_is_not_requested_again() -> None:
    """Keep a denial beyond the time for which tickets are valid."""
    fleet = _make_fleet()
    fleet.submit('job', make_step())
    fleet.run(2 * _VALID_MS / 1000)
    assert len(fleet.policy.questions) == 1


def test_tickets_are_requested_beside_a_worker_with_enough_tasks() -> None:
    """Guard against tasks that wait beside a worker they may use.

    A worker with a ticket that already has as many tasks as the step allows
    there cannot take another one.
    """
    fleet = _make_fleet(1)
    fleet.policy.allowed = {'w-0', 'w-1'}
    fleet.submit('job', make_step(2, max_per_worker=1))
    fleet.run(1)
    fleet.add_worker(make_worker(1))
    fleet.run(_VALID_MS / 1000 / 2)
    assert fleet.get_running_workers(TASK._replace(position=1)) == ['w-1']


def test_step_without_an_answer_does_not_delay_others() -> None:
    """Guard against one step whose request is never answered.

    All steps of queues with a policy would wait behind it.
    """
    fleet = _make_fleet()
    fleet.policy.allowed = {'w-0'}
    fleet.policy.silent_jobs = {'first', 'second'}
    for name in ('first', 'second', 'job'):
        fleet.submit(name, make_step())
    fleet.run(3)
    assert fleet.get_running_workers(TASK) == ['w-0']
    fleet.policy.silent_jobs = set()
    fleet.run(3)
    assert len(fleet.workers['w-0'].running) == 3


def test_tickets_are_requested_until_a_gang_has_enough() -> None:
    """Guard against a gang that waits for more workers than have tickets.

    Its members start together, so that one worker with a ticket is no use.
    """
    fleet = _make_fleet(1)
    fleet.policy.allowed = {'w-0', 'w-1'}
    whole = Size(4 * CORE, MIB)
    fleet.submit('job', make_step(2, size=whole, is_gang=True))
    fleet.run(1)
    fleet.add_worker(make_worker(1))
    fleet.run(_VALID_MS / 1000 / 2)
    assert fleet.get_running_workers(TASK)
