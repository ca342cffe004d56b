"""Split each team's upper limit into grants that entries hold."""

from sardinemast.grants._planner import EntryWish, plan_changes, plan_releases

__all__ = ('EntryWish', 'plan_changes', 'plan_releases')
