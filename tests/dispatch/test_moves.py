"""Test moves of instances between pools, also after an election."""

from builders.workers import POOL, STANDBY, ModelFleet, make_step
from sardinemast.dispatch import DispatchSettings
from sardinemast.jobs import (
    EMPTY_IMAGE,
    MaintenanceStatus,
    dump_state,
    load_state,
)
from sardinemast.jobs.commands import DeclareWave, NoteMove, NoteUpkeep

_SETTLE_S = DispatchSettings().settle_s


def _make_fleet() -> ModelFleet:
    """Return a fleet with one standby instance and a settled leader."""
    fleet = ModelFleet(2)
    fleet.instances.standby = {'spare'}
    fleet.run(10)
    return fleet


def _elect_and_submit(fleet: ModelFleet) -> None:
    fleet.elect()
    fleet.submit('peak', make_step(40))


def test_new_leader_activates_instance_without_recent_order() -> None:
    """Use a standby instance at once if the log excludes earlier orders."""
    fleet = _make_fleet()
    _elect_and_submit(fleet)
    fleet.run(1)
    assert [(one.instance, one.pool) for one in fleet.instances.moves] == [
        ('spare', POOL),
    ]


def test_new_leader_waits_after_recent_order() -> None:
    """Wait until an order of the failed leader can no longer arrive.

    Instances do not check fencing tokens, so orders of two leaders may cross.
    """
    fleet = _make_fleet()
    fleet.commit(NoteMove('spare', POOL))
    ordered_s = fleet.now_s
    fleet.run(0.5)
    _elect_and_submit(fleet)
    fleet.run(_SETTLE_S - 1)
    assert not fleet.instances.moves
    fleet.run(2)
    assert fleet.instances.moves
    assert fleet.now_s > ordered_s + _SETTLE_S


def test_new_leader_waits_while_maintenance_is_ordered() -> None:
    """Wait although the entry is old, since the order is being repeated."""
    fleet = _make_fleet()
    fleet.commit(DeclareWave(1, ('spare',), 1, fleet.now_ms, 10**9))
    fleet.instances.refused.add('spare')
    fleet.commit(NoteUpkeep(1, 'spare', MaintenanceStatus.ordered))
    fleet.run(6)
    _elect_and_submit(fleet)
    fleet.run(_SETTLE_S - 0.5)
    assert not fleet.instances.moves


def _elect_with_snapshot(fleet: ModelFleet) -> None:
    """Elect a process that does not know when orders were recorded."""
    fleet.follower.reset_order_times(fleet.now_s)
    _elect_and_submit(fleet)


def test_leader_with_snapshot_waits_after_recent_order() -> None:
    """Allow for the clock error when only the recorded time is known."""
    fleet = _make_fleet()
    fleet.commit(NoteMove('spare', STANDBY, fleet.now_ms))
    fleet.run(_SETTLE_S)
    _elect_with_snapshot(fleet)
    fleet.run(_SETTLE_S - 0.5)
    assert not fleet.instances.moves
    fleet.run(1)
    assert fleet.instances.moves


def test_leader_waits_after_order_without_time() -> None:
    """Treat an order without a recorded time as recent."""
    fleet = _make_fleet()
    fleet.commit(NoteMove('spare', STANDBY))
    fleet.run(20)
    _elect_with_snapshot(fleet)
    fleet.run(_SETTLE_S - 0.5)
    assert not fleet.instances.moves


def test_leader_waits_after_order_with_future_time() -> None:
    """Treat an order as recent if a clock was ahead or has been set back."""
    fleet = _make_fleet()
    fleet.commit(NoteMove('spare', STANDBY, fleet.now_ms + 60_000))
    fleet.run(20)
    _elect_with_snapshot(fleet)
    fleet.run(_SETTLE_S - 0.5)
    assert not fleet.instances.moves


def test_idle_instance_is_activated_after_full_restart() -> None:
    """Use an instance that was ordered long ago after all processes restart."""
    fleet = _make_fleet()
    fleet.commit(NoteMove('spare', STANDBY, fleet.now_ms))
    fleet.run(20)
    _elect_with_snapshot(fleet)
    fleet.run(1)
    assert [one.instance for one in fleet.instances.moves] == ['spare']


def test_old_snapshot_has_no_order_times() -> None:
    """Load the instances of a snapshot that has no order times."""
    image = EMPTY_IMAGE._replace(home_pools={'m-1': POOL, 'spare': ''})
    assert load_state(image).last_order_ms == {'m-1': 0, 'spare': 0}
    dated = image._replace(last_order_ms={'spare': 7})
    assert dump_state(load_state(dated)).last_order_ms == {'spare': 7}


def test_large_pool_gets_its_whole_shortfall_at_once() -> None:
    """Let the number of concurrent moves grow with the size of the pool."""
    fleet = ModelFleet(40)
    fleet.instances.standby = {f'spare-{number}' for number in range(30)}
    fleet.run(10)
    fleet.submit('peak', make_step(70 * 4))
    fleet.run(1)
    assert len(fleet.instances.moves) == 30


def test_lost_instance_list_is_requested_again() -> None:
    """Repeat a request whose answer is lost before the regular interval."""
    fleet = _make_fleet()
    fleet.instances.lost_list_responses = 2
    _elect_and_submit(fleet)
    fleet.run(4)
    assert [one.instance for one in fleet.instances.moves] == ['spare']


def test_instance_due_for_maintenance_is_activated_last() -> None:
    """Prefer instances that will not leave the pool again for maintenance."""
    fleet = _make_fleet()
    fleet.instances.standby = {'due', 'spare'}
    fleet.run(16)
    fleet.commit(DeclareWave(1, ('due',), 0, fleet.now_ms, fleet.now_ms))
    fleet.submit('peak', make_step(10))
    fleet.run(1)
    assert [one.instance for one in fleet.instances.moves] == ['spare']
