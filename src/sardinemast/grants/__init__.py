"""Divide each team's limit into grants held by entries.

One unit of a limit or a grant permits one running request.
"""

from sardinemast.grants._demand_tracker import DemandTracker, GrantKey
from sardinemast.grants._holder import GrantHolder
from sardinemast.grants._releases import RunBoundTracker, plan_releases
from sardinemast.grants._shares import PoolShares, TeamQuota
from sardinemast.grants._splitter import (
    ROTATION_INTERVAL_S,
    EntryDemand,
    GrantPlan,
    plan_grants,
)
from sardinemast.max_min import split_max_min

__all__ = (
    'ROTATION_INTERVAL_S',
    'DemandTracker',
    'EntryDemand',
    'GrantHolder',
    'GrantKey',
    'PoolShares',
    'RunBoundTracker',
    'GrantPlan',
    'TeamQuota',
    'plan_releases',
    'plan_grants',
    'split_max_min',
)
