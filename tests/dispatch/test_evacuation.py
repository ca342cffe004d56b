"""Test that nothing is started in an evacuated data centre."""

from collections import Counter

from builders.workers import (
    DATA_CENTRE,
    OTHER_DATA_CENTRE,
    ModelFleet,
    make_step,
    make_worker,
)
from sardinemast.jobs.commands import (
    DeclareWave,
    EvacuateDataCentre,
    ReadmitDataCentre,
)

_EVACUATE = EvacuateDataCentre('', DATA_CENTRE)
_READMIT = ReadmitDataCentre('', DATA_CENTRE)
_FAR_MS = 1_000_000
_HERE = 'w-0'
_ELSEWHERE = 'w-9'


def _make_fleet() -> ModelFleet:
    """Return a fleet with one worker in each of two data centres."""
    fleet = ModelFleet(1)
    fleet.add_worker(make_worker(9, data_centre=OTHER_DATA_CENTRE))
    fleet.run(4)
    return fleet


def _count_started(fleet: ModelFleet) -> Counter[str]:
    return Counter(start.worker.name for start in fleet.started)


def test_tasks_start_elsewhere() -> None:
    """Start no task in an evacuated data centre, also under a new leader."""
    fleet = _make_fleet()
    fleet.commit(_EVACUATE)
    fleet.submit('first', make_step(2))
    fleet.run(1)
    fleet.elect()
    fleet.submit('second', make_step(2))
    fleet.run(2)
    assert _count_started(fleet) == {_ELSEWHERE: 4}


def test_recorded_start_is_withdrawn() -> None:
    """Withdraw a start that is recorded after the evacuation.

    The plan is older than the evacuation, so that it names a worker there.
    """
    fleet = _make_fleet()
    fleet.is_held = True
    fleet.submit('wide', make_step(8))
    fleet.run(0.2)
    fleet.proposed.appendleft(_EVACUATE)
    fleet.is_held = False
    fleet.commit_held()
    assert _count_started(fleet) == {_ELSEWHERE: 4}
    fleet.commit(_READMIT)
    fleet.run(1)
    assert _count_started(fleet)[_HERE] == 4


def test_running_tasks_are_left_alone() -> None:
    """Let the tasks that run there end, and confirm their leases."""
    fleet = _make_fleet()
    fleet.submit('wide', make_step(8, is_long_running=True))
    fleet.run(1)
    fleet.commit(_EVACUATE)
    fleet.run(12)
    assert len(fleet.workers[_HERE].running) == 4
    assert len(fleet.started) == 8


def test_tasks_wait_while_all_data_centres_are_evacuated() -> None:
    """Keep a job until there is a place for it, and start it then."""
    fleet = _make_fleet()
    fleet.commit(_EVACUATE)
    fleet.commit(EvacuateDataCentre('', OTHER_DATA_CENTRE))
    fleet.submit('waiting', make_step(1))
    fleet.run(3)
    assert not fleet.started
    fleet.commit(_READMIT)
    fleet.run(1)
    assert _count_started(fleet) == {_HERE: 1}


def test_missing_capacity_is_brought_in_elsewhere() -> None:
    """Activate standby instances only in data centres that are in use.

    Instances in an evacuated one would be paid for and run nothing.
    """
    fleet = _make_fleet()
    fleet.instances.standby = {'m-20', 'm-21', 'm-22'}
    fleet.instances.data_centres = {'m-22': OTHER_DATA_CENTRE}
    fleet.run(20)
    fleet.commit(_EVACUATE)
    fleet.submit('peak', make_step(40))
    fleet.run(2)
    assert {one.instance for one in fleet.instances.moves} == {'m-22'}


def test_wave_takes_evacuated_instances_first() -> None:
    """Maintain instances that serve nothing before those that do.

    All at once, since no pool loses capacity by it; the cap holds.
    """
    fleet = ModelFleet(3)
    names = tuple(f'm-{number}' for number in range(10, 15))
    for number in range(10, 15):
        fleet.add_worker(make_worker(number, data_centre=OTHER_DATA_CENTRE))
    fleet.run(4)
    fleet.commit(EvacuateDataCentre('', OTHER_DATA_CENTRE))
    fleet.commit(
        DeclareWave(
            1,
            ('m-0', 'm-1', 'm-2', *names),
            4,
            fleet.now_ms,
            fleet.now_ms + _FAR_MS,
        ),
    )
    fleet.run(1)
    ordered = set(fleet.instances.maintenance_orders)
    assert len(ordered) == 4
    assert ordered <= set(names)
