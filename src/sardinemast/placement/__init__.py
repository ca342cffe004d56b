"""Jobs on workers, under leases and fencing tokens."""

from sardinemast.placement._apply import apply_command
from sardinemast.placement._choice import Planner, fits_no_worker
from sardinemast.placement._core import PlacementCore, PlacementSettings
from sardinemast.placement._events import (
    AskWorker,
    Event,
    GrantLease,
    Output,
    Propose,
    RunAction,
    TermEnded,
    TermStarted,
    Tick,
    WorkerReported,
)
from sardinemast.placement._records import (
    Job,
    JobStatus,
    Priority,
    Run,
    RunResult,
    Size,
    Team,
    Worker,
    WorkerStatus,
)
from sardinemast.placement._state import (
    EMPTY_IMAGE,
    PlacementImage,
    PlacementState,
    dump_state,
    load_state,
)
from sardinemast.placement.commands import COMMAND_CLASSES, Command

__all__ = (
    'COMMAND_CLASSES',
    'EMPTY_IMAGE',
    'AskWorker',
    'Command',
    'Event',
    'GrantLease',
    'Job',
    'JobStatus',
    'Output',
    'PlacementCore',
    'PlacementImage',
    'PlacementSettings',
    'PlacementState',
    'Planner',
    'Priority',
    'Propose',
    'Run',
    'RunAction',
    'RunResult',
    'Size',
    'Team',
    'TermEnded',
    'TermStarted',
    'Tick',
    'Worker',
    'WorkerReported',
    'WorkerStatus',
    'apply_command',
    'dump_state',
    'fits_no_worker',
    'load_state',
)
