"""Fuzz the log store with kills, failing writes and power loss."""

import os
import tempfile
from pathlib import Path
from typing import NamedTuple

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from builders.disks import FaultyFiles, KilledError
from sardinemast.consensus import (
    Configuration,
    HardState,
    LogEntry,
    Snapshot,
)
from sardinemast.storage import LogStore, StorageError, open_log_store

pytestmark = pytest.mark.fuzz
# File operations before the fault; a large number means no fault.
_FAULT_STEPS = st.integers(0, 24)


class _PowerLoss(NamedTuple):
    """Tell what is kept of the writes and renames that are not synced."""

    kept_quarters: int
    keeps_renames: bool
    keeps_sizes: bool


State = tuple[HardState, Snapshot | None, tuple[LogEntry, ...]]


def _get_fast_folder() -> str | None:
    # FaultyFiles simulates the disk, so that a memory file system will do.
    return '/dev/shm' if os.access('/dev/shm', os.W_OK) else None


class StoreMachine(RuleBasedStateMachine):
    """Compare the stored log with a model of what was acknowledged."""

    def __init__(self) -> None:
        super().__init__()
        self.temporary_folder = tempfile.TemporaryDirectory(
            dir=_get_fast_folder()
        )
        self.folder = Path(self.temporary_folder.name) / 'replica'
        self.files = FaultyFiles()
        self.store: LogStore | None = None
        self.state: State = (HardState(), None, ())
        self.possible_states: list[State] = []
        self.power_loss: _PowerLoss | None = None
        self.reopen()

    def reopen(self) -> None:
        """Open the folder, and check what is loaded."""
        if self.store is not None:
            self.store.close()
        self.files.operations_until_kill = None
        self.files.operations_until_error = None
        store, loaded = open_log_store(self.folder, self.files.functions)
        self.store = store
        loaded_state = (loaded.hard_state, loaded.snapshot, loaded.entries)
        assert loaded_state in (self.state, *self.possible_states)
        self.state = loaded_state
        self.possible_states = []

    @rule(
        operations_until_kill=_FAULT_STEPS,
        operations_until_error=_FAULT_STEPS,
        is_power_loss=st.booleans(),
    )
    def restart(
        self,
        operations_until_kill: int,
        operations_until_error: int,
        is_power_loss: bool,
    ) -> None:
        """Restart with a kill or a full disk during the start."""
        self.store = None
        if is_power_loss:
            self.files.lose_power()
        self.files.operations_until_kill = operations_until_kill
        self.files.operations_until_error = operations_until_error
        try:
            open_log_store(self.folder, self.files.functions)[0].close()
        except (KilledError, StorageError):
            self.files.lose_power()
        self.reopen()

    @rule(
        kept_quarters=st.integers(0, 4),
        keeps_renames=st.booleans(),
        keeps_sizes=st.booleans(),
    )
    def prepare_power_loss(
        self, kept_quarters: int, keeps_renames: bool, keeps_sizes: bool
    ) -> None:
        """Let the power fail when the next write fails or is interrupted."""
        self.power_loss = _PowerLoss(kept_quarters, keeps_renames, keeps_sizes)

    @rule(
        term=st.integers(1, 9),
        operations_until_kill=_FAULT_STEPS,
        operations_until_error=_FAULT_STEPS,
    )
    def save_hard_state(
        self, term: int, operations_until_kill: int, operations_until_error: int
    ) -> None:
        """Save a term and a vote."""
        saved = HardState(term, 'control-2')
        self.run_step(
            (saved, *self.state[1:]),
            operations_until_kill,
            operations_until_error,
        )

    @rule(
        truncated_count=st.integers(0, 3),
        count=st.integers(1, 4),
        operations_until_kill=_FAULT_STEPS,
        operations_until_error=_FAULT_STEPS,
    )
    def append(
        self,
        truncated_count: int,
        count: int,
        operations_until_kill: int,
        operations_until_error: int,
    ) -> None:
        """Append entries, replacing some of the newest."""
        hard_state, snapshot, entries = self.state
        kept = entries[: max(0, len(entries) - truncated_count)]
        base = snapshot.last_index if snapshot else 0
        added: tuple[LogEntry, ...] = ()
        for offset in range(count):
            index = base + len(kept) + 1 + offset
            added = (*added, LogEntry(index, 1, b'x' * (truncated_count + 1)))
            self.possible_states.append((hard_state, snapshot, kept + added))
        self.run_step(
            (hard_state, snapshot, kept + added),
            operations_until_kill,
            operations_until_error,
            added,
        )

    @rule(
        covered_count=st.integers(0, 5),
        operations_until_kill=_FAULT_STEPS,
        operations_until_error=_FAULT_STEPS,
    )
    def snapshot(
        self,
        covered_count: int,
        operations_until_kill: int,
        operations_until_error: int,
    ) -> None:
        """Replace the oldest entries by a snapshot."""
        hard_state, _, entries = self.state
        if covered_count < len(entries):
            last = entries[covered_count]
            image = Snapshot(last.log_index, 1, Configuration('', ()), b'i')
            self.run_step(
                (hard_state, image, entries[covered_count + 1 :]),
                operations_until_kill,
                operations_until_error,
            )

    def run_step(
        self,
        after: State,
        operations_until_kill: int,
        operations_until_error: int,
        added: tuple[LogEntry, ...] = (),
    ) -> None:
        """Write a state, which is acknowledged if no error is raised."""
        assert self.store
        self.files.operations_until_kill = operations_until_kill
        self.files.operations_until_error = operations_until_error
        self.possible_states.append(after)
        try:
            self.write(after, added)
        except (KilledError, StorageError) as error:
            if isinstance(error, StorageError):
                with pytest.raises(StorageError, match=r'storage\.E002'):
                    self.store.append_entries(added)
            self._lose_power()
            self.reopen()
            return
        self.files.operations_until_kill = None
        self.files.operations_until_error = None
        self.state = after
        self.possible_states = []

    def write(self, after: State, added: tuple[LogEntry, ...]) -> None:
        """Write what differs from the current state."""
        assert self.store
        hard_state, snapshot, entries = after
        if added:
            self.store.append_entries(added)
        elif hard_state != self.state[0]:
            self.store.save_hard_state(hard_state)
        elif snapshot and snapshot != self.state[1]:
            self.store.save_snapshot(snapshot, entries)

    def teardown(self) -> None:
        """Check what is loaded after a power loss."""
        self.files.lose_power()
        self.reopen()
        self.temporary_folder.cleanup()

    def _lose_power(self) -> None:
        if self.power_loss is not None:
            kept_quarters, keeps_renames, keeps_sizes = self.power_loss
            self.files.lose_power(
                kept_quarters,
                keeps_renames=keeps_renames,
                keeps_sizes=keeps_sizes,
            )
        self.power_loss = None


TestStore = StoreMachine.TestCase
# A Hypothesis profile may ask for more examples, as in a soak test.
TestStore.settings = settings(
    max_examples=max(2000, settings().max_examples),
    stateful_step_count=15,
)
