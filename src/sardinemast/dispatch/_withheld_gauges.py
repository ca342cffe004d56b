"""Gauges of the workers that get no new runs."""

from collections import Counter

from sardinemast.dispatch._state import DispatchState


def list_withheld_gauges(
    state: DispatchState, now_s: float
) -> dict[str, dict[str, float]]:
    """Count the withheld workers by reason, and find the longest cordon."""
    sessions = state.sessions.values()
    reasons = Counter(
        state.find_withheld_reason(session, now_s) for session in sessions
    )
    cordons = [session.cordon for session in sessions if session.cordon]
    longest_s = max((now_s - one.since_s for one in cordons), default=0)
    return {
        'workers_withheld': {
            reason.value: float(count)
            for reason, count in reasons.items()
            if reason is not None
        },
        'worker_cordon_longest_s': {'': max(longest_s, 0)},
    }
