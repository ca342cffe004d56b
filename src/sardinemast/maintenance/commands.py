"""Commands that change the state of maintenance, in the order of the log.

``at_s`` is the leader's wall clock; a follower never reads its own.
"""

from typing import NamedTuple

from sardinemast.maintenance._records import (
    Budgets,
    Condition,
    EntryRun,
    StepKind,
    WavePlan,
)


class SetBudgets(NamedTuple):
    """Put budgets in force."""

    command_id: str
    budgets: Budgets


class EnrolInstance(NamedTuple):
    """Take in an instance; it counts once it has proved itself."""

    name: str
    region: str
    data_centre: str
    rack: str
    pool: str
    at_s: float


class ConditionChange(NamedTuple):
    """Change one instance, unless it changed since ``based_on``."""

    instance: str
    based_on: int
    condition: Condition
    incarnation: int = 0
    reason: str = ''
    not_before_s: float = 0


class ChangeConditions(NamedTuple):
    """Change several instances at one index."""

    changes: tuple[ConditionChange, ...]
    at_s: float


class StepStart(NamedTuple):
    """Start a planned step, unless the instance changed since."""

    instance: str
    based_on: int
    kind: StepKind
    wave: str = ''
    target_pool: str = ''
    replaces: str = ''


class StartSteps(NamedTuple):
    """Start several steps, each only where all budgets still hold."""

    steps: tuple[StepStart, ...]
    at_s: float


class JoinPool(NamedTuple):
    """Put a drained instance into the pool that its step names."""

    instance: str
    based_on: int


class ReadmitInstance(NamedTuple):
    """Take an instance that was set aside back by way of a reboot."""

    command_id: str
    instance: str


class StartWave(NamedTuple):
    """Start a wave."""

    command_id: str
    plan: WavePlan
    at_s: float


class PauseWave(NamedTuple):
    """Start nothing more, and undo what has not cut yet."""

    command_id: str
    wave: str
    at_s: float


class ResumeWave(NamedTuple):
    """Go on with a paused wave."""

    command_id: str
    wave: str


class AbortWave(NamedTuple):
    """End a wave for good, and undo what has not cut yet."""

    command_id: str
    wave: str


class FinishWave(NamedTuple):
    """Note that a wave has nothing left to maintain."""

    wave: str
    at_s: float


class NoteEntry(NamedTuple):
    """Note a run of an entry before it gets its first lease."""

    run: EntryRun


class ForgetEntry(NamedTuple):
    """Forget a run whose lease and work bound have surely passed.

    A run that was noted again after ``based_on`` stays.
    """

    run: EntryRun
    based_on: int


Command = (
    SetBudgets
    | EnrolInstance
    | ChangeConditions
    | StartSteps
    | JoinPool
    | ReadmitInstance
    | StartWave
    | PauseWave
    | ResumeWave
    | AbortWave
    | FinishWave
    | NoteEntry
    | ForgetEntry
)
COMMAND_CLASSES = (
    SetBudgets,
    EnrolInstance,
    ChangeConditions,
    StartSteps,
    JoinPool,
    ReadmitInstance,
    StartWave,
    PauseWave,
    ResumeWave,
    AbortWave,
    FinishWave,
    NoteEntry,
    ForgetEntry,
)
