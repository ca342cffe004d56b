"""Split each team's upper limit into grants that entries hold."""

from sardinemast.grants._book import DemandBook, GrantKey
from sardinemast.grants._holder import GrantHolder
from sardinemast.grants._releases import RunBounds, plan_releases
from sardinemast.grants._shares import (
    PoolShares,
    TeamTerms,
    split_max_min,
)
from sardinemast.grants._splitter import (
    ROTATION_S,
    EntryNeed,
    Split,
    plan_split,
)

__all__ = (
    'ROTATION_S',
    'DemandBook',
    'EntryNeed',
    'GrantHolder',
    'GrantKey',
    'PoolShares',
    'RunBounds',
    'Split',
    'TeamTerms',
    'plan_releases',
    'plan_split',
    'split_max_min',
)
