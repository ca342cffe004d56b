"""Gauges of a control process for its metrics."""

from collections import Counter
from collections.abc import Callable

from sardinemast.consensus import Replica, Role
from sardinemast.fleet import FleetState
from sardinemast.jobs import JobsState

_Figures = dict[str, float]


def list_gauges(
    replica: Replica,
    fleet: FleetState,
    list_leader_gauges: Callable[[], dict[str, _Figures]] = dict,
) -> dict[str, _Figures]:
    """Return each gauge's values by label; unlabelled gauges use ``''``.

    A follower's values lag behind the leader's by about a heartbeat.
    """
    state = fleet.subsystems.jobs
    return {
        'is_leader': {'': float(replica.role is Role.leader)},
        'term': {'': float(replica.term)},
        'log_index': {'': float(replica.log.last_index)},
        'catalog_version': {'': float(state.catalog.version)},
        'jobs_live': {'': float(len(state.live))},
        'workers': _count_workers(state),
        'data_centre_evacuated': {
            name: float(state.data_centres.is_evacuated(name))
            for name in state.data_centres.known
        },
        'runs': _count_runs(state),
        'tasks_waiting': _count_waiting(state),
        'team_millicores': {
            team: float(used.millicores)
            for team, used in state.usage.by_team.items()
        },
        **list_leader_gauges(),
    }


def _count_workers(state: JobsState) -> _Figures:
    counted = Counter(worker.pool for worker in state.workers.values())
    return _make_figures(counted)


def _count_runs(state: JobsState) -> _Figures:
    counted: Counter[str] = Counter()
    for name, tasks in state.runs.items():
        worker = state.workers.get(name)
        counted[worker.pool if worker else 'gone'] += len(tasks)
    return _make_figures(counted)


def _count_waiting(state: JobsState) -> _Figures:
    counted: Counter[str] = Counter()
    for step in state.ready.values():
        counted[state.get_queue(step).pool] += len(step.waiting)
    return _make_figures(counted)


def _make_figures(counted: Counter[str]) -> _Figures:
    return {name: float(count) for name, count in counted.items()}
