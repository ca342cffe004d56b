"""Test the log lines of cordons."""

from builders.workers import STANDBY, ModelFleet, make_step
from sardinemast.dispatch import (
    DispatchSettings,
    LogDecision,
    MoveAnswered,
    OrderOutcome,
    PoolPolicy,
)
from sardinemast.jobs.commands import DeclareWave

_FAR_MS = 1_000_000
_WAVE = 7
_CORES = 16
_STEP_S = 0.05
_MOVED_BEFORE_S = 60
_SWITCH_OFF = DispatchSettings(pools=PoolPolicy(opening_share=0))


def _declare_wave(fleet: ModelFleet) -> None:
    fleet.commit(
        DeclareWave(_WAVE, ('m-0',), 1, fleet.now_ms, fleet.now_ms + _FAR_MS)
    )


def test_cordon_for_a_wave_is_logged_once() -> None:
    """Guard against a cordon whose wave no line names, and against floods.

    The runner asks for the cordon at each tick until the order is answered.
    """
    fleet = ModelFleet(1)
    fleet.run(5)
    fleet.instances.refused.add('m-0')
    _declare_wave(fleet)
    fleet.run(3)
    line = fleet.get_decision('worker.cordoned')
    assert line.subject == 'w-0'
    assert line.details == {'reason': 'maintenance', 'wave': _WAVE}
    longest_s = fleet.dispatcher.list_gauges()['worker_cordon_longest_s']['']
    assert 2 < longest_s <= 3


def test_end_of_a_cordon_tells_how_long_it_lasted() -> None:
    """Guard against a cordon of a replaced worker that never ends in the log.

    The worker of an instance gets a new name after its maintenance.
    """
    fleet = ModelFleet(2)
    fleet.run(5)
    _declare_wave(fleet)
    fleet.run(2)
    fleet.replace_worker('m-0', fleet.now_ms)
    fleet.run(25)
    line = fleet.get_decision('worker.uncordoned')
    assert line.subject == 'w-0'
    assert line.details['wave'] == _WAVE
    assert line.details['cause'] == 'worker gone'
    assert float(line.details['lasted_s']) > 1


def test_refused_move_ends_its_cordon_in_the_log() -> None:
    """Guard against a refused move after which no line tells of the cordon."""
    fleet = ModelFleet(4, _SWITCH_OFF)
    fleet.run(1)
    # Workers are switched off once a pool has had its first peak.
    fleet.submit('peak', make_step(_CORES))
    fleet.run(3)
    for model in fleet.workers.values():
        for task in tuple(model.running):
            model.end(task, 'done')
    while not fleet.list_decisions('instance.moved'):
        fleet.run(_STEP_S, _STEP_S)
        assert fleet.now_s < _MOVED_BEFORE_S
    moved = fleet.list_decisions('instance.moved')[0]
    worker = moved.details['worker']
    cordoned = fleet.list_decisions('worker.cordoned')
    assert worker in {line.subject for line in cordoned}
    assert cordoned[0].details == {'reason': 'move', 'to_pool': STANDBY}
    refused = MoveAnswered(moved.subject, STANDBY, OrderOutcome.refused)
    outputs = fleet.dispatcher.step(refused, fleet.now_s, fleet.now_ms)
    line = next(one for one in outputs if isinstance(one, LogDecision))
    assert line.event == 'worker.uncordoned'
    assert line.subject == worker
    assert line.details['cause'] == 'move refused'
