"""Recovery time, log size, commit rate and election time of replicas."""

import os
import statistics
import sys
import tempfile
import time
from pathlib import Path
from random import Random

from sardinemast import consensus, control
from sardinemast.cli import queries
from sardinemast.exceptions import CodedError
from sardinemast.fleet import COMMANDS, AssignInstance
from sardinemast.storage import LoadedLog, LogStore, open_log_store

sys.path.insert(0, str(Path(__file__).parent.parent / 'tests'))

from builders import Fleet, run_fleet
from builders.processes import wait_for

_NAME = 'control-1'
_SETTINGS = consensus.ReplicaSettings(_NAME, (_NAME,))
_COUNTS = (1_000, 100_000)
_RETAINED_ENTRIES = 1_000
_INSTANCES = 1_900
_PROPOSALS = 2_000
_BATCH = 32
_KILL_COUNT = 10
_KIB_BYTES = 1024
_TICKS_S = (0, 10, 20)


def main() -> None:
    """Print recovery, commit and election figures."""
    with tempfile.TemporaryDirectory() as folder:
        _print_recovery(Path(folder))
        _print_commits(Path(folder))
    with tempfile.TemporaryDirectory() as folder:
        _print_elections(Path(folder))


def _print_recovery(folder: Path) -> None:
    for count in _COUNTS:
        plain = folder / f'plain-{count}'
        _write_log(plain, count)
        duration_s = _recover(plain)
        _print_recovery_time(
            f'{count} commands, no snapshot', plain, duration_s
        )
        _compact_log(plain, count)
        compacted_s = _recover(plain)
        _print_recovery_time(f'{count} commands, snapshot', plain, compacted_s)
        _write_line(f'  ratio of times {duration_s / compacted_s:.1f}')


def _print_recovery_time(label: str, folder: Path, duration_s: float) -> None:
    size = sum(path.stat().st_size for path in folder.iterdir()) / _KIB_BYTES
    _write_line(f'{label}: ready after {duration_s:.3f} s, {size:.0f} KiB')


def _write_log(folder: Path, count: int) -> None:
    store, _ = open_log_store(folder)
    entries = tuple(
        consensus.LogEntry(
            index,
            1,
            COMMANDS.encode(
                AssignInstance('', f'enrol-{index % _INSTANCES}', 'enrolment'),
            ),
        )
        for index in range(1, count + 1)
    )
    store.save_hard_state(consensus.HardState(1, _NAME))
    store.append_entries(entries)
    store.close()


def _compact_log(folder: Path, count: int) -> None:
    """Replace all but the newest commands by a snapshot."""
    store, loaded = open_log_store(folder)
    retained = loaded.entries[-min(_RETAINED_ENTRIES, count // 2) :]
    covered = loaded.entries[: -len(retained)]
    core = _make_core(loaded._replace(entries=covered), len(covered))
    save = _become_leader(core)
    if save is not None:
        store.save_snapshot(save.snapshot, retained)
    store.close()


def _recover(folder: Path) -> float:
    started_s = time.perf_counter()
    store, loaded = open_log_store(folder)
    _become_leader(_make_core(loaded, 10**9))
    duration_s = time.perf_counter() - started_s
    store.close()
    return duration_s


def _make_core(loaded: LoadedLog, snapshot_entries: int) -> control.ControlCore:
    return control.ControlCore(
        control.ControlSettings(_SETTINGS, snapshot_entries=snapshot_entries),
        loaded.hard_state,
        loaded.entries,
        Random(1),
        snapshot=loaded.snapshot,
    )


def _become_leader(core: control.ControlCore) -> consensus.SaveSnapshot | None:
    """Elect the only replica and return the snapshot to save, if any."""
    outputs = []
    for now_s in _TICKS_S:
        outputs.extend(core.step(control.Tick(), now_s))
    return next(
        (one for one in outputs if isinstance(one, consensus.SaveSnapshot)),
        None,
    )


def _print_commits(folder: Path) -> None:
    plain_per_s = _measure_plain_appends(folder / 'raw')
    single_per_s = _measure_commits(folder / 'single', 1)
    batched_per_s = _measure_commits(folder / 'batched', _BATCH)
    _write_line(f'{plain_per_s:.0f} plain appends with a sync each per second')
    _write_line(
        f'{single_per_s:.0f} commits/s one by one, '
        f'{single_per_s / plain_per_s:.2f} of plain'
    )
    _write_line(
        f'{batched_per_s:.0f} commits/s by {_BATCH}, '
        f'{batched_per_s / single_per_s:.1f} times',
    )


def _measure_plain_appends(path: Path) -> float:
    record = b'x' * 128
    started_s = time.perf_counter()
    with path.open('ab', buffering=0) as file:
        for _ in range(_PROPOSALS):
            file.write(record)
            os.fdatasync(file.fileno())
    return _PROPOSALS / (time.perf_counter() - started_s)


def _measure_commits(folder: Path, batch: int) -> float:
    store, _ = open_log_store(folder)
    replica = consensus.Replica(_SETTINGS, consensus.HardState(), (), Random(1))
    for now_s in _TICKS_S:
        _execute(store, replica.step(consensus.Tick(), now_s))
    proposal = consensus.CommandProposed(1, b'x' * 64)
    proposals = consensus.BatchProposed((proposal,) * batch)
    started_s = time.perf_counter()
    for _ in range(_PROPOSALS // batch):
        _execute(store, replica.step(proposals, 20))
    duration_s = time.perf_counter() - started_s
    store.close()
    return _PROPOSALS // batch * batch / duration_s


def _execute(store: LogStore, outputs: list[consensus.Output]) -> None:
    for output in outputs:
        if isinstance(output, consensus.SaveHardState):
            store.save_hard_state(output.hard_state)
        elif isinstance(output, consensus.AppendToLog):
            store.append_entries(output.entries)


def _print_elections(folder: Path) -> None:
    with run_fleet(folder, entry_count=0) as fleet:
        times_s = [_measure_election_s(fleet) for _ in range(_KILL_COUNT)]
    times_s.sort()
    _write_line(
        f'no leader after kill -9, {_KILL_COUNT} times: median '
        f'{statistics.median(times_s):.2f} s, worst {times_s[-1]:.2f} s',
    )


def _measure_election_s(fleet: Fleet) -> float:
    leader = wait_for(lambda: _find_leader(fleet.controls))
    addresses = dict(
        zip(fleet.control_names, fleet.controls.split(','), strict=True),
    )
    other_addresses = ','.join(set(addresses.values()) - {addresses[leader]})
    # All replicas must be connected, or no majority remains after the kill.
    wait_for(lambda: _count_connected(fleet.controls) == len(addresses))
    fleet.kill(leader)
    started_s = time.perf_counter()
    wait_for(lambda: _find_leader(other_addresses))
    duration_s = time.perf_counter() - started_s
    fleet.start(leader)
    return duration_s


def _find_leader(controls: str) -> str:
    try:
        return str(queries.replicas(controls)['leader'])
    except CodedError:
        return ''


def _count_connected(controls: str) -> int:
    try:
        replicas = queries.replicas(controls)['replicas']
    except CodedError:
        return 0
    return sum(one['is_heard'] for one in replicas)


def _write_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
