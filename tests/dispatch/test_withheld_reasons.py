"""Test that the reason is known for which a worker gets no new runs."""

from collections.abc import Callable

import pytest

from builders.workers import (
    DATA_CENTRE,
    SETTINGS_WITH_RACKS,
    ModelFleet,
    make_worker,
)
from sardinemast.dispatch import DispatchSettings
from sardinemast.jobs.commands import DeclareWave, EvacuateDataCentre

_FAR_MS = 1_000_000
_IDLE_QUIET_S = DispatchSettings().idle_quiet_s


def _evacuate(fleet: ModelFleet) -> None:
    fleet.commit(EvacuateDataCentre('', DATA_CENTRE))


def _suspect_rack(fleet: ModelFleet) -> None:
    until_s = fleet.now_s + _FAR_MS
    fleet.dispatcher._state.suspected.add_lost('w-0', until_s)
    fleet.workers['w-0'].is_unreachable = True


def _restart(fleet: ModelFleet) -> None:
    fleet.workers['w-0'].is_unreachable = True
    fleet.add_worker(make_worker(0, boot_ms=2)).is_unreachable = True


def _drain(fleet: ModelFleet) -> None:
    fleet.drain_worker(0)


def _leave(fleet: ModelFleet) -> None:
    fleet.workers['w-0'].is_unreachable = True
    fleet.dispatcher.record_leaving('w-0', fleet.now_s)


def _cordon(fleet: ModelFleet) -> None:
    fleet.instances.refused.add('m-0')
    wave = DeclareWave(1, ('m-0',), 1, fleet.now_ms, fleet.now_ms + _FAR_MS)
    fleet.commit(wave)


def _back_off(fleet: ModelFleet) -> None:
    session = fleet.dispatcher._state.sessions['w-0']
    session.backoff.until_s = fleet.now_s + _FAR_MS


def _silence(fleet: ModelFleet) -> None:
    fleet.workers['w-0'].is_unreachable = True
    fleet.run(_IDLE_QUIET_S)


@pytest.mark.parametrize(
    ('reason', 'withhold'),
    [
        ('evacuated', _evacuate),
        ('rack_suspected', _suspect_rack),
        ('not_synced', _restart),
        ('draining', _drain),
        ('leaving', _leave),
        ('cordoned', _cordon),
        ('backing_off', _back_off),
        ('silent', _silence),
    ],
)
def test_each_reason_is_counted(
    reason: str, withhold: Callable[[ModelFleet], None]
) -> None:
    """Guard against a worker that gets no runs while no gauge says why."""
    fleet = ModelFleet(1, SETTINGS_WITH_RACKS)
    fleet.run(5)
    assert fleet.dispatcher.list_gauges()['workers_withheld'] == {}
    withhold(fleet)
    fleet.run(0.3)
    gauges = fleet.dispatcher.list_gauges()
    assert gauges['workers_withheld'] == {reason: 1}


def test_first_reason_wins() -> None:
    """Guard against a cordon that is named while the worker is draining."""
    fleet = ModelFleet(1)
    fleet.run(5)
    _cordon(fleet)
    _drain(fleet)
    fleet.run(0.3)
    gauges = fleet.dispatcher.list_gauges()
    assert gauges['workers_withheld'] == {'draining': 1}
