"""JSON bodies of the platform's requests for jobs and configuration.

The field names belong to the platform's protocol and are used in this package
only.
"""

from typing import TypedDict


class CapacityBody(TypedDict, total=False):
    """Hold resources: CPU in millicores, memory in MB, and GPUs."""

    cpu: int
    mem_mb: int
    gpu: int


class StepBody(TypedDict, total=False):
    """Hold one step of a job; zero, false and empty fields are omitted."""

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
    # Rack that holds the input data.
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
    """Hold a job; ``times`` is the number of its occurrences."""

    spec: str
    times: int
    start_at_ms: int
    interval_ms: int


class AdviceBody(TypedDict):
    """Hold the durations of the external policy service of a queue."""

    decide_ms: int
    # Additional decision time per worker in the request.
    period_ms: int
    valid_ms: int


class _QueueRequired(TypedDict):
    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: int


class QueueBody(_QueueRequired, total=False):
    """Hold a queue; ``slo_ms`` is the fixed part of its jobs' deadline."""

    prio: int
    attempts: int
    stretch: float
    slo_ms: int
    public: bool
    advice: AdviceBody | None


class _PoolRequired(TypedDict):
    name: str


class PoolBody(_PoolRequired, total=False):
    """Hold a pool of workers."""

    rejects_overload: bool
    standby: bool


class _TeamRequired(TypedDict):
    name: str


class TeamBody(_TeamRequired, total=False):
    """Hold a team; a resource that is 0 in ``cap`` has no limit."""

    keys: list[str]
    prio: int
    weight: float
    cap: CapacityBody


class _ConfigRequired(TypedDict):
    version: int
    routes: list[QueueBody]
    services: list[PoolBody]


class ConfigBody(_ConfigRequired, total=False):
    """Hold a whole configuration."""

    tenants: list[TeamBody]
