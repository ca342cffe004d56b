"""Random histories: compare a replayed log with a snapshot and its rest.

A replica that restarts, or that lost its disk, begins with a snapshot. If the
snapshot lacked anything, an accepted job or a run would be unknown to the next
leader, or replicas would decide differently.
"""

from collections.abc import Callable, Mapping
from random import Random
from typing import Any

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from builders.workers import (
    DATA_CENTRE,
    KEY,
    OTHER_DATA_CENTRE,
    POOL,
    QUEUE,
    STANDBY,
    TEAM,
    make_catalog,
    make_step,
    make_worker,
)
from sardinemast.jobs import (
    DurationKey,
    DurationSummary,
    InstanceRecord,
    JobRequest,
    JobsImage,
    JobsState,
    JobState,
    MaintenanceStatus,
    RunEnd,
    Size,
    StepState,
    Team,
    apply_command,
    commands,
    dump_state,
    load_state,
)
from sardinemast.wire import dump_plain, load_plain

_HISTORY_MAX = 60
_REQUESTS = (
    JobRequest('', (make_step(2), make_step(1, depends_on=(0,)))),
    JobRequest('', (make_step(2, is_long_running=True),)),
    JobRequest('', (make_step(2, is_long_running=True, max_unavailable=1),)),
    JobRequest('', (make_step(3, is_gang=True), make_step(1))),
    JobRequest('', (make_step(1, is_best_effort=True),)),
    JobRequest('', (make_step(1, tail_latency_limit_ms=9, image='a'),)),
    JobRequest('', (make_step(2, can_checkpoint=True),), 3, 1000, 500),
)
_Integers = Callable[[int, int], int]
_Draw = Callable[[JobsState, _Integers], commands.Command]


def _draw_catalog(state: JobsState, integers: _Integers) -> commands.Command:
    catalog = make_catalog(state.catalog.version + integers(0, 1))
    team = Team(TEAM, (KEY,), jobs_per_s=integers(0, 2))
    teams = (team, Team('other'))[: integers(1, 2)]
    queue = catalog.queues[0]._replace(max_attempts=integers(1, 2))
    other = queue._replace(name='other', prefix='/other/')
    queues = (queue, other)[: integers(1, 2)]
    return commands.PutCatalog(
        catalog._replace(teams=teams, queues=queues), b'%d' % integers(0, 9)
    )


def _draw_submission(state: JobsState, integers: _Integers) -> commands.Command:
    submitted_ms = integers(1, 9) * 100_000
    return commands.SubmitJob(
        f'job-{integers(0, 9)}',
        (QUEUE, 'other')[integers(0, 1)],
        (TEAM, 'other', '')[integers(0, 2)],
        _REQUESTS[integers(0, len(_REQUESTS) - 1)],
        submitted_ms,
        integers(0, 1) * (submitted_ms - 500),
    )


def _draw_cancellation(
    state: JobsState, integers: _Integers
) -> commands.Command:
    return commands.CancelJob(f'job-{integers(0, 9)}')


def _draw_occurrence(state: JobsState, integers: _Integers) -> commands.Command:
    return commands.OpenOccurrence(f'job-{integers(0, 9)}', integers(0, 2))


def _draw_registration(
    state: JobsState, integers: _Integers
) -> commands.Command:
    worker = make_worker(
        integers(0, 3),
        boot_ms=integers(1, 3),
        is_draining=bool(integers(0, 1)),
        data_centre=(DATA_CENTRE, OTHER_DATA_CENTRE)[integers(0, 1)],
    )
    return commands.RegisterWorker(
        worker._replace(
            instance=('', 'm-0', 'm-1')[integers(0, 2)],
            address=f'10.0.0.{integers(0, 3)}:80',
            pool=(POOL, STANDBY)[integers(0, 1)],
        ),
    )


def _draw_removal(state: JobsState, integers: _Integers) -> commands.Command:
    return commands.ForgetWorker(f'w-{integers(0, 3)}', integers(1, 3))


def _draw_starts(state: JobsState, integers: _Integers) -> commands.Command:
    workers = list(state.workers)
    if not workers:
        return commands.RecordRuns((), ())
    starts = [
        commands.RunStart(
            step.get_task(index),
            step.get_next_run_number(index),
            workers[integers(0, len(workers) - 1)],
        )
        for step in state.ready.values()
        for index in step.waiting
        if integers(0, 2)
    ]
    return commands.RecordRuns((), tuple(starts))


def _draw_ends(state: JobsState, integers: _Integers) -> commands.Command:
    ends = [
        commands.FinishedRun(
            task,
            number,
            tuple(RunEnd)[integers(0, 2)],
            ('', 'saved')[integers(0, 1)],
        )
        for runs in state.runs.values()
        for task, number in runs.items()
        if integers(0, 1)
    ]
    return commands.RecordRuns(tuple(ends), ())


def _draw_preemption(state: JobsState, integers: _Integers) -> commands.Command:
    running = [
        commands.PreemptedRun(task, number)
        for runs in state.runs.values()
        for task, number in runs.items()
    ]
    return commands.PreemptRuns(tuple(running[: integers(0, 2)]))


def _draw_wave(state: JobsState, integers: _Integers) -> commands.Command:
    instances = ('m-0', 'm-1')[: integers(1, 2)]
    return commands.DeclareWave(integers(1, 2), instances, 1, 5, 10)


def _draw_maintenance(
    state: JobsState, integers: _Integers
) -> commands.Command:
    return commands.NoteUpkeep(
        integers(1, 2),
        f'm-{integers(0, 1)}',
        tuple(MaintenanceStatus)[integers(0, 3)],
        integers(0, 3),
        integers(0, 9),
    )


