"""What goes into the core of placement and what comes out of it."""

from enum import StrEnum
from typing import NamedTuple

from sardinemast.placement._records import Size
from sardinemast.placement.commands import Command, RunEnd, RunUse


class TermStarted(NamedTuple):
    """Tell that this process leads from now on."""


class TermEnded(NamedTuple):
    """Tell that this process no longer leads."""


class Tick(NamedTuple):
    """Tell that time has passed."""


class WorkerReported(NamedTuple):
    """Pass on what a worker says; it asks for its lease to go on.

    ``sent_at_s`` is the worker's clock. ``running`` and ``throttled`` name
    runs by their tokens; ``ends`` is repeated until it is settled; ``uses``
    lag by some seconds.
    """

    worker: str
    incarnation: int
    sent_at_s: float
    running: tuple[int, ...] = ()
    throttled: tuple[int, ...] = ()
    ends: tuple[RunEnd, ...] = ()
    uses: tuple[RunUse, ...] = ()


class RunAction(StrEnum):
    """What a worker is asked to do with a run."""

    start = 'start'
    checkpoint = 'checkpoint'
    throttle = 'throttle'
    stop = 'stop'


class Propose(NamedTuple):
    """Put a command into the log."""

    command: Command


class AskWorker(NamedTuple):
    """Ask one incarnation of a worker; any other refuses it.

    A stop of a run that was never started makes a later start do nothing.
    """

    action: RunAction
    worker: str
    incarnation: int
    job: str
    token: int
    size: Size


class GrantLease(NamedTuple):
    """Let a worker go on for a while, counted from ``sent_at_s``.

    ``settled`` names the ended runs that it need not repeat.
    """

    worker: str
    incarnation: int
    sent_at_s: float
    duration_s: float
    settled: tuple[int, ...]


Event = TermStarted | TermEnded | Tick | WorkerReported
Output = Propose | AskWorker | GrantLease
