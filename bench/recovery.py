"""Recovery of a control process: time, file sizes, commits, elections."""

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
_TAIL = 1_000
_INSTANCES = 1_900
_PROPOSALS = 2_000
_BATCH = 32
_KILLS = 10
_KIB_BYTES = 1024
_TICKS_S = (0, 10, 20)


def main() -> None:
    """Print all figures."""
    with tempfile.TemporaryDirectory() as folder:
        _print_recovery(Path(folder))
        _print_commits(Path(folder))
    with tempfile.TemporaryDirectory() as folder:
        _print_elections(Path(folder))


def _print_recovery(folder: Path) -> None:
    for count in _COUNTS:
        plain = folder / f'plain-{count}'
        _write_log(plain, count)
        seconds = _recover(plain)
        _print_size(f'{count} commands, no snapshot', plain, seconds)
        _shorten(plain, count)
        shorter = _recover(plain)
        _print_size(f'{count} commands, snapshot', plain, shorter)
        _print(f'  ratio of times {seconds / shorter:.1f}')


def _print_size(label: str, folder: Path, seconds: float) -> None:
    size = sum(path.stat().st_size for path in folder.iterdir()) / _KIB_BYTES
    _print(f'{label}: ready after {seconds:.3f} s, {size:.0f} KiB')


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


def _shorten(folder: Path, count: int) -> None:
    """Put a snapshot in place of all but the newest commands."""
    store, loaded = open_log_store(folder)
    kept = loaded.entries[-min(_TAIL, count // 2) :]
    covered = loaded.entries[: -len(kept)]
    core = _make_core(loaded._replace(entries=covered), len(covered))
    saved = _lead(core)
    if saved is not None:
        store.save_snapshot(saved.snapshot, kept)
    store.close()


def _recover(folder: Path) -> float:
    started_s = time.perf_counter()
    store, loaded = open_log_store(folder)
    _lead(_make_core(loaded, 10**9))
    seconds = time.perf_counter() - started_s
    store.close()
    return seconds


def _make_core(loaded: LoadedLog, snapshot_entries: int) -> control.ControlCore:
    return control.ControlCore(
        control.ControlSettings(_SETTINGS, snapshot_entries=snapshot_entries),
        loaded.hard_state,
        loaded.entries,
        Random(1),
        snapshot=loaded.snapshot,
    )


def _lead(core: control.ControlCore) -> consensus.SaveSnapshot | None:
    """Lead at once on a virtual clock, and give a snapshot if one is due."""
    outputs = []
    for now_s in _TICKS_S:
        outputs.extend(core.step(control.Tick(), now_s))
    return next(
        (one for one in outputs if isinstance(one, consensus.SaveSnapshot)),
        None,
    )


def _print_commits(folder: Path) -> None:
    raw = _time_raw_syncs(folder / 'raw')
    single = _time_commits(folder / 'single', 1)
    batched = _time_commits(folder / 'batched', _BATCH)
    _print(f'{raw:.0f} plain appends with a sync each per second')
    _print(f'{single:.0f} commits/s one by one, {single / raw:.2f} of plain')
    _print(
        f'{batched:.0f} commits/s by {_BATCH}, {batched / single:.1f} times',
    )


def _time_raw_syncs(path: Path) -> float:
    record = b'x' * 128
    started_s = time.perf_counter()
    with path.open('ab', buffering=0) as file:
        for _ in range(_PROPOSALS):
            file.write(record)
            os.fdatasync(file.fileno())
    return _PROPOSALS / (time.perf_counter() - started_s)


def _time_commits(folder: Path, batch: int) -> float:
    store, _ = open_log_store(folder)
    replica = consensus.Replica(_SETTINGS, consensus.HardState(), (), Random(1))
    for now_s in _TICKS_S:
        _execute(store, replica.step(consensus.Tick(), now_s))
    proposal = consensus.CommandProposed(1, b'x' * 64)
    proposals = consensus.BatchProposed((proposal,) * batch)
    started_s = time.perf_counter()
    for _ in range(_PROPOSALS // batch):
        _execute(store, replica.step(proposals, 20))
    seconds = time.perf_counter() - started_s
    store.close()
    return _PROPOSALS // batch * batch / seconds


def _execute(store: LogStore, outputs: list[consensus.Output]) -> None:
    for output in outputs:
        if isinstance(output, consensus.SaveHardState):
            store.save_hard_state(output.hard_state)
        elif isinstance(output, consensus.AppendToLog):
            store.append_entries(output.entries)


def _print_elections(folder: Path) -> None:
    with run_fleet(folder, entry_count=0) as fleet:
        times_s = [_time_election(fleet) for _ in range(_KILLS)]
    times_s.sort()
    _print(
        f'no leader after kill -9, {_KILLS} times: median '
        f'{statistics.median(times_s):.2f} s, worst {times_s[-1]:.2f} s',
    )


def _time_election(fleet: Fleet) -> float:
    leader = wait_for(lambda: _find_leader(fleet.controls))
    addresses = dict(
        zip(fleet.control_names, fleet.controls.split(','), strict=True),
    )
    others = ','.join(set(addresses.values()) - {addresses[leader]})
    # All three must follow first, or there is no majority after the kill.
    wait_for(lambda: _count_heard(fleet.controls) == len(addresses))
    fleet.kill(leader)
    started_s = time.perf_counter()
    wait_for(lambda: _find_leader(others))
    seconds = time.perf_counter() - started_s
    fleet.start(leader)
    return seconds


def _find_leader(controls: str) -> str:
    try:
        return str(queries.replicas(controls)['leader'])
    except CodedError:
        return ''


def _count_heard(controls: str) -> int:
    try:
        found = queries.replicas(controls)['replicas']
    except CodedError:
        return 0
    return sum(one['is_heard'] for one in found)


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')
