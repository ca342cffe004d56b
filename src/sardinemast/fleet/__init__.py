"""Replicated state: sites, pools, teams, keys, limits, instances, grants."""

from sardinemast.fleet._documents import (
    FleetDocument,
    Pool,
    Site,
    Team,
)
from sardinemast.fleet._state import (
    EntryProcess,
    FleetImage,
    FleetState,
    Grant,
    Instance,
    KeyRecord,
    Outcome,
    dump_state,
    load_state,
)
from sardinemast.fleet.commands import (
    COMMANDS,
    ApplyDocument,
    AssignInstance,
    ChangeGrants,
    Command,
    GrantChange,
    GrantKey,
    RegisterEntry,
    RetireEntry,
    WithdrawKey,
    apply_command,
)
from sardinemast.fleet.exceptions import FleetError
from sardinemast.fleet.queries import (
    describe_state,
    find_team_by_key,
    get_free_limit,
    get_grants,
    get_pool,
)
from sardinemast.fleet.utils import digest_key

__all__ = (
    'COMMANDS',
    'ApplyDocument',
    'AssignInstance',
    'ChangeGrants',
    'Command',
    'EntryProcess',
    'FleetDocument',
    'FleetError',
    'FleetImage',
    'FleetState',
    'Grant',
    'GrantChange',
    'GrantKey',
    'Instance',
    'KeyRecord',
    'Outcome',
    'Pool',
    'RegisterEntry',
    'RetireEntry',
    'Site',
    'Team',
    'WithdrawKey',
    'apply_command',
    'describe_state',
    'digest_key',
    'dump_state',
    'find_team_by_key',
    'get_free_limit',
    'get_grants',
    'get_pool',
    'load_state',
)
