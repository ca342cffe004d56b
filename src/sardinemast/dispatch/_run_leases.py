"""Find out when a run on a silent worker has ended for certain.

A lease ends at a time on the worker's clock. A worker that has restarted under
its name takes orders that were sent to its earlier boot. Its clock begins anew,
so the lease that such an order names lasts as long as the worker permits.
"""

from itertools import starmap

from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._worker_session import NumberedRun, WorkerSession


def list_running(
    state: DispatchState, session: WorkerSession, now_s: float
) -> list[NumberedRun]:
    """Return the runs in the log that a silent worker may still have."""
    recorded_runs = state.get_runs(session.worker.name).items()
    if not recorded_runs:
        return []
    may_last = now_s < _get_latest_end_s(state, session)
    is_leased = now_s < session.lease_ends_s
    return [
        run
        for run in starmap(NumberedRun, recorded_runs)
        if is_leased or (may_last and not session.is_settled(run))
    ]


def _get_latest_end_s(state: DispatchState, session: WorkerSession) -> float:
    """Return when a lease ends that an order for an earlier boot extended."""
    settings = state.settings
    longest_s = settings.leases.get_longest_s(settings.drift)
    started_s = state.order_times.starts.get_start_s(session.worker.name)
    sent_s = max(started_s, session.last_granted_s)
    executed_s = sent_s + settings.leases.late_order_s
    return executed_s + longest_s + settings.margin_s
