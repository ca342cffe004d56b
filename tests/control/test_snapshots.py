"""Restart of a control process from a snapshot."""

from itertools import pairwise
from random import Random

from builders import make_document
from builders.logs import make_catalog_log, run_until_applied
from builders.workers import make_catalog
from sardinemast import consensus, control
from sardinemast.fleet import ApplyDocument, dump_state
from sardinemast.protocol import ReplaceCatalog

_NAME = 'control-1'
_MIB_BYTES = 1024 * 1024
# The smallest disk of a control process, and a change with 1,400 queues.
_DISK_BYTES = 128 * _MIB_BYTES
_CHANGE_BYTES = 270 * 1024
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


def test_log_is_cut_by_its_size() -> None:
    """Guard against large changes that fill the disk between two snapshots.

    A snapshot is written beside the log, so that both must fit.
    """
    settings = control.ControlSettings(_SETTINGS.replica)
    core = control.ControlCore(settings, consensus.HardState(), (), Random(1))
    core.step(control.Tick(), 0)
    core.step(control.Tick(), 10)
    log_bytes = 0
    draw = Random(1)
    for version in range(1, 2 + _DISK_BYTES // 2 // _CHANGE_BYTES):
        source = draw.randbytes(_CHANGE_BYTES)
        change = ReplaceCatalog(make_catalog(version), source)
        core.step(control.CallReceived(1, version, change, 0), 10)
        for output in core.step(control.ProposalsDue(), 10):
            if isinstance(output, consensus.AppendToLog):
                log_bytes += sum(len(one.payload) for one in output.entries)
            elif isinstance(output, consensus.SaveSnapshot):
                log_bytes = 0
        assert log_bytes < _DISK_BYTES // 2
    assert log_bytes


def test_restarted_replica_applies_its_log_before_a_snapshot() -> None:
    """Guard against a snapshot that is saved with most of a large log.

    Both logs would have to fit on the disk, and the replica never starts.
    """
    settings = control.ControlSettings(_SETTINGS.replica)
    entries = make_catalog_log(2 * settings.snapshot_bytes, _CHANGE_BYTES)
    core = control.ControlCore(
        settings, consensus.HardState(1, _NAME), entries, Random(1)
    )
    saved = [
        one
        for one in run_until_applied(core)
        if isinstance(one, consensus.SaveSnapshot)
    ]
    assert [one.entries for one in saved] == [()]


def test_restarted_replica_decodes_few_large_changes_in_a_step() -> None:
    """Guard against a leader that loses its term while it applies its log.

    Each large change takes milliseconds, so that a number of entries alone
    does not bound a step.
    """
    entries = make_catalog_log(40 * _CHANGE_BYTES, _CHANGE_BYTES)
    core = control.ControlCore(
        _SETTINGS, consensus.HardState(1, _NAME), entries, Random(1)
    )
    indexes = [core.state.log_index]
    run_until_applied(core, lambda: indexes.append(core.state.log_index))
    steps = [after - before for before, after in pairwise(indexes)]
    assert indexes[-1] > len(entries)
    assert max(steps) * _CHANGE_BYTES <= _MIB_BYTES


def test_replica_keeps_few_large_entries_in_memory() -> None:
    """Guard against memory that fills with entries that a snapshot covers."""
    settings = control.ControlSettings(_SETTINGS.replica)
    entries = make_catalog_log(2 * settings.snapshot_bytes, _CHANGE_BYTES)
    core = control.ControlCore(
        settings, consensus.HardState(1, _NAME), entries, Random(1)
    )
    run_until_applied(core)
    log = core.replica.log
    kept = range(log.base_index + 1, log.last_index + 1)
    kept_bytes = sum(len(log.get_entry(index).payload) for index in kept)
    assert 0 < kept_bytes <= settings.replica.retained_bytes
