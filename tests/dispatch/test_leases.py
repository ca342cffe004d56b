"""Runs on workers that fall silent, and orders that come late."""

from builders.workers import POOL, ModelFleet, make_step, make_worker
from sardinemast.dispatch import DispatchSettings, OrderOutcome
from sardinemast.jobs import JobStatus, TaskKey
from sardinemast.jobs.commands import RecordRuns

TASK = TaskKey('job', 0, 0, 0)
_LEASE_S = DispatchSettings().lease_ms / 1000


def _start_one(fleet: ModelFleet) -> str:
    fleet.run(0.5)
    fleet.submit('job', make_step())
    fleet.run(0.5)
    return fleet.get_runs(TASK)[0]


def test_task_of_a_silent_worker_starts_elsewhere_after_its_lease() -> None:
    """A worker falls silent for good while it runs a task.

    The worker may be cut off and work on until its lease ends. A second run
    before that would charge a family twice; none at all would lose the work.
    """
    fleet = ModelFleet()
    worker = _start_one(fleet)
    fleet.workers[worker].is_dark = True
    for _ in range(200):
        fleet.run(0.05)
        assert len(fleet.get_runs(TASK)) <= 1
    assert len(fleet.get_runs(TASK)) == 1
    assert fleet.get_runs(TASK) != [worker]


def test_unanswered_looks_give_no_more_time() -> None:
    """The leader goes on asking a worker that does not answer.

    If each question prolonged the lease, the task would be away for as long
    as the leader asks, and its users would wait for ever.
    """
    fleet = ModelFleet()
    worker = _start_one(fleet)
    fleet.workers[worker].is_dark = True
    fleet.run(_LEASE_S + 3)
    assert fleet.get_runs(TASK) not in ([], [worker])


def test_slow_clock_of_a_worker_is_allowed_for() -> None:
    """A worker's clock runs two in a hundred slow, and its answers are lost.

    Its lease lasts longer in true time. The task must not start elsewhere
    while the worker still trusts its own clock.
    """
    fleet = ModelFleet(worker_count=1)
    fleet.add_worker(make_worker(1), rate=0.98)
    fleet.run(0.5)
    fleet.submit('job', make_step(2))
    fleet.run(0.5)
    slow = fleet.workers['w-1']
    fleet.run(30)
    slow.is_mute = True
    for _ in range(200):
        fleet.run(0.05)
        for position in range(2):
            task = TASK._replace(position=position)
            assert len(fleet.get_runs(task)) <= 1


def test_start_that_is_carried_out_late_does_not_run_beside_another() -> None:
    """A start gets no answer and is carried out seconds later.

    The worker was healthy all the time, so the task has long been started
    again. Carried out then, it would run twice at once.
    """
    fleet = ModelFleet()
    fleet.run(0.5)
    for model in fleet.workers.values():
        model.is_dark = True
    fleet.submit('job', make_step())
    fleet.run(1.5)
    for model in fleet.workers.values():
        model.is_dark = False
    fleet.run(8)
    assert len(fleet.get_runs(TASK)) == 1
    for model, order in fleet.late:
        outcome, _ = model.carry_out(order, fleet.now_s)
        assert outcome is OrderOutcome.refused
    assert len(fleet.get_runs(TASK)) == 1


def test_end_is_forgotten_by_the_worker_only_once_it_is_recorded() -> None:
    """The leader dies between hearing of an end and recording it.

    A worker that was told to forget the end could not tell the next leader,
    and a task that is done would run again.
    """
    fleet = ModelFleet()
    worker = _start_one(fleet)
    fleet.submit('other', make_step())
    fleet.run(0.5)
    fleet.is_held = True
    model = fleet.workers[worker]
    fleet.workers[worker].end(TASK, 'done')
    fleet.run(3)
    assert model.ends
    fleet.elect()
    fleet.is_held = False
    fleet.run(3)
    assert fleet.state.jobs['job'].status is JobStatus.done
    starts = [one for one in fleet.started if one.task == TASK]
    assert len(starts) == 1


def test_ends_told_while_others_are_recorded_are_kept() -> None:
    """Two workers tell of ends, the second while the first is recorded.

    Acknowledged with the first one's record, the second end would be lost
    with the leader, and its task would run again after it was done.
    """
    fleet = ModelFleet()
    fleet.run(0.5)
    fleet.submit('job', make_step(8))
    fleet.run(0.5)
    first, second = fleet.workers.values()
    fleet.is_held = True
    first.end(next(iter(first.running)), 'done')
    fleet.run(0.1)
    second.end(next(iter(second.running)), 'done')
    fleet.run(0.1)
    fleet.commit(fleet.proposed.popleft())
    fleet.run(0.1)
    assert second.ends
    assert not first.ends


def test_new_worker_is_not_forgotten_between_word_and_look() -> None:
    """A worker announces itself late in a term and has not been looked at.

    Forgotten again at once, it would come and go with each of its words, and
    whatever was started there would be lost each time.
    """
    fleet = ModelFleet(worker_count=1)
    fleet.run(40)
    fleet.add_worker(make_worker(7))
    fleet.run(5)
    assert 'worker.gone w-7' not in fleet.logged
    assert fleet.state.workers['w-7'].pool == POOL


def test_new_leader_takes_over_what_runs() -> None:
    """The leader dies while tasks run.

    Their workers go on. The next leader must find them, or the tasks would
    run a second time beside the first.
    """
    fleet = ModelFleet()
    worker = _start_one(fleet)
    fleet.run(1)
    fleet.elect()
    fleet.run(10)
    assert fleet.get_runs(TASK) == [worker]
    assert len(fleet.started) == 1


def test_start_recorded_but_not_sent_is_made_up_for() -> None:
    """The leader dies after a start is in the log and before it is sent.

    The log says that the task runs, and nothing runs anywhere. The next
    leader must notice, or the job would never end.
    """
    fleet = ModelFleet()
    fleet.run(0.5)
    fleet.is_held = True
    fleet.submit('job', make_step())
    fleet.run(0.1)
    command = fleet.proposed.popleft()
    assert isinstance(command, RecordRuns)
    fleet.elect()
    fleet.commit(command)
    assert not fleet.get_runs(TASK)
    fleet.is_held = False
    fleet.run(2)
    assert len(fleet.get_runs(TASK)) == 1


def test_drained_worker_gets_nothing_new() -> None:
    """A worker says that it drains, and ends soon after.

    A booking that is started there then would end with the worker.
    """
    fleet = ModelFleet()
    fleet.run(0.5)
    fleet.commit_held()
    fleet.add_worker(make_worker(0, is_draining=True))
    fleet.submit('job', make_step(4))
    fleet.run(1)
    assert {one.worker.name for one in fleet.started} == {'w-1'}
