"""Test that what was said of a boot of a worker is not read for a later one.

A worker may restart under its name. Its fence, its clock and the positions of
its ends then begin anew, and only the boot time tells the two apart.
"""

from builders.workers import ModelFleet
from sardinemast.jobs import MaintenanceStatus
from sardinemast.jobs.commands import DeclareWave

_WAVE = 1
_FAR_MS = 1_000_000


def _order_maintenance(fleet: ModelFleet) -> str:
    """Declare a wave and return the instance that is ordered down first."""
    fleet.run(5)
    due_ms = fleet.now_ms + _FAR_MS
    fleet.commit(DeclareWave(_WAVE, ('m-0', 'm-1'), 1, fleet.now_ms, due_ms))
    while not fleet.instances.maintenance_orders:
        fleet.run(0.05)
    return fleet.instances.maintenance_orders[0]


def test_boot_that_an_order_ends_is_not_the_one_after_maintenance() -> None:
    """Guard against a wave that takes down more instances than its cap.

    The worker restarts after the order was sent and before it is executed.
    """
    fleet = ModelFleet(2)
    instance = _order_maintenance(fleet)
    model = fleet.restart_silently(int(instance[-1]))
    fleet.announce(model)
    fleet.run(0.05)
    model.is_unreachable = True
    fleet.run(1.5)
    assert fleet.state.waves[_WAVE].items[0].status is MaintenanceStatus.down
    assert set(fleet.instances.maintenance_orders) == {instance}


def test_new_leader_recognises_the_boot_after_maintenance() -> None:
    """Guard against a wave that waits for an instance that is back."""
    fleet = ModelFleet(2)
    instance = _order_maintenance(fleet)
    fleet.run(0.1)
    fleet.announce(fleet.restart_silently(int(instance[-1])))
    fleet.elect()
    fleet.run(0.5)
    assert fleet.state.waves[_WAVE].items[0].status is MaintenanceStatus.done