def _draw_move(state: JobsState, integers: _Integers) -> commands.Command:
    return commands.NoteMove(f'm-{integers(0, 3)}', POOL, integers(0, 9))


def _draw_evacuation(state: JobsState, integers: _Integers) -> commands.Command:
    name = (DATA_CENTRE, OTHER_DATA_CENTRE)[integers(0, 1)]
    kinds = (commands.EvacuateDataCentre, commands.ReadmitDataCentre)
    if integers(0, 2):
        return kinds[integers(0, 1)]('c', name)
    return commands.NoteEvacuated((name,)[: integers(0, 1)])


def _draw_durations(state: JobsState, integers: _Integers) -> commands.Command:
    key = DurationKey(QUEUE, ('', 'a')[integers(0, 1)], integers(0, 2))
    summary = DurationSummary(key, 0.5, 10, 20, 3, {integers(0, 4): 7})
    return commands.NoteDurations((summary,))


def _draw_records(state: JobsState, integers: _Integers) -> commands.Command:
    record = InstanceRecord(
        f'm-{integers(0, 1)}',
        5,
        failures=integers(0, 1),
        flaps=integers(0, 1),
        successes_due=integers(0, 1),
    )
    return commands.NoteInstanceRecords((record,))


_DRAWS: tuple[_Draw, ...] = (
    _draw_catalog,
    _draw_submission,
    _draw_submission,
    _draw_cancellation,
    _draw_occurrence,
    _draw_registration,
    _draw_registration,
    _draw_removal,
    _draw_starts,
    _draw_starts,
    _draw_ends,
    _draw_ends,
    _draw_preemption,
    _draw_wave,
    _draw_maintenance,
    _draw_move,
    _draw_evacuation,
    _draw_durations,
    _draw_records,
)


def _restore(state: JobsState) -> JobsState:
    encoded = cbor2.dumps(dump_plain(dump_state(state)))
    return load_state(load_plain(JobsImage, cbor2.loads(encoded)))


def _describe_step(step: StepState) -> dict[str, Any]:
    described = {name: getattr(step, name) for name in StepState.__slots__}
    # The order in which the tasks of a lost worker wait is not significant.
    return {**described, 'waiting': set(step.waiting)}


def _describe_job(job: JobState) -> dict[str, Any]:
    described = {name: getattr(job, name) for name in JobState.__slots__}
    described['steps'] = {
        occurrence: [_describe_step(step) for step in steps]
        for occurrence, steps in job.steps.items()
    }
    return described


def _list_used(usage: Mapping[str, Any]) -> dict[str, Any]:
    return {
        name: used
        for name, used in usage.items()
        if used and used != Size(0, 0)
    }


def _describe_usage(state: JobsState) -> dict[str, Any]:
    usage = state.usage
    return {
        'by_worker': _list_used(usage.by_worker),
        'by_team': _list_used(usage.by_team),
        'by_queue': {
            queue: _list_used(teams)
            for queue, teams in usage.by_queue.items()
            if _list_used(teams)
        },
        'best_effort': _list_used(usage.best_effort_counts),
        'latency_sensitive': _list_used(usage.latency_sensitive_counts),
        'free': {name: usage.free.get(name) for name in state.workers},
        'pools': [usage.free.list_workers(pool) for pool in (POOL, STANDBY)],
    }


def _describe(state: JobsState) -> dict[str, Any]:
    """Return all that is public in a state, in the order that matters."""
    described = dict(state.__dict__)
    described.update(
        jobs={name: _describe_job(job) for name, job in state.jobs.items()},
        live=list(state.live),
        ended=list(state.ended),
        ready=set(state.ready),
        runs={name: dict(runs) for name, runs in state.runs.items()},
        usage=_describe_usage(state),
        teams=(
            state.teams.buckets,
            state.teams.get(TEAM),
            state.teams.get('other'),
            state.teams.find_by_key(KEY),
        ),
        worker_index={
            name: (
                {one.name for one in state.worker_index.list_colocated(worker)},
                state.worker_index.find_newest(worker.instance),
            )
            for name, worker in state.workers.items()
        },
        data_centres=(
            set(state.data_centres.known),
            set(state.data_centres.evacuated),
        ),
        durations=list(state.durations.values()),
    )
    return described


@pytest.mark.fuzz
@settings(max_examples=max(300, settings().max_examples))
@given(seed=st.integers(0, 1 << 32))
def test_snapshot_and_rest_equal_replayed_log(seed: int) -> None:
    """A replica that starts from a snapshot must equal one that replays."""
    random = Random(seed)
    state = JobsState()
    apply_command(commands.PutCatalog(make_catalog(), b'{}'), state, 1)
    restored = _restore(state)
    length = random.randint(1, _HISTORY_MAX)
    snapshot_index = random.randint(1, length)
    for index in range(2, length + 2):
        command = random.choice(_DRAWS)(state, random.randint)
        apply_command(command, state, index)
        apply_command(command, restored, index)
        if index == snapshot_index:
            restored = _restore(state)
        assert _describe(restored) == _describe(state)


def test_all_commands_are_drawn() -> None:
    """A command that histories lack would leave its effects unchecked."""
    state = JobsState()
    state.put_worker(make_worker(0))
    random = Random(1)
    drawn = {
        type(draw(state, random.randint)) for draw in _DRAWS for _ in range(20)
    }
    assert drawn == set(commands.COMMAND_CLASSES)
