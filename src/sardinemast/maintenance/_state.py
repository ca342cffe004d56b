"""Replicated state of maintenance."""

from collections.abc import Iterator
from typing import NamedTuple

from sardinemast.maintenance._ledger import Ledger
from sardinemast.maintenance._records import (
    Budgets,
    Condition,
    EntryRun,
    Instance,
    NotedRun,
    Wave,
    is_uncut,
)


class MaintenanceImage(NamedTuple):
    """Hold the whole state as one record."""

    budgets: Budgets
    instances: tuple[Instance, ...]
    waves: tuple[Wave, ...]
    entry_runs: tuple[NotedRun, ...]


class MaintenanceState:
    """Hold instances, budgets and waves at one log index.

    ``stepping`` names the instances with a planned step, and ``uncut`` those
    of them whose step can still be undone.
    """

    def __init__(self, budgets: Budgets | None = None) -> None:
        self.instances: dict[str, Instance] = {}
        self.stepping: dict[str, None] = {}
        self.uncut: dict[str, None] = {}
        self.waves: dict[str, Wave] = {}
        self.entry_runs: dict[EntryRun, int] = {}
        self.ledger = Ledger(budgets or Budgets())

    @property
    def budgets(self) -> Budgets:
        """Give the budgets in force."""
        return self.ledger.budgets

    def replace_budgets(self, budgets: Budgets) -> None:
        """Put budgets in force and count anew."""
        self.ledger = Ledger(budgets)
        for instance in self.instances.values():
            self.ledger.add(instance)

    def put(self, fresh: Instance) -> None:
        """Put an instance in place of what was known of it."""
        known = self.instances.get(fresh.name)
        if known is not None:
            self.ledger.add(known, -1)
        self.ledger.add(fresh)
        self.instances[fresh.name] = fresh
        self.stepping.pop(fresh.name, None)
        self.uncut.pop(fresh.name, None)
        if fresh.step is not None:
            self.stepping[fresh.name] = None
        if is_uncut(fresh):
            self.uncut[fresh.name] = None

    def get_stepping(self) -> Iterator[Instance]:
        """Give all instances with a planned step."""
        return map(self.instances.__getitem__, tuple(self.stepping))

    def get_uncut(self) -> Iterator[Instance]:
        """Give all instances whose planned step can still be undone."""
        return map(self.instances.__getitem__, tuple(self.uncut))

    def remove(self, name: str) -> None:
        """Forget an instance."""
        known = self.instances.pop(name, None)
        if known is not None:
            self.ledger.add(known, -1)
            self.stepping.pop(name, None)
            self.uncut.pop(name, None)


_OPEN = frozenset((Condition.serving, Condition.suspected))
EMPTY_IMAGE = MaintenanceImage(Budgets(), (), (), ())


def takes_work(state: MaintenanceState, name: str) -> bool:
    """Tell whether an instance may get new work.

    One that was never enrolled has no plans and may.
    """
    known = state.instances.get(name)
    return known is None or known.condition in _OPEN


def dump_state(state: MaintenanceState) -> MaintenanceImage:
    """Give the whole state as one record."""
    return MaintenanceImage(
        state.budgets,
        tuple(sorted(state.instances.values())),
        tuple(state.waves.values()),
        tuple(sorted(map(NotedRun._make, state.entry_runs.items()))),
    )


def load_state(image: MaintenanceImage) -> MaintenanceState:
    """Make a state from its record."""
    state = MaintenanceState(image.budgets)
    for instance in image.instances:
        state.put(instance)
    state.waves = {wave.plan.name: wave for wave in image.waves}
    state.entry_runs = dict(image.entry_runs)
    return state
