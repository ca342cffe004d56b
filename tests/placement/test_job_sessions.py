"""Sessions of placement: one behaviour each."""

import pytest

from builders import Session, check_golden
from builders.jobs import TEAMS, JobSimulation, make_request
from sardinemast import placement

_URGENT_GOAL_S = 1.3
ROOMY = TEAMS[0]._replace(millicores_max=64_000)


def _live(simulation: JobSimulation, rounds: int) -> None:
    for _ in range(rounds):
        simulation.advance()


def _finish_all(
    simulation: JobSimulation, outcome: placement.RunResult
) -> None:
    for name in simulation.workers:
        simulation.finish(name, outcome)


@pytest.mark.parametrize('can_checkpoint', [False, True])
def test_urgent_job_starts_at_once(can_checkpoint: bool) -> None:
    """Start an urgent job on a full fleet within 1.3 s."""
    simulation = JobSimulation()
    simulation.set_teams((ROOMY,))
    spare = placement.Priority.spare
    simulation.submit(
        *(
            make_request(f'job-{number}', spare, can_checkpoint=can_checkpoint)
            for number in range(4)
        ),
    )
    _live(simulation, 4)
    assert all(worker.runs for worker in simulation.workers.values())
    simulation.submit(make_request('now', placement.Priority.urgent))
    started_s = simulation.now_s
    while not simulation.get_workers('now'):
        simulation.advance(step_s=0.1)
        assert simulation.now_s - started_s <= _URGENT_GOAL_S


def test_job_that_fails_everywhere_is_set_aside() -> None:
    """Stop starting a job that failed on three workers.

    A job can never run. If it were tried for ever, it would take the place
    of others, and its workers would look bad.
    """
    simulation = JobSimulation()
    simulation.submit(make_request('bad'))
    for _ in range(12):
        simulation.advance()
        _finish_all(simulation, placement.RunResult.failed)
    job = simulation.state.jobs['bad']
    assert job.status is placement.JobStatus.set_aside
    assert job.reason.startswith('failed on worker-')
    assert len(job.failed_on) == 3
    statuses = {one.status for one in simulation.state.workers.values()}
    assert statuses == {placement.WorkerStatus.ready}


def test_job_that_fits_nowhere_is_set_aside() -> None:
    """Tell the reason for a job that no worker could hold."""
    simulation = JobSimulation()
    simulation.submit(make_request('huge', millicores=9000))
    _live(simulation, 3)
    job = simulation.state.jobs['huge']
    assert job.reason == (
        'fits no worker: 9000 millicores, 1000 bytes, 0 accelerators'
    )


def test_worker_that_fails_what_succeeds_elsewhere_is_set_aside() -> None:
    """Set aside a worker that fails all, and never more than the bound.

    A worker has a broken disk and ends each job at once with an error, so
    that it is always free and draws in the next. Callers see their jobs fail.
    """
    simulation = JobSimulation()
    simulation.set_teams((ROOMY,))
    simulation.workers['worker-2'].is_faulty = True
    for number in range(24):
        simulation.submit(make_request(f'job-{number}', millicores=4000))
    for _ in range(30):
        simulation.advance()
        _finish_all(simulation, placement.RunResult.succeeded)
    aside = [
        worker.name
        for worker in simulation.state.workers.values()
        if worker.status is placement.WorkerStatus.set_aside
    ]
    assert aside == ['worker-2']
    statuses = {job.status for job in simulation.state.jobs.values()}
    assert statuses == {placement.JobStatus.done}


def test_job_that_ran_out_of_memory_gets_more() -> None:
    """Double the memory after a run that ran out of it."""
    simulation = JobSimulation()
    simulation.submit(make_request('grows'))
    _live(simulation, 2)
    _finish_all(simulation, placement.RunResult.out_of_memory)
    _live(simulation, 3)
    sizes = [run.size.memory_bytes for run in simulation.state.runs.values()]
    assert sizes == [2000]


def test_sizes_are_learned_from_ended_runs() -> None:
    """Take less room for a kind whose declared size is far too large."""
    simulation = JobSimulation()
    peak = placement.Size(500, 100)
    for number in range(5):
        simulation.submit(make_request(f'job-{number}'))
        _live(simulation, 2)
        for worker in simulation.workers.values():
            for token in tuple(worker.runs):
                worker.end(token, placement.RunResult.succeeded, peak)
        _live(simulation, 2)
    simulation.submit(make_request('next'))
    estimated = simulation.state.estimate(simulation.state.jobs['next'])
    assert estimated == placement.Size(500, 110)


