"""What goes into the core of maintenance and what comes out of it."""

from enum import StrEnum
from typing import NamedTuple

from sardinemast.maintenance._records import EntryRun
from sardinemast.maintenance.commands import Command


class TermStarted(NamedTuple):
    """Tell that this process leads from now on."""


class TermEnded(NamedTuple):
    """Tell that this process no longer leads."""


class Tick(NamedTuple):
    """Tell that time has passed, and the wall clock."""

    wall_s: float


class InstanceReported(NamedTuple):
    """Pass on what an instance says of itself."""

    instance: str
    incarnation: int
    pool: str
    is_healthy: bool = True
    is_draining: bool = False


class InstancesReported(NamedTuple):
    """Pass on what several instances say."""

    reports: tuple[InstanceReported, ...]


class DrainsReported(NamedTuple):
    """Pass on where a run of an entry may have work.

    The report is of one moment, at which the entry had applied the log up to
    ``applied_index``. ``busy`` names all instances at which work of this run
    may still be running.
    """

    run: EntryRun
    applied_index: int
    busy: frozenset[str]


class PoolDemand(NamedTuple):
    """Tell how many instances a pool would need now."""

    pool: str
    instances: float


class DemandReported(NamedTuple):
    """Pass on what pools need, as entries measure it."""

    demands: tuple[PoolDemand, ...]


class LeaseSurelyEnded(NamedTuple):
    """Tell that a run's lease, and after it its work bound, have passed."""

    run: EntryRun


class PlatformAction(StrEnum):
    """What the platform is asked to do with an instance."""

    drain = 'drain'
    reboot = 'reboot'
    serve = 'serve'


class PlatformAnswered(NamedTuple):
    """Tell that the platform has carried out a request."""

    request_id: str


class Propose(NamedTuple):
    """Put a command into the log."""

    command: Command


class AskPlatform(NamedTuple):
    """Ask the platform; the same request id is carried out once at most.

    A request whose ``fence`` is under the highest that the platform has seen
    for the instance is refused.
    """

    request_id: str
    action: PlatformAction
    instance: str
    fence: int


class Report(NamedTuple):
    """Tell operators what needs a person's eye."""

    kind: str
    instance: str
    text: str


Event = (
    TermStarted
    | TermEnded
    | Tick
    | InstancesReported
    | DrainsReported
    | DemandReported
    | LeaseSurelyEnded
    | PlatformAnswered
)
Output = Propose | AskPlatform | Report
