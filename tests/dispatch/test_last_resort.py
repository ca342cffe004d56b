"""Test the limits of starts on withheld workers and of added instances."""

from builders.instance_fleets import InstanceFleet
from builders.workers import CORE, MIB, ModelFleet, make_step
from sardinemast.dispatch._cordons import bind_cordon, cordon_for_move
from sardinemast.jobs import MaintenanceStatus, Size
from sardinemast.jobs.commands import DeclareWave

_CORES = 4


def test_members_of_a_gang_do_not_start_alone() -> None:
    """A gang that found no room was started one member at a time."""
    fleet = ModelFleet(1, cores=2)
    fleet.run(4)
    fleet.submit('gang', make_step(3, is_long_running=True, is_gang=True))
    fleet.run(8)
    assert not fleet.started


def test_task_that_fails_at_once_waits_again() -> None:
    """A task that fails on its last resort was started at each plan."""
    fleet = ModelFleet(1)
    fleet.run(4)
    task_count = 4
    fleet.submit('watch', make_step(task_count, is_long_running=True))
    model = fleet.workers['w-0']
    seconds = 20
    for _ in range(seconds * 10):
        fleet.run(0.1)
        for task in tuple(model.running):
            model.end(task, 'failed')
    wait_s = 2.5
    assert len(fleet.started) <= 2 * task_count * seconds / wait_s


def test_start_is_not_sent_to_an_instance_that_is_ordered_away() -> None:
    """A start recorded after a move was ordered began a run that it ended."""
    fleet = ModelFleet(1)
    fleet.run(4)
    fleet.is_held = True
    fleet.submit('watch', make_step(is_long_running=True))
    fleet.run(0.2)
    state = fleet.dispatcher._state
    session = state.sessions['w-0']
    cordon_for_move(state, session, 'other', fleet.now_s)
    bind_cordon(session)
    fleet.is_held = False
    fleet.commit_held()
    fleet.run(0.2)
    assert not fleet.started


def test_no_instance_is_requested_for_a_task_that_fits_none() -> None:
    """A task larger than any worker brought in one instance after another."""
    fleet = InstanceFleet(4)
    fleet.instances.standby = {f'spare-{number}' for number in range(6)}
    fleet.run(4)
    # Each worker is in use and has free capacity, so none is short of it.
    fleet.submit('use', make_step(4, is_long_running=True, max_per_worker=1))
    fleet.run(1)
    size = Size((_CORES + 1) * CORE, MIB)
    fleet.submit('watch', make_step(size=size, is_long_running=True))
    fleet.run(20)
    # One is what the pool keeps as a spare for the load that waits.
    assert len(fleet.instances.moves) <= 1


def test_wave_ends_in_a_pool_without_room() -> None:
    """A wave waited beyond its deadline for room that nobody could add."""
    fleet = InstanceFleet(4)
    fleet.run(4)
    step = make_step(4 * _CORES, is_long_running=True, max_unavailable=_CORES)
    fleet.submit('watch', step)
    fleet.run(2)
    names = tuple(f'm-{number}' for number in range(4))
    due_ms = fleet.now_ms + 40_000
    fleet.commit(DeclareWave(1, names, 1, fleet.now_ms, due_ms))
    fleet.run(60)
    items = fleet.state.waves[1].items
    assert all(item.status is MaintenanceStatus.done for item in items)
