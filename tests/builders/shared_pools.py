"""Pool of workers that teams share, and the plans made for it."""

from collections import Counter
from collections.abc import Iterable

from builders.workers import POOL, QUEUE, make_catalog, make_step, make_worker
from sardinemast.dispatch import LearningPolicy, TeamShares
from sardinemast.dispatch._durations import DurationEstimates
from sardinemast.dispatch._plan_shares import PlanShares, PlanTime
from sardinemast.dispatch._planner import Planner
from sardinemast.dispatch._step_facts import StepFactsCache
from sardinemast.jobs import (
    ZERO_SIZE,
    JobRequest,
    JobsState,
    RunEnd,
    Size,
    Step,
    Team,
    apply_command,
    dump_state,
    load_state,
)
from sardinemast.jobs.commands import (
    Command,
    FinishedRun,
    PutCatalog,
    RecordRuns,
    RegisterWorker,
    RunStart,
    SubmitJob,
)

# Workers of four cores; tasks take one core for half a second.
WORKERS = 10
SLOTS = 4 * WORKERS
_STEP = make_step()


class SharedPool:
    """Hold the state of a pool of 40 cores, and plan with team shares."""

    def __init__(
        self,
        *teams: Team,
        late_share: float = 0,
        needs_excess: bool = False,
    ) -> None:
        self.state = JobsState()
        self.now_ms = 1000
        self._settings = TeamShares(True, late_share, needs_excess)
        self._version = 0
        self.put_teams(*teams)
        for number in range(WORKERS):
            self.apply(RegisterWorker(make_worker(number)))

    def apply(self, command: Command) -> None:
        """Apply a command."""
        apply_command(command, self.state, 1)

    def put_teams(self, *teams: Team) -> None:
        """Activate a catalog with these teams."""
        self._version += 1
        catalog = make_catalog(self._version)._replace(teams=teams)
        self.apply(PutCatalog(catalog, b''))

    def submit(self, team: str, jobs: int = 1, step: Step = _STEP) -> None:
        """Submit jobs of one task each, or of the given step, at once."""
        first = len(self.state.jobs)
        request = JobRequest('', (step,))
        for number in range(first, first + jobs):
            self.apply(
                SubmitJob(f'job-{number}', QUEUE, team, request, self.now_ms)
            )

    def plan(self) -> tuple[RunStart, ...]:
        """Plan and record starts."""
        shares = PlanShares(
            self.state,
            PlanTime(DurationEstimates(LearningPolicy()), self.now_ms),
            lambda worker: True,
            StepFactsCache(),
            self._settings,
        )
        starts = Planner(
            self.state,
            lambda worker: True,
            lambda step: (),
            lambda task, worker: False,
            lambda step, worker, planned: True,
            shares,
        ).choose()
        self.apply(RecordRuns((), starts))
        return starts

    def count_starts(self) -> Counter[str]:
        """Plan, and count the starts by team."""
        return Counter(
            self.state.jobs[start.task.job].team for start in self.plan()
        )

    def count_running(self) -> dict[str, int]:
        """Return the cores in use by team."""
        used = self.state.usage.by_queue[QUEUE]
        return {team: cores // 1000 for team, cores in used.items() if cores}

    def end(self, starts: Iterable[RunStart]) -> None:
        """Record that runs are done."""
        ends = [
            FinishedRun(start.task, start.number, RunEnd.done)
            for start in starts
        ]
        self.apply(RecordRuns(tuple(ends), ()))

    def list_running(self) -> list[RunStart]:
        """Return the runs in progress."""
        return [
            RunStart(task, number, worker)
            for worker, tasks in self.state.runs.items()
            for task, number in tasks.items()
        ]

    def restore(self) -> None:
        """Replace the state by one restored from its snapshot."""
        self.state = load_state(dump_state(self.state))


def make_teams(
    count: int, jobs_per_s: float = 0, cap: Size = ZERO_SIZE
) -> tuple[Team, ...]:
    """Return equal teams, named by their number."""
    return tuple(
        Team(f't-{number}', cap=cap, jobs_per_s=jobs_per_s)
        for number in range(count)
    )


__all__ = ('POOL', 'SLOTS', 'SharedPool', 'make_teams')
