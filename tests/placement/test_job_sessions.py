"""Sessions of placement: one behaviour each."""

import pytest

from builders import Session, check_golden
from builders.jobs import TEAMS, JobSimulation, make_request
from sardinemast import placement

_URGENT_GOAL_S = 1.3
ROOMY = TEAMS[0]._replace(millicores_max=64_000)


def _live(world: JobSimulation, rounds: int) -> None:
    for _ in range(rounds):
        world.advance()


def _finish_all(world: JobSimulation, outcome: placement.RunResult) -> None:
    for name in world.workers:
        world.finish(name, outcome)


@pytest.mark.parametrize('can_checkpoint', [False, True])
def test_urgent_job_starts_at_once(can_checkpoint: bool) -> None:
    """Start an urgent job on a full fleet within 1.3 s."""
    world = JobSimulation()
    world.set_teams((ROOMY,))
    spare = placement.Priority.spare
    world.submit(
        *(
            make_request(f'job-{number}', spare, can_checkpoint=can_checkpoint)
            for number in range(4)
        ),
    )
    _live(world, 4)
    assert all(worker.runs for worker in world.workers.values())
    world.submit(make_request('now', placement.Priority.urgent))
    started_s = world.now_s
    while not world.get_workers('now'):
        world.advance(step_s=0.1)
        assert world.now_s - started_s <= _URGENT_GOAL_S


def test_job_that_fails_everywhere_is_set_aside() -> None:
    """Stop starting a job that failed on three workers.

    A job can never run. If it were tried for ever, it would take the place
    of others, and its workers would look bad.
    """
    world = JobSimulation()
    world.submit(make_request('bad'))
    for _ in range(12):
        world.advance()
        _finish_all(world, placement.RunResult.failed)
    job = world.state.jobs['bad']
    assert job.status is placement.JobStatus.set_aside
    assert job.reason.startswith('failed on worker-')
    assert len(job.failed_on) == 3
    statuses = {one.status for one in world.state.workers.values()}
    assert statuses == {placement.WorkerStatus.ready}


def test_job_that_fits_nowhere_is_set_aside() -> None:
    """Tell the reason for a job that no worker could hold."""
    world = JobSimulation()
    world.submit(make_request('huge', millicores=9000))
    _live(world, 3)
    job = world.state.jobs['huge']
    assert job.reason == (
        'fits no worker: 9000 millicores, 1000 bytes, 0 accelerators'
    )


def test_worker_that_fails_what_succeeds_elsewhere_is_set_aside() -> None:
    """Set aside a worker that fails all, and never more than the bound.

    A worker has a broken disk and ends each job at once with an error, so
    that it is always free and draws in the next. Callers see their jobs fail.
    """
    world = JobSimulation()
    world.set_teams((ROOMY,))
    world.workers['worker-2'].is_bad = True
    for number in range(24):
        world.submit(make_request(f'job-{number}', millicores=4000))
    for _ in range(30):
        world.advance()
        _finish_all(world, placement.RunResult.succeeded)
    aside = [
        worker.name
        for worker in world.state.workers.values()
        if worker.status is placement.WorkerStatus.set_aside
    ]
    assert aside == ['worker-2']
    statuses = {job.status for job in world.state.jobs.values()}
    assert statuses == {placement.JobStatus.done}


def test_job_that_ran_out_of_memory_gets_more() -> None:
    """Double the memory after a run that ran out of it."""
    world = JobSimulation()
    world.submit(make_request('grows'))
    _live(world, 2)
    _finish_all(world, placement.RunResult.out_of_memory)
    _live(world, 3)
    sizes = [run.size.memory_bytes for run in world.state.runs.values()]
    assert sizes == [2000]


def test_sizes_are_learned_from_ended_runs() -> None:
    """Take less room for a kind whose declared size is far too large."""
    world = JobSimulation()
    peak = placement.Size(500, 100)
    for number in range(5):
        world.submit(make_request(f'job-{number}'))
        _live(world, 2)
        for worker in world.workers.values():
            for token in tuple(worker.runs):
                worker.end(token, placement.RunResult.succeeded, peak)
        _live(world, 2)
    world.submit(make_request('next'))
    estimated = world.state.estimate(world.state.jobs['next'])
    assert estimated == placement.Size(500, 110)


