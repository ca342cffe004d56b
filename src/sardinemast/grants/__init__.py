"""Split each team's upper limit into grants that entries hold."""

from sardinemast.grants._book import DemandBook, GrantKey
from sardinemast.grants._holder import GrantHolder
from sardinemast.grants._releases import RunBounds, plan_releases
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
    'RunBounds',
    'Split',
    'plan_releases',
    'plan_split',
)
