"""JSON bodies of the platform's requests for workers and instances.

The field names belong to the platform's protocol and are used in this package
only.
"""

from typing import NamedTuple, TypedDict

import msgspec


class _WorkerCapacityRequired(TypedDict):
    cpu: int
    mem_mb: int


class WorkerCapacityBody(_WorkerCapacityRequired, total=False):
    """Hold a worker's capacity: CPU in millicores, memory in MB, and GPUs."""

    gpu: int


class _HeartbeatRequired(TypedDict):
    service: str
    addr: str
    zone: str
    state: str
    seq: int
    capacity: WorkerCapacityBody
    labels: list[str]


class HeartbeatBody(_HeartbeatRequired, total=False):
    """Hold a worker's heartbeat; ``labels`` are its kind and its rack."""

    machine: str
    # Time of the worker's start, in Unix milliseconds.
    born: int
    # Time on the worker's own clock.
    wall_ms: int


class RunRow(NamedTuple):
    """Hold an active run of a worker; ``run`` is 0 if it is unreadable."""

    task: str
    run: int
    # Latest checkpoint.
    saved: str = ''
    percent: float = 0
    # Tail latency in ms of a long-running task, else CPU use.
    gauge: float = 0


class EndRow(NamedTuple):
    """Hold an ended run of a worker; unreadable fields are 0 or empty."""

    position: int
    task: str
    run: int
    how: str
    saved: str = ''


class WorkerReportBody(TypedDict, total=False):
    """Hold a worker's clock, its active runs and its ended runs."""

    wall_ms: int
    born: int
    running: list[RunRow]
    finished: list[EndRow]
    # Reason for the refusal of an order.
    reason: str


class WaveBody(TypedDict):
    """Hold a maintenance wave."""

    wave: int
    machines: list[str]
    deadline_s: float
    cap: int


class _InstanceRequired(TypedDict):
    machine: str
    # Service of the workers on this instance.
    pool: str
    state: str


class InstanceBody(_InstanceRequired, total=False):
    """Hold an instance in the platform's list."""

    # Data centre of the instance.
    zone: str


class TicketRow(NamedTuple):
    """Hold the ticket for one worker, identified by its name."""

    worker: str
    ticket: str


class GrantedBody(TypedDict):
    """Hold the tickets for the workers that may run a step."""

    granted: list[TicketRow]


class InstancesBody(TypedDict, total=False):
    """Hold a page of the platform's list of instances.

    Each entry is decoded on its own, as an ``InstanceBody``.
    """

    machines: list[msgspec.Raw]
    next_token: str | None
