"""Bodies of the platform's calls about workers and instances.

Only this folder knows these names. A field whose name says something else
than what it holds has a comment.
"""

from typing import NamedTuple, TypedDict

from sardinemast.platform._job_bodies import CapacityBody


class _BeatRequired(TypedDict):
    service: str
    addr: str
    state: str
    seq: int


class BeatBody(_BeatRequired, total=False):
    """Hold what a worker says of itself; ``labels`` are kind and rack."""

    zone: str
    machine: str
    capacity: CapacityBody
    labels: list[str]
    # Unix milliseconds of the worker's start.
    born: int


class RunRow(NamedTuple):
    """Hold a run in a worker's list."""

    task: str
    run: int
    # The newest checkpoint.
    saved: str = ''
    percent: float = 0
    # The tail of a serving task in ms, for others the cpu in use.
    gauge: float = 0


class EndRow(NamedTuple):
    """Hold an end in a worker's list."""

    position: int
    task: str
    run: int
    how: str
    saved: str = ''


class ListsBody(TypedDict, total=False):
    """Hold a worker's clock, its runs and their ends."""

    wall_ms: int
    born: int
    running: list[RunRow]
    finished: list[EndRow]
    # Why an order was refused.
    reason: str


class WaveBody(TypedDict):
    """Hold a wave of maintenance."""

    wave: int
    machines: list[str]
    deadline_s: float
    cap: int


class MachineBody(TypedDict, total=False):
    """Hold an instance in the platform's list."""

    machine: str
    # The service whose workers run on it.
    pool: str
    state: str


class TicketRow(NamedTuple):
    """Hold the leave for one worker, named by its id."""

    worker: str
    ticket: str


class GrantedBody(TypedDict):
    """Hold the workers that may run a step."""

    granted: list[TicketRow]


class MachinesBody(TypedDict, total=False):
    """Hold a page of the platform's list of instances."""

    machines: list[MachineBody]
    next_token: str | None
