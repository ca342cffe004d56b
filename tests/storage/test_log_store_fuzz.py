"""Histories of a log file with kills at every write, and failing disks."""

import os
import tempfile
from pathlib import Path

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
# Where the number is above all steps of an operation, nothing goes wrong.
_STEPS = st.integers(0, 24)

State = tuple[HardState, Snapshot | None, tuple[LogEntry, ...]]


def _get_fast_folder() -> str | None:
    # Nothing here depends on what the real disk does.
    return '/dev/shm' if os.access('/dev/shm', os.W_OK) else None


class StoreMachine(RuleBasedStateMachine):
    """Compare the file with a plain list of what was acknowledged."""

    def __init__(self) -> None:
        super().__init__()
        self.holder = tempfile.TemporaryDirectory(dir=_get_fast_folder())
        self.folder = Path(self.holder.name) / 'replica'
        self.files = FaultyFiles()
        self.store: LogStore | None = None
        self.state: State = (HardState(), None, ())
        self.possible: list[State] = []
        self.reopen()

    def reopen(self) -> None:
        """Open the folder, and check what comes back."""
        if self.store is not None:
            self.store.close()
        self.files.kill_in = None
        self.files.fail_in = None
        store, loaded = open_log_store(self.folder, self.files.functions)
        self.store = store
        found = (loaded.hard_state, loaded.snapshot, loaded.entries)
        assert found in (self.state, *self.possible)
        self.state = found
        self.possible = []

    @rule(kill=_STEPS, fail=_STEPS, is_power_loss=st.booleans())
    def restart(
        self,
        kill: int,
        fail: int,
        is_power_loss: bool,
    ) -> None:
        """Stop, and start with a kill or a full disk on the way."""
        self.store = None
        if is_power_loss:
            self.files.power_loss()
        self.files.kill_in = kill
        self.files.fail_in = fail
        try:
            open_log_store(self.folder, self.files.functions)[0].close()
        except (KilledError, StorageError):
            self.files.power_loss()
        self.reopen()

    @rule(term=st.integers(1, 9), kill=_STEPS, fail=_STEPS)
    def save(self, term: int, kill: int, fail: int) -> None:
        """Save a term and vote."""
        saved = HardState(term, 'control-2')
        self.run_step((saved, *self.state[1:]), kill, fail)

    @rule(
        back=st.integers(0, 3),
        count=st.integers(1, 4),
        kill=_STEPS,
        fail=_STEPS,
    )
    def append(
        self,
        back: int,
        count: int,
        kill: int,
        fail: int,
    ) -> None:
        """Append entries, cutting a few of the newest."""
        hard_state, snapshot, entries = self.state
        kept = entries[: max(0, len(entries) - back)]
        base = snapshot.last_index if snapshot else 0
        added: tuple[LogEntry, ...] = ()
        for place in range(count):
            index = base + len(kept) + 1 + place
            added = (*added, LogEntry(index, 1, b'x' * (back + 1)))
            self.possible.append((hard_state, snapshot, kept + added))
        self.run_step((hard_state, snapshot, kept + added), kill, fail, added)

    @rule(covered=st.integers(0, 5), kill=_STEPS, fail=_STEPS)
    def snapshot(
        self,
        covered: int,
        kill: int,
        fail: int,
    ) -> None:
        """Put a snapshot in place of the oldest entries."""
        hard_state, _, entries = self.state
        if covered < len(entries):
            last = entries[covered]
            image = Snapshot(last.log_index, 1, Configuration('', ()), b'i')
            self.run_step(
                (hard_state, image, entries[covered + 1 :]), kill, fail
            )

    def run_step(
        self,
        after: State,
        kill: int,
        fail: int,
        added: tuple[LogEntry, ...] = (),
    ) -> None:
        """Write; what ends without an error is acknowledged."""
        assert self.store
        self.files.kill_in = kill
        self.files.fail_in = fail
        self.possible.append(after)
        try:
            self.write(after, added)
        except (KilledError, StorageError) as error:
            if isinstance(error, StorageError):
                with pytest.raises(StorageError, match=r'storage\.E002'):
                    self.store.append_entries(added)
            self.reopen()
            return
        self.files.kill_in = None
        self.files.fail_in = None
        self.state = after
        self.possible = []

    def write(self, after: State, added: tuple[LogEntry, ...]) -> None:
        """Write what differs."""
        assert self.store
        hard_state, snapshot, entries = after
        if added:
            self.store.append_entries(added)
        elif hard_state != self.state[0]:
            self.store.save_hard_state(hard_state)
        elif snapshot and snapshot != self.state[1]:
            self.store.save_snapshot(snapshot, entries)

    def teardown(self) -> None:
        """Lose the power, and check what comes back."""
        self.files.power_loss()
        self.reopen()
        self.holder.cleanup()


TestStore = StoreMachine.TestCase
# A soak asks for more histories by its profile.
TestStore.settings = settings(
    max_examples=max(2000, settings().max_examples),
    stateful_step_count=15,
)
