"""Replicated state of jobs, queues and workers."""

from sardinemast.jobs._apply import apply_command
from sardinemast.jobs._checks import CatalogFinding, check_catalog
from sardinemast.jobs._critical_paths import compute_longest_chains
from sardinemast.jobs._durations import (
    ANY_STAGE,
    STAGE_MAX,
    SUMMARIES_MAX,
    DurationKey,
    DurationSummary,
    drop_excess_keys,
)
from sardinemast.jobs._images import (
    EMPTY_IMAGE,
    JobsImage,
    dump_state,
    load_state,
)
from sardinemast.jobs._instance_records import InstanceRecord
from sardinemast.jobs._records import (
    EMPTY_CATALOG,
    ZERO_SIZE,
    Advice,
    Catalog,
    JobRequest,
    JobStatus,
    MaintenanceStatus,
    Pool,
    Queue,
    Run,
    RunEnd,
    Step,
    StepKey,
    TaskKey,
    Team,
    Wave,
    WaveItem,
    Worker,
)
from sardinemast.jobs._state import JobsState, JobState, StepState
from sardinemast.jobs.commands import COMMAND_CLASSES, Command
from sardinemast.placement import Size

__all__ = (
    'COMMAND_CLASSES',
    'ANY_STAGE',
    'EMPTY_CATALOG',
    'EMPTY_IMAGE',
    'STAGE_MAX',
    'SUMMARIES_MAX',
    'ZERO_SIZE',
    'Advice',
    'Catalog',
    'CatalogFinding',
    'Command',
    'DurationKey',
    'DurationSummary',
    'InstanceRecord',
    'JobRequest',
    'JobState',
    'JobStatus',
    'JobsImage',
    'JobsState',
    'Pool',
    'Queue',
    'Run',
    'RunEnd',
    'Size',
    'Step',
    'StepKey',
    'StepState',
    'TaskKey',
    'Team',
    'MaintenanceStatus',
    'Wave',
    'WaveItem',
    'Worker',
    'apply_command',
    'check_catalog',
    'compute_longest_chains',
    'drop_excess_keys',
    'dump_state',
    'load_state',
)