def test_lost_worker() -> None:
    """Start a lost worker's job again only after its lease has ended.

    A worker is cut off but runs on until its lease ends. A job that is
    started elsewhere before that runs twice and books twice.
    """
    simulation = JobSimulation()
    session = Session(lambda event, now_s: simulation.core.step(event, now_s))
    simulation.session = session
    simulation.submit(make_request('once'))
    _live(simulation, 2)
    worker = simulation.get_workers('once')[0]
    session.note(f'{worker} is cut off.')
    for _ in range(9):
        simulation.advance(silent=[worker])
    session.note(
        f'It is back, and the job runs at {simulation.get_workers("once")}'
    )
    _live(simulation, 2)
    session.note('The job is cancelled.')
    simulation.commit(placement.commands.CancelJobs('c', ('once',)))
    _live(simulation, 3)
    check_golden('placement_lost_worker', session.transcript)
    job = simulation.state.jobs['once']
    assert job.status is placement.JobStatus.cancelled


def test_cancelled_wave_is_one_command() -> None:
    """Cancel all of a team's kind by one command, for good."""
    simulation = JobSimulation()
    simulation.submit(*(make_request(f'job-{number}') for number in range(9)))
    _live(simulation, 3)
    simulation.commit(
        placement.commands.CancelJobs('c', team='kerlann', kind='track'),
    )
    _live(simulation, 4)
    statuses = {job.status for job in simulation.state.jobs.values()}
    assert statuses == {placement.JobStatus.cancelled}
    assert not simulation.state.runs


def test_two_leaders_in_a_row_pass_no_bound() -> None:
    """Start nothing past a worker's room or a team's limit.

    Two leaders in a row chose by the same picture. If both choices stood, a
    worker would run out of memory and a team would pass its limit.
    """
    simulation = JobSimulation()
    simulation.submit(*(make_request(f'job-{number}') for number in range(4)))
    for number, worker in enumerate(('1', '1', '2', '3')):
        placed = placement.commands.Placement(
            f'job-{number}',
            f'worker-{worker}',
            1,
            placement.Size(8000, 1000),
        )
        simulation.commit(placement.commands.PlaceJobs((placed,)))
    running = sorted(run.job for run in simulation.state.runs.values())
    assert running == ['job-0', 'job-2']


def test_worker_whose_lease_is_ended_gets_none() -> None:
    """Give no lease once its end stands in a proposal.

    A late report arrives after the leader has given the worker's jobs away.
    With a fresh lease the worker would go on, and the jobs would run twice.
    """
    simulation = JobSimulation()
    late = simulation.workers['worker-1'].report(simulation.now_s)
    for _ in range(7):
        simulation.advance(silent=['worker-1'])
    assert simulation.state.workers['worker-1'].is_lease_ended
    assert not simulation.core.step(late, simulation.now_s)


def test_bad_wave_does_not_empty_the_fleet() -> None:
    """Set aside one worker of four, however many look bad.

    A roll-out breaks half of the workers at once. If all of them were set
    aside, and then the next, nothing would run anywhere.
    """
    simulation = JobSimulation()
    for name in ('worker-2', 'worker-3'):
        simulation.commit(
            placement.commands.SetWorkerAside(name, 1, 'failed'),
        )
    aside = [
        worker.name
        for worker in simulation.state.workers.values()
        if worker.status is placement.WorkerStatus.set_aside
    ]
    assert aside == ['worker-2']


def test_jobs_that_are_over_are_dropped_in_one_order(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Keep the newest jobs that are over, the same ones in each replica."""
    monkeypatch.setattr('sardinemast.placement._state.MAX_ENDED', 3)
    simulation = JobSimulation()
    copied = placement.load_state(placement.dump_state(simulation.state))
    start = len(simulation.log)
    for number in (4, 1, 3, 0, 2):
        simulation.submit(make_request(f'job-{number}'))
        simulation.commit(
            placement.commands.CancelJobs('c', (f'job-{number}',))
        )
    for index, command in enumerate(simulation.log[start:], start=start + 1):
        image = placement.dump_state(copied)
        copied = placement.load_state(image)
        placement.apply_command(copied, command, index)
    assert sorted(simulation.state.jobs) == ['job-0', 'job-2', 'job-3']
    assert placement.dump_state(copied) == placement.dump_state(
        simulation.state
    )


def test_run_that_takes_more_than_was_kept_makes_others_leave() -> None:
    """Believe what a run is seen to take, and relieve its worker.

    A job declares a tenth of the memory that it takes, and its usage is told
    late. If its worker got more jobs meanwhile, all of them would run out of
    memory.
    """
    simulation = JobSimulation()
    simulation.set_teams((ROOMY,))
    for name in ('worker-2', 'worker-3', 'worker-4'):
        simulation.commit(placement.commands.DrainWorker('d', name))
    spare = placement.Priority.spare
    simulation.submit(
        make_request('liar', millicores=1000),
        make_request('low', spare, millicores=1000, memory_bytes=8000),
    )
    _live(simulation, 3)
    worker = simulation.workers['worker-1']
    token = next(iter(worker.runs))
    worker.uses[token] = placement.Size(1000, 15_000)
    _live(simulation, 8)
    assert simulation.get_workers('liar') == ['worker-1']
    assert not simulation.get_workers('low')
    assert simulation.state.free['worker-1'].memory_bytes == 1000
