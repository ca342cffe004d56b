"""Test the records of instances and their probation."""

import pytest

from builders.workers import SETTINGS_WITH_RACKS, ModelFleet, make_step
from sardinemast.jobs import (
    InstanceRecord,
    JobsImage,
    dump_state,
    load_state,
)
from sardinemast.jobs.commands import NoteInstanceRecords

_FAULTY = 'm-0'
_WORKERS = 4
_RUNS_ON_PROBATION = 2
# A worker that fails many runs in a row gets none for up to this long.
_BACKOFF_MAX_S = 16


def _make_fleet() -> ModelFleet:
    fleet = ModelFleet(_WORKERS, SETTINGS_WITH_RACKS, cores=16)
    fleet.run(1)
    return fleet


def _end_runs(fleet: ModelFleet, instance: str, result: str) -> int:
    """End all runs on an instance and return how many there were."""
    ended = 0
    for model in fleet.workers.values():
        if model.worker.instance == instance:
            for task in tuple(model.running):
                model.end(task, result)
                ended += 1
    return ended


def _count_runs(fleet: ModelFleet, instance: str) -> int:
    return sum(
        len(fleet.state.runs[name])
        for name, worker in fleet.state.workers.items()
        if worker.instance == instance
    )


def _put_on_probation(fleet: ModelFleet) -> None:
    """Let the faulty instance fail one task each of several jobs."""
    for number in range(12):
        fleet.submit(f'bad-{number}', make_step(_WORKERS, max_per_worker=1))
        fleet.run(0.3)
        _end_runs(fleet, _FAULTY, 'failed')
        fleet.run(0.3)
        for other in range(1, _WORKERS):
            _end_runs(fleet, f'm-{other}', 'done')
        fleet.run(0.3)
        if f'instance.probation {_FAULTY}' in fleet.logged:
            break
    assert f'instance.probation {_FAULTY}' in fleet.logged
    fleet.run(1.2)


def test_instance_that_fails_everything_is_limited_after_a_move() -> None:
    """Guard against a faulty instance that gets full load as a new worker.

    The new leader knows the record from the log.
    """
    fleet = _make_fleet()
    _put_on_probation(fleet)
    fleet.replace_worker(_FAULTY, boot_ms=9)
    fleet.elect()
    fleet.run(1)
    fleet.submit('wide', make_step(60))
    fleet.run(3)
    assert _count_runs(fleet, _FAULTY) == _RUNS_ON_PROBATION
    assert _count_runs(fleet, 'm-1') > _RUNS_ON_PROBATION


def test_five_successes_end_probation() -> None:
    """Guard against an instance that is never trusted again."""
    fleet = _make_fleet()
    _put_on_probation(fleet)
    fleet.submit('wide', make_step(64))
    succeeded = 0
    while succeeded < 5:
        assert fleet.now_s < 5 * _BACKOFF_MAX_S
        assert _count_runs(fleet, _FAULTY) <= _RUNS_ON_PROBATION
        succeeded += _end_runs(fleet, _FAULTY, 'done')
        fleet.run(1)
    assert f'instance.trusted {_FAULTY}' in fleet.logged
    fleet.run(_BACKOFF_MAX_S)
    assert not fleet.state.instance_records
    assert _count_runs(fleet, _FAULTY) > _RUNS_ON_PROBATION


def test_long_running_task_starts_on_probation() -> None:
    """Guard against a long-running task that waits although it has room.

    The only worker of its pool was on probation and had two runs, which may
    last for any time.
    """
    fleet = ModelFleet(1, SETTINGS_WITH_RACKS, cores=16)
    record = InstanceRecord(_FAULTY, fleet.now_ms, successes_due=5)
    fleet.commit(NoteInstanceRecords((record,)))
    fleet.elect()
    fleet.run(1)
    fleet.submit('wide', make_step(5))
    fleet.run(1)
    assert _count_runs(fleet, _FAULTY) == _RUNS_ON_PROBATION
    fleet.submit('lasting', make_step(3, is_long_running=True))
    fleet.run(1)
    assert _count_runs(fleet, _FAULTY) == _RUNS_ON_PROBATION + 3


def test_tasks_that_fail_everywhere_blame_no_instance() -> None:
    """Guard against probation for the faults of jobs."""
    fleet = _make_fleet()
    for number in range(8):
        fleet.submit(f'bad-{number}', make_step(_WORKERS, max_per_worker=1))
        for _ in range(2):
            fleet.run(0.3)
            for other in range(_WORKERS):
                _end_runs(fleet, f'm-{other}', 'failed')
        fleet.run(0.6)
    assert not any('probation' in line for line in fleet.logged)


def test_flapping_instance_comes_on_probation() -> None:
    """Guard against a worker that returns after each silence as if new."""
    fleet = _make_fleet()
    fleet.submit('lasting', make_step(_WORKERS, max_per_worker=1))
    fleet.run(0.5)
    for is_unreachable in (True, False) * 3:
        fleet.workers['w-0'].is_unreachable = is_unreachable
        fleet.run(2.5)
    assert f'instance.probation {_FAULTY}' in fleet.logged


@pytest.mark.parametrize(
    ('noted', 'expected'), [(200, 150), (0, 100)], ids=['known', 'new']
)
def test_old_records_decay(noted: int, expected: int) -> None:
    """Guard against probation for troubles that lie long back."""
    fleet = _make_fleet()
    record = InstanceRecord(_FAULTY, fleet.now_ms, failures=noted)
    fleet.commit(NoteInstanceRecords((record,)))
    fleet.elect()
    fleet.run(30)
    fleet.submit('lasting', make_step(_WORKERS, max_per_worker=1))
    fleet.run(0.5)
    _end_runs(fleet, _FAULTY, 'failed')
    fleet.run(3)
    kept = fleet.state.instance_records[_FAULTY]
    assert not kept.successes_due
    assert kept.failures == pytest.approx(expected, abs=10)


def test_records_are_noted_once_a_second() -> None:
    """Guard against a log that grows with each trouble of a bad network."""
    fleet = _make_fleet()
    fleet.is_held = True
    records = fleet.dispatcher._state.instance_records
    for number in range(200):
        records._add(f'm-{number}', 'silences', fleet.now_ms)
    fleet.run(2.5)
    noted = [
        len(command.records)
        for command in fleet.proposed
        if isinstance(command, NoteInstanceRecords)
    ]
    assert noted in ([64, 64], [64, 64, 64])


def test_snapshot_of_an_older_version_has_no_records() -> None:
    """Guard against snapshots without records that no longer load."""
    fleet = _make_fleet()
    image = JobsImage(*dump_state(fleet.state)[:10])
    assert not load_state(image).instance_records
