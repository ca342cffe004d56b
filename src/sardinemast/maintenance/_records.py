"""Typed records of instances, budgets and waves."""

from collections.abc import Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple

Domain = tuple[str, ...]


class Condition(StrEnum):
    """Where an instance stands between serving and set aside."""

    serving = 'serving'
    suspected = 'suspected'
    down = 'down'
    draining = 'draining'
    empty = 'empty'
    rebooting = 'rebooting'
    returning = 'returning'
    proving = 'proving'
    set_aside = 'set aside'
    moving = 'moving'


class StepKind(StrEnum):
    """What a planned step does with an instance."""

    reboot = 'reboot'
    move = 'move'
    readmit = 'readmit'


class DomainKind(StrEnum):
    """Kinds of failure domains, from the widest to the narrowest."""

    region = 'region'
    data_centre = 'data_centre'
    rack = 'rack'


class Step(NamedTuple):
    """Hold a planned step; its log index is its fencing token."""

    kind: StepKind
    log_index: int
    wave: str = ''
    target_pool: str = ''
    replaces: str = ''


class Instance(NamedTuple):
    """Hold one instance.

    ``changed_index`` is the log index of the last change; a command that is
    based on an older one changes nothing. ``incarnation`` is the one that
    proved itself last. ``maintained_at_s`` and ``not_before_s`` are wall
    clock.
    """

    name: str
    region: str
    data_centre: str
    rack: str
    pool: str
    condition: Condition
    changed_index: int
    incarnation: int = 0
    maintained_at_s: float = 0
    not_before_s: float = 0
    step: Step | None = None
    reason: str = ''


class PoolBudget(NamedTuple):
    """Bound what a planned step may leave of a pool.

    All that is down counts, planned or not, plus what the largest failure
    domain of kind ``reserve`` would take if it failed as well.
    """

    pool: str
    down_max: int
    serving_min: int = 0
    reserve: DomainKind | None = None


class DomainBudget(NamedTuple):
    """Bound how many instances of each domain of a kind may be down."""

    kind: DomainKind
    down_max: int


class Budgets(NamedTuple):
    """Hold all budgets, and the pool that lends instances."""

    pools: tuple[PoolBudget, ...] = ()
    domains: tuple[DomainBudget, ...] = ()
    spare_pool: str = ''


class Window(NamedTuple):
    """Open a recurring time for steps in one data centre, or in all."""

    data_centre: str
    period_s: float
    offset_s: float
    duration_s: float


class WaveOrder(StrEnum):
    """Which instance comes first."""

    deadline = 'deadline'
    domain = 'domain'
    listed = 'listed'


class WavePlan(NamedTuple):
    """Declare a wave.

    ``pace_s`` is the least time between two starts. A wave with a
    ``cadence_s`` stands for good and takes each instance before that much
    time has passed since its last maintenance. ``resume_after_s`` lets a
    wave that a failure paused go on by itself; 0 waits for an operator.
    """

    name: str
    pools: tuple[str, ...]
    order: WaveOrder = WaveOrder.deadline
    at_once: int = 1
    pace_s: float = 0
    cadence_s: float = 0
    windows: tuple[Window, ...] = ()
    resume_after_s: float = 0


class WaveStatus(StrEnum):
    """What a wave does now."""

    running = 'running'
    paused = 'paused'
    aborted = 'aborted'
    done = 'done'


class Wave(NamedTuple):
    """Hold a wave; times are wall clock."""

    plan: WavePlan
    status: WaveStatus
    started_at_s: float
    paused_at_s: float = 0
    is_paused_by_failure: bool = False
    reason: str = ''
    last_start_s: float = float('-inf')


class EntryRun(NamedTuple):
    """Name one run of an entry that may have work at instances."""

    entry: str
    incarnation: int


class NotedRun(NamedTuple):
    """Hold a run of an entry and the log index at which it was noted."""

    run: EntryRun
    log_index: int


class Refusal(NamedTuple):
    """Tell why a planned step may not start."""

    code: str
    text: str


_DEPTHS: Mapping[DomainKind, int] = MappingProxyType(
    {kind: depth for depth, kind in enumerate(DomainKind, start=1)},
)


def get_depth(kind: DomainKind) -> int:
    """Give how many names a domain of the kind has."""
    return _DEPTHS[kind]


def get_domain(instance: Instance, kind: DomainKind) -> Domain:
    """Give the instance's domain with the wider ones it lies in."""
    path = (instance.region, instance.data_centre, instance.rack)
    return path[: _DEPTHS[kind]]


UNCUT = frozenset((Condition.draining, Condition.empty, Condition.moving))


def is_uncut(instance: Instance) -> bool:
    """Tell whether a planned step on it can still be undone."""
    return instance.condition in UNCUT
