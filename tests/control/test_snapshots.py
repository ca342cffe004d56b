"""Restart of a control process from a snapshot."""

from random import Random

from builders import make_document
from sardinemast import consensus, control
from sardinemast.fleet import ApplyDocument, dump_state

_NAME = 'control-1'
_SETTINGS = control.ControlSettings(
    consensus.ReplicaSettings(_NAME, (_NAME,)),
    snapshot_entries=2,
)


def test_snapshot_restores_the_state() -> None:
    """A restart from a snapshot restores the same state.

    Guards against state that the snapshot lacks: the log before it is gone.
    """
    core = control.ControlCore(_SETTINGS, consensus.HardState(), (), Random(1))
    command = ApplyDocument('c1', 0, make_document())
    outputs = [
        *core.step(control.Tick(), 0),
        *core.step(control.Tick(), 10),
        *core.step(control.CommandRequested(1, command), 10),
    ]
    saved = [one for one in outputs if isinstance(one, consensus.SaveSnapshot)]
    restarted = control.ControlCore(
        _SETTINGS,
        consensus.HardState(1, _NAME),
        saved[-1].entries,
        Random(1),
        snapshot=saved[-1].snapshot,
    )
    assert dump_state(restarted.state) == dump_state(core.state)
