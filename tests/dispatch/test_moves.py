"""Instances that change their pool right after a change of leader."""

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


def _make_full_fleet() -> ModelFleet:
    """Give a pool whose work waits, and a leader that is elected just now."""
    fleet = ModelFleet(2)
    fleet.instances.standby = {'spare'}
    fleet.run(10)
    return fleet


def _elect_and_fill(fleet: ModelFleet) -> None:
    fleet.elect()
    fleet.submit('peak', make_step(40))


def test_new_leader_brings_in_an_instance_that_nobody_ordered_lately() -> None:
    """The leader is lost in the middle of a peak, and a spare one is free.

    Held back for the sake of an order that the old leader cannot have sent,
    it came four seconds later, and a whole peak missed its targets.
    """
    fleet = _make_full_fleet()
    _elect_and_fill(fleet)
    fleet.run(1)
    assert [(one.instance, one.pool) for one in fleet.instances.moves] == [
        ('spare', POOL),
    ]


def test_new_leader_waits_with_an_instance_named_in_the_log_just_now() -> None:
    """The old leader may have sent its order right before it was lost.

    Nothing checks fences there. Two orders that cross would end what the
    instance has just been given.
    """
    fleet = _make_full_fleet()
    fleet.commit(NoteMove('spare', POOL))
    named_s = fleet.now_s
    fleet.run(0.5)
    _elect_and_fill(fleet)
    fleet.run(_SETTLE_S - 1)
    assert not fleet.instances.moves
    fleet.run(2)
    assert fleet.instances.moves
    assert fleet.now_s > named_s + _SETTLE_S


def test_new_leader_waits_with_an_instance_whose_upkeep_is_ordered() -> None:
    """An order for maintenance has no answer and is repeated each second.

    The log named it long ago, and the old leader may have sent it just now.
    """
    fleet = _make_full_fleet()
    fleet.commit(DeclareWave(1, ('spare',), 1, fleet.now_ms, 10**9))
    fleet.instances.refused.add('spare')
    fleet.commit(NoteUpkeep(1, 'spare', MaintenanceStatus.ordered))
    fleet.run(6)
    _elect_and_fill(fleet)
    fleet.run(_SETTLE_S - 0.5)
    assert not fleet.instances.moves


def _elect_with_snapshot(fleet: ModelFleet) -> None:
    """Elect a process that has not seen when the log named which instance."""
    fleet.follower.reset_order_times(fleet.now_s)
    _elect_and_fill(fleet)


def test_leader_that_took_a_snapshot_waits_with_an_instance() -> None:
    """A process was behind and took a snapshot right before it leads.

    It has not seen when the log named the instance. By the date in the log it
    was seconds ago, and the clocks of two processes may be off by as much.
    """
    fleet = _make_full_fleet()
    fleet.commit(NoteMove('spare', STANDBY, fleet.now_ms))
    fleet.run(_SETTLE_S)
    _elect_with_snapshot(fleet)
    fleet.run(_SETTLE_S - 0.5)
    assert not fleet.instances.moves
    fleet.run(1)
    assert fleet.instances.moves


def test_leader_waits_with_an_instance_that_an_older_version_named() -> None:
    """The entry that names the instance has no date in it."""
    fleet = _make_full_fleet()
    fleet.commit(NoteMove('spare', STANDBY))
    fleet.run(20)
    _elect_with_snapshot(fleet)
    fleet.run(_SETTLE_S - 0.5)
    assert not fleet.instances.moves


def test_leader_waits_with_an_instance_that_was_named_in_the_future() -> None:
    """A clock was ahead when the log took the entry, or was set back since."""
    fleet = _make_full_fleet()
    fleet.commit(NoteMove('spare', STANDBY, fleet.now_ms + 60_000))
    fleet.run(20)
    _elect_with_snapshot(fleet)
    fleet.run(_SETTLE_S - 0.5)
    assert not fleet.instances.moves


def test_instance_that_was_off_for_long_comes_after_a_power_loss() -> None:
    """All control processes lose power in the middle of a peak.

    None of them has seen when the log named which instance. Held back as if
    it had been a moment ago, what stands by came to the full pool six seconds
    later, and the jobs of the whole peak were late.
    """
    fleet = _make_full_fleet()
    fleet.commit(NoteMove('spare', STANDBY, fleet.now_ms))
    fleet.run(20)
    _elect_with_snapshot(fleet)
    fleet.run(1)
    assert [one.instance for one in fleet.instances.moves] == ['spare']


def test_snapshot_of_an_older_version_has_no_dates() -> None:
    """The snapshot tells which instances were named, and not when."""
    image = EMPTY_IMAGE._replace(home_pools={'m-1': POOL, 'spare': ''})
    assert load_state(image).last_order_ms == {'m-1': 0, 'spare': 0}
    dated = image._replace(last_order_ms={'spare': 7})
    assert dump_state(load_state(dated)).last_order_ms == {'spare': 7}


def test_large_pool_gets_what_its_peak_lacks_in_one_go() -> None:
    """A pool of 40 workers peaks, and asks for 1.7 times what it holds.

    The pattern: queues that peak in turns of 4.5 s, in a fleet of 180. Eight
    instances at a time, enough for pools of eight, took two turns to come.
    """
    fleet = ModelFleet(40)
    fleet.instances.standby = {f'spare-{number}' for number in range(30)}
    fleet.run(10)
    fleet.submit('peak', make_step(70 * 4))
    fleet.run(1)
    assert len(fleet.instances.moves) == 30


def test_leader_asks_again_for_a_list_that_it_did_not_get() -> None:
    """The answer to a new leader's question for all instances is lost.

    It did not know what stands by, and brought nothing into two peaks until
    the next list fifteen seconds later.
    """
    fleet = _make_full_fleet()
    fleet.instances.lost_lists = 2
    _elect_and_fill(fleet)
    fleet.run(4)
    assert [one.instance for one in fleet.instances.moves] == ['spare']


def test_instance_that_is_due_for_maintenance_comes_last() -> None:
    """A peak needs one of two instances, and one of them is due in a wave.

    Brought in, it was taken out of the pool again in the middle of the peak,
    or the wave had to wait for it and was late.
    """
    fleet = _make_full_fleet()
    fleet.instances.standby = {'due', 'spare'}
    fleet.run(16)
    fleet.commit(DeclareWave(1, ('due',), 0, fleet.now_ms, fleet.now_ms))
    fleet.submit('peak', make_step(10))
    fleet.run(1)
    assert [one.instance for one in fleet.instances.moves] == ['spare']
