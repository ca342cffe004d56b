"""Test the suspicion of racks whose workers become silent at once."""

import pytest

from builders.workers import (
    SETTINGS,
    SETTINGS_WITH_RACKS,
    ModelFleet,
    make_step,
    make_worker,
)
from sardinemast.dispatch import (
    DispatchSettings,
    OrderOutcome,
    WorkerPolled,
)

_RACKS = 4
_RACK_SIZE = 4
_LOST = 'rack-0'
_JOB_INTERVAL_S = 0.1
_LEASE_S = SETTINGS.lease_ms / 1000


def _make_fleet(settings: DispatchSettings = SETTINGS_WITH_RACKS) -> ModelFleet:
    """Return a fleet of four racks, all of whose workers have a run."""
    fleet = ModelFleet(0, settings)
    for number in range(_RACKS * _RACK_SIZE):
        rack = f'rack-{number // _RACK_SIZE}'
        fleet.add_worker(make_worker(number, cores=8, rack=rack))
    fleet.instances.standby = {f'spare-{number}' for number in range(8)}
    fleet.run(1)
    fleet.submit('lasting', make_step(_RACKS * _RACK_SIZE, max_per_worker=1))
    fleet.run(0.5)
    return fleet


def _submit_jobs(fleet: ModelFleet, seconds: float) -> None:
    """Submit a job of four tasks every tenth of a second."""
    for _ in range(round(seconds / _JOB_INTERVAL_S)):
        fleet.submit(f'job-{fleet.log_length}', make_step(4))
        fleet.run(_JOB_INTERVAL_S, step_s=0.02)


def _lose_rack(fleet: ModelFleet) -> int:
    """Disconnect a rack; return how many starts were sent to it by then."""
    fleet.set_rack_unreachable(_LOST, is_unreachable=True)
    return _count_starts(fleet)


def _count_starts(fleet: ModelFleet, rack: str = _LOST) -> int:
    return sum(start.worker.rack == rack for start in fleet.started)


def _count_logged(fleet: ModelFleet, event: str) -> int:
    return sum(line.startswith(f'{event} ') for line in fleet.logged)


def test_lost_rack_gets_no_starts_once_one_worker_is_silent() -> None:
    """Guard against starts on each worker of a rack until its own times out."""
    started = {}
    for settings in (SETTINGS, SETTINGS_WITH_RACKS):
        fleet = _make_fleet(settings)
        before = _lose_rack(fleet)
        _submit_jobs(fleet, 0.2)
        early = _count_starts(fleet)
        _submit_jobs(fleet, 1.6)
        started[settings] = _count_starts(fleet) - before
        if settings is SETTINGS_WITH_RACKS:
            assert _count_starts(fleet) == early
    assert started[SETTINGS_WITH_RACKS] < started[SETTINGS]


def test_lost_rack_is_replaced_at_once() -> None:
    """Guard against a pool that waits for leases before it is helped."""
    moves = {}
    for settings in (SETTINGS, SETTINGS_WITH_RACKS):
        fleet = _make_fleet(settings)
        _lose_rack(fleet)
        _submit_jobs(fleet, 0.8)
        moves[settings] = len(fleet.instances.moves)
    assert moves[SETTINGS_WITH_RACKS] > moves[SETTINGS]


def test_tasks_of_lost_rack_run_once() -> None:
    """Guard against a second run before the lease of the first expires."""
    fleet = _make_fleet()
    fleet.submit('batch', make_step(40, max_per_worker=4))
    fleet.run(1)
    _lose_rack(fleet)
    lost = [
        name
        for name, model in fleet.workers.items()
        if model.worker.rack == _LOST
    ]
    tasks = [
        task
        for name in lost
        for task in fleet.state.runs[name]
        if task.job == 'batch'
    ]
    assert tasks
    for _ in range(round((_LEASE_S + 2) / _JOB_INTERVAL_S)):
        fleet.run(_JOB_INTERVAL_S)
        assert all(len(fleet.get_running_workers(one)) <= 1 for one in tasks)
    for task in tasks:
        assert set(fleet.get_running_workers(task)).isdisjoint(lost)
        assert fleet.get_running_workers(task)


def test_returned_rack_is_used_at_once() -> None:
    """Guard against a rack that stays out of use after it answers."""
    fleet = _make_fleet()
    _lose_rack(fleet)
    _submit_jobs(fleet, 1.5)
    assert _count_logged(fleet, 'rack.suspected') == 1
    fleet.set_rack_unreachable(_LOST, is_unreachable=False)
    before = _count_starts(fleet)
    _submit_jobs(fleet, 2.0)
    assert _count_logged(fleet, 'rack.cleared') == 1
    assert _count_starts(fleet) > before


def test_single_flapping_worker_leaves_its_rack_in_use() -> None:
    """Guard against a whole rack out of use for one faulty worker."""
    fleet = _make_fleet()
    flapping = next(iter(fleet.workers.values()))
    for is_unreachable in (True, False) * 3:
        flapping.is_unreachable = is_unreachable
        _submit_jobs(fleet, 1.2)
    assert not _count_logged(fleet, 'rack.suspected')


def test_half_of_a_pool_is_not_suspected() -> None:
    """Guard against an empty pool when control is cut off from its racks."""
    fleet = _make_fleet()
    for number in range(_RACKS - 1):
        fleet.set_rack_unreachable(f'rack-{number}', is_unreachable=True)
    _submit_jobs(fleet, 2.0)
    state = fleet.dispatcher._state
    lost = sum(map(state.suspected.is_lost, state.sessions))
    assert lost == _RACKS * _RACK_SIZE // 2
    fleet.run(1)
    for number in range(_RACKS - 1):
        fleet.set_rack_unreachable(f'rack-{number}', is_unreachable=False)
    fleet.run(4)
    assert not any(map(state.suspected.is_withheld, state.sessions))


@pytest.mark.parametrize('pause_s', [3.0, 30.0])
def test_paused_leader_does_not_suspect_racks(pause_s: float) -> None:
    """Guard against time-outs of a pause that are taken for silence."""
    fleet = _make_fleet()
    fleet.set_rack_unreachable(_LOST, is_unreachable=True)
    fleet.now_s += pause_s
    fleet.run(0.05)
    fleet.set_rack_unreachable(_LOST, is_unreachable=False)
    fleet.run(2)
    assert not _count_logged(fleet, 'rack.suspected')


def test_new_leader_starts_nothing_on_a_lost_rack() -> None:
    """Guard against starts after the loss of a rack and of the leader."""
    fleet = _make_fleet()
    before = _lose_rack(fleet)
    fleet.elect()
    _submit_jobs(fleet, 2.0)
    assert _count_starts(fleet) == before
    assert _count_logged(fleet, 'rack.suspected') == 1


@pytest.mark.parametrize('has_lease', [True, False])
def test_refused_connections_count_only_with_a_lease(has_lease: bool) -> None:
    """Guard against own orders that were not sent, taken for lost workers."""
    fleet = _make_fleet()
    for name, session in tuple(fleet.dispatcher._state.sessions.items()):
        if session.worker.rack == _LOST:
            fence = session.poll_state.sent_fence
            refused = WorkerPolled(
                name, fence, fleet.now_s, OrderOutcome.not_sent
            )
            fleet.dispatcher.step(refused, fleet.now_s, fleet.now_ms)
    fleet.set_rack_unreachable(_LOST, is_unreachable=has_lease)
    if not has_lease:
        fleet.now_s += 1
    fleet.run(1.2)
    assert _count_logged(fleet, 'rack.suspected') == has_lease
