"""Bodies of the platform's calls about jobs and the configuration.

Only this folder knows these names. A field whose name says something else
than what it holds has a comment.
"""

from typing import TypedDict


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
