"""A replica that learns at once that its whole log is committed."""

from random import Random

from builders.workers import make_worker
from sardinemast import consensus, control
from sardinemast.fleet import COMMANDS
from sardinemast.jobs.commands import RegisterWorker

_ENTRIES = 3000
_STEP_S = 0.02
_STEPS = 200
# Some 10 ms of work, a small part of the time that followers wait.
_APPLIED_AT_MOST = 64


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
    """Give how many entries each step applied until none is left."""
    applied = []
    event: control.ControlEvent = control.Tick(1)
    while True:
        before = core.state.log_index
        outputs = core.step(event, now_s)
        applied.append(core.state.log_index - before)
        if not any(isinstance(one, control.ScheduleApply) for one in outputs):
            return applied
        event = control.ApplyDue()


def test_log_of_a_busy_day_is_applied_in_steps_after_a_restart() -> None:
    """All control processes lose power, and one is elected.

    It applied thousands of entries in one go, and planned after each of them.
    Meanwhile it sent no heartbeat, the others elected the next one, and five
    leaders in a row lost their terms. Callers waited for four seconds.
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
        assert max(_apply_all(core, step * _STEP_S)) <= _APPLIED_AT_MOST
    assert core.is_leader(_STEPS * _STEP_S)
    assert core.state.log_index >= _ENTRIES