def test_lost_worker() -> None:
    """Start a lost worker's job again only after its lease has ended.

    A worker is cut off but runs on until its lease ends. A job that is
    started elsewhere before that runs twice and books twice.
    """
    world = JobSimulation()
    session = Session(lambda event, now_s: world.core.step(event, now_s))
    world.session = session
    world.submit(make_request('once'))
    _live(world, 2)
    worker = world.get_workers('once')[0]
    session.note(f'{worker} is cut off.')
    for _ in range(9):
        world.advance(silent=[worker])
    session.note(f'It is back, and the job runs at {world.get_workers("once")}')
    _live(world, 2)
    session.note('The job is cancelled.')
    world.commit(placement.commands.CancelJobs('c', ('once',)))
    _live(world, 3)
    check_golden('placement_lost_worker', session.transcript)
    job = world.state.jobs['once']
    assert job.status is placement.JobStatus.cancelled


def test_cancelled_wave_is_one_command() -> None:
    """Cancel all of a team's kind by one command, for good."""
    world = JobSimulation()
    world.submit(*(make_request(f'job-{number}') for number in range(9)))
    _live(world, 3)
    world.commit(
        placement.commands.CancelJobs('c', team='kerlann', kind='track'),
    )
    _live(world, 4)
    statuses = {job.status for job in world.state.jobs.values()}
    assert statuses == {placement.JobStatus.cancelled}
    assert not world.state.runs


def test_two_leaders_in_a_row_pass_no_bound() -> None:
    """Start nothing past a worker's room or a team's limit.

    Two leaders in a row chose by the same picture. If both choices stood, a
    worker would run out of memory and a team would pass its limit.
    """
    world = JobSimulation()
    world.submit(*(make_request(f'job-{number}') for number in range(4)))
    for number, worker in enumerate(('1', '1', '2', '3')):
        placed = placement.commands.Placement(
            f'job-{number}',
            f'worker-{worker}',
            1,
            placement.Size(8000, 1000),
        )
        world.commit(placement.commands.PlaceJobs((placed,)))
    running = sorted(run.job for run in world.state.runs.values())
    assert running == ['job-0', 'job-2']


def test_worker_whose_lease_is_ended_gets_none() -> None:
    """Give no lease once its end stands in a proposal.

    A late report arrives after the leader has given the worker's jobs away.
    With a fresh lease the worker would go on, and the jobs would run twice.
    """
    world = JobSimulation()
    late = world.workers['worker-1'].report(world.now_s)
    for _ in range(7):
        world.advance(silent=['worker-1'])
    assert world.state.workers['worker-1'].is_lease_ended
    assert not world.core.step(late, world.now_s)


def test_bad_wave_does_not_empty_the_fleet() -> None:
    """Set aside one worker of four, however many look bad.

    A roll-out breaks half of the workers at once. If all of them were set
    aside, and then the next, nothing would run anywhere.
    """
    world = JobSimulation()
    for name in ('worker-2', 'worker-3'):
        world.commit(
            placement.commands.SetWorkerAside(name, 1, 'failed'),
        )
    aside = [
        worker.name
        for worker in world.state.workers.values()
        if worker.status is placement.WorkerStatus.set_aside
    ]
    assert aside == ['worker-2']


def test_jobs_that_are_over_are_dropped_in_one_order(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Keep the newest jobs that are over, the same ones in each replica."""
    monkeypatch.setattr('sardinemast.placement._state.MAX_ENDED', 3)
    world = JobSimulation()
    copied = placement.load_state(placement.dump_state(world.state))
    start = len(world.log)
    for number in (4, 1, 3, 0, 2):
        world.submit(make_request(f'job-{number}'))
        world.commit(placement.commands.CancelJobs('c', (f'job-{number}',)))
    for index, command in enumerate(world.log[start:], start=start + 1):
        image = placement.dump_state(copied)
        copied = placement.load_state(image)
        placement.apply_command(copied, command, index)
    assert sorted(world.state.jobs) == ['job-0', 'job-2', 'job-3']
    assert placement.dump_state(copied) == placement.dump_state(world.state)


def test_run_that_takes_more_than_was_kept_makes_others_leave() -> None:
    """Believe what a run is seen to take, and relieve its worker.

    A job declares a tenth of the memory that it takes, and its usage is told
    late. If its worker got more jobs meanwhile, all of them would run out of
    memory.
    """
    world = JobSimulation()
    world.set_teams((ROOMY,))
    for name in ('worker-2', 'worker-3', 'worker-4'):
        world.commit(placement.commands.DrainWorker('d', name))
    spare = placement.Priority.spare
    world.submit(
        make_request('liar', millicores=1000),
        make_request('low', spare, millicores=1000, memory_bytes=8000),
    )
    _live(world, 3)
    worker = world.workers['worker-1']
    token = next(iter(worker.runs))
    worker.uses[token] = placement.Size(1000, 15_000)
    _live(world, 8)
    assert world.get_workers('liar') == ['worker-1']
    assert not world.get_workers('low')
    assert world.state.free['worker-1'].memory_bytes == 1000
