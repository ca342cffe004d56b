"""Bodies of the platform's calls, as they stand on the wire.

Only this folder knows these names. A field whose name says something else
than what it holds has a comment.
"""

from typing import Any, NamedTuple, TypedDict

import msgspec


class CapacityBody(TypedDict, total=False):
    """Hold an amount: thousandths of a core, MB, accelerators."""

    cpu: int
    mem_mb: int
    gpu: int


class StepBody(TypedDict, total=False):
    """Hold one step of a job; what is 0, false or empty is left out."""

    count: int
    cpu: int
    mem_mb: int
    gpu: int
    est_ms: int
    deps: list[int]
    checkpoints: bool
    gang: bool
    same_rack: bool
    required_label: str
    # The rack where the data is.
    affinity: str
    max_per_server: int
    speculative: bool
    long_running: bool
    image: str
    tail_latency_ms: int
    fills: bool
    may_miss: int


class _JobRequired(TypedDict):
    phases: list[StepBody]


class JobBody(_JobRequired, total=False):
    """Hold a job; ``times`` is how often its steps run."""

    spec: str
    times: int
    start_at_ms: int
    interval_ms: int


class AdviceBody(TypedDict):
    """Hold the times of a queue's policy."""

    decide_ms: int
    # What each worker that is asked for adds.
    period_ms: int
    valid_ms: int


class _RouteRequired(TypedDict):
    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: int


class RouteBody(_RouteRequired, total=False):
    """Hold a queue; ``slo_ms`` is added to its jobs' stretched work."""

    prio: int
    attempts: int
    stretch: float
    slo_ms: int
    public: bool
    advice: AdviceBody | None


class _ServiceRequired(TypedDict):
    name: str


class ServiceBody(_ServiceRequired, total=False):
    """Hold a pool of workers."""

    rejects_overload: bool
    standby: bool


class _TenantRequired(TypedDict):
    name: str


class TenantBody(_TenantRequired, total=False):
    """Hold a team; a part of ``cap`` that is 0 is no limit."""

    keys: list[str]
    prio: int
    weight: float
    cap: CapacityBody


class _ConfigRequired(TypedDict):
    version: int
    routes: list[RouteBody]
    services: list[ServiceBody]


class ConfigBody(_ConfigRequired, total=False):
    """Hold a whole configuration."""

    tenants: list[TenantBody]


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
    """Hold an instance in the platform's list; ``id`` is its worker's."""

    machine: str
    pool: str
    state: str
    zone: str
    id: str | None


class MachinesBody(TypedDict, total=False):
    """Hold a page of the platform's list of instances."""

    machines: list[MachineBody]
    next_token: str | None


def decode(body: bytes, kind: Any) -> Any:
    """Read a JSON body, or raise ``msgspec.MsgspecError`` or ``ValueError``."""
    return msgspec.json.decode(body, type=kind)


DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)
