"""Applying a long committed log in bounded steps."""

from random import Random

from builders.workers import make_worker
from sardinemast import consensus, control
from sardinemast.fleet import COMMANDS
from sardinemast.jobs.commands import RegisterWorker

_ENTRIES = 3000
_STEP_S = 0.02
_STEPS = 200
# Keeps a step well below the election timeout.
_MAX_APPLIED_PER_STEP = 64


def _make_log() -> tuple[consensus.LogEntry, ...]:
    members = (consensus.Member('a', 'control-1', is_voter=True),)
    configuration = consensus.Configuration('c', members)
    worker = RegisterWorker(make_worker(0))
    founding = consensus.LogEntry(1, 1, b'', configuration)
    entries = (
        consensus.LogEntry(number, 1, COMMANDS.encode(worker))
        for number in range(2, _ENTRIES)
    )
    return (founding, *entries)


def _apply_all(core: control.ControlCore, now_s: float) -> list[int]:
    """Return the number of entries applied by each step until none is left."""
    applied = []
    event: control.ControlEvent = control.Tick(1)
    while True:
        before = core.state.log_index
        outputs = core.step(event, now_s)
        applied.append(core.state.log_index - before)
        if not any(isinstance(one, control.ScheduleApply) for one in outputs):
            return applied
        event = control.ApplyDue()


def test_long_log_is_applied_in_steps_after_a_restart() -> None:
    """A restarted leader applies a long log in bounded steps.

    Guards against missed heartbeats and repeated elections while thousands of
    entries are applied in one step.
    """
    settings = control.ControlSettings(
        consensus.ReplicaSettings('control-1', ('control-1',)),
    )
    core = control.ControlCore(
        settings,
        consensus.HardState(term=1),
        _make_log(),
        Random(1),
        folder=consensus.FolderIdentity('a', may_found=False),
    )
    for step in range(_STEPS):
        assert max(_apply_all(core, step * _STEP_S)) <= _MAX_APPLIED_PER_STEP
    assert core.is_leader(_STEPS * _STEP_S)
    assert core.state.log_index >= _ENTRIES
