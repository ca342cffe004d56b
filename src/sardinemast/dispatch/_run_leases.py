"""Find out when a run on a silent worker has ended for certain.

A lease ends at a time on the worker's clock. A worker that has restarted under
its name takes orders that were sent to its earlier boot. Its clock begins anew,
so the lease that such an order names lasts as long as the worker permits.
"""

from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._worker_session import NumberedRun, WorkerSession


def get_run_end_s(
    state: DispatchState, session: WorkerSession, run: NumberedRun
) -> float:
    """Return when a run has ended if its worker stays silent until then."""
    if session.is_settled(run):
        return session.lease_ends_s
    settings = state.settings
    longest_s = settings.leases.get_longest_s(settings.drift)
    executed_s = _get_last_execution_s(state, session, run)
    return max(session.lease_ends_s, executed_s + longest_s + settings.margin_s)


def list_running(
    state: DispatchState, session: WorkerSession, now_s: float
) -> list[NumberedRun]:
    """Return the runs in the log that a silent worker may still have."""
    return [
        run
        for run in _list_runs(state, session)
        if now_s < get_run_end_s(state, session, run)
    ]


def _list_runs(
    state: DispatchState, session: WorkerSession
) -> list[NumberedRun]:
    runs = state.get_runs(session.worker.name).items()
    return [NumberedRun(task, number) for task, number in runs]


def _get_last_execution_s(
    state: DispatchState, session: WorkerSession, run: NumberedRun
) -> float:
    """Return until when an order may have extended the lease of a run."""
    started_s = state.order_times.starts.get_start_s(run)
    sent_s = max(started_s, session.last_granted_s)
    return sent_s + state.settings.leases.late_order_s
