"""Simulated workers that check the invariants of job placement."""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from builders.golden import Session
from sardinemast import placement

LEASE_S = 3.0
CAPACITY = placement.Size(8000, 16_000, 1)
TEAMS = (
    placement.Team('kerlann', 2, 16_000),
    placement.Team('atlas', 1, 6000),
)
WORKER_LOCATIONS = (
    ('worker-1', 'nord', 'r1'),
    ('worker-2', 'nord', 'r2'),
    ('worker-3', 'sud', 'r1'),
    ('worker-4', 'sud', 'r2'),
)


def make_request(
    name: str,
    priority: placement.Priority = placement.Priority.normal,
    millicores: int = 8000,
    memory_bytes: int = 1000,
    **options: Any,
) -> placement.commands.JobRequest:
    """Return a job request that takes all cores of a worker by default."""
    return placement.commands.JobRequest(
        name,
        'kerlann',
        'track',
        priority,
        placement.Size(millicores, memory_bytes),
        **options,
    )


class SimulatedWorker:
    """Simulate a worker and its actual runs."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.incarnation = 1
        self.lease_until_s = LEASE_S
        self.is_up = True
        self.is_faulty = False
        self.runs: dict[int, placement.AskWorker] = {}
        self.throttled: set[int] = set()
        self.uses: dict[int, placement.Size] = {}
        self.ends: dict[int, placement.commands.RunEnd] = {}

    def restart(self) -> None:
        """Stop all runs and begin a new incarnation."""
        self.runs.clear()
        self.throttled.clear()
        self.ends.clear()
        self.incarnation += 1

    def end(
        self,
        token: int,
        outcome: placement.RunResult,
        peak: placement.Size | None = None,
    ) -> None:
        """End a run and store its result."""
        request = self.runs.pop(token, None)
        if request is not None:
            self.ends[token] = placement.commands.RunEnd(
                request.job,
                token,
                outcome,
                peak or request.size,
            )

    def carry_out(self, request: placement.AskWorker, now_s: float) -> None:
        """Execute a request that is meant for this incarnation."""
        if request.incarnation != self.incarnation or not self.is_up:
            return
        if now_s >= self.lease_until_s:
            return
        if request.action is placement.RunAction.start:
            if request.token not in self.ends:
                self.runs[request.token] = request
        elif request.action is placement.RunAction.throttle:
            if request.token in self.runs:
                self.throttled.add(request.token)
        elif request.action is placement.RunAction.checkpoint:
            self.end(request.token, placement.RunResult.checkpointed)
        elif request.token not in self.ends:
            self.runs.setdefault(request.token, request)
            self.end(request.token, placement.RunResult.stopped)

    def report(self, now_s: float) -> placement.WorkerReported:
        """Return the worker's report with the observed usage of its runs."""
        return placement.WorkerReported(
            self.name,
            self.incarnation,
            now_s,
            tuple(self.runs),
            tuple(sorted(self.throttled)),
            tuple(self.ends.values()),
            tuple(
                placement.commands.RunUse(token, seen)
                for token, seen in self.uses.items()
                if token in self.runs
            ),
        )


class JobSimulation:
    """Simulate the log, a leader and workers."""

    def __init__(self) -> None:
        self.now_s: float = 0
        self.log: list[placement.Command] = []
        self.state = placement.PlacementState()
        self.core = _make_core(self.state)
        self._old_core = self.core
        self.workers = {
            place[0]: SimulatedWorker(place[0]) for place in WORKER_LOCATIONS
        }
        self.proposals: list[placement.Command] = []
        self.pending_requests: list[placement.AskWorker] = []
        self.sent_requests: list[placement.AskWorker] = []
        self.events: list[placement.Event] = []
        self.session: Session | None = None
        self.final_statuses: dict[str, placement.JobStatus] = {}
        self.set_teams(TEAMS)
        for place in WORKER_LOCATIONS:
            self._register(place[0])
        self.core.step(placement.TermStarted(), 0)

    def set_teams(self, teams: tuple[placement.Team, ...]) -> None:
        """Commit the shares and limits of teams."""
        self.teams = teams
        self.commit(placement.commands.SetTeams('t', teams))

    def commit(self, command: placement.Command) -> None:
        """Append and apply a command; check that final states are kept."""
        self.log.append(command)
        placement.apply_command(self.state, command, len(self.log))
        for name, job in self.state.jobs.items():
            known = self.final_statuses.get(name, job.status)
            assert job.status is known, 'The final status of a job changed.'
            if job.status in {
                placement.JobStatus.cancelled,
                placement.JobStatus.done,
                placement.JobStatus.set_aside,
            }:
                self.final_statuses[name] = job.status

    def commit_all(self) -> None:
        """Commit all pending proposals."""
        proposals = tuple(self.proposals)
        self.proposals.clear()
        for command in proposals:
            self.commit(command)

    def feed(self, event: placement.Event, *, is_kept: bool = True) -> None:
        """Pass an event to the leader and record its outputs."""
        if is_kept and isinstance(event, placement.WorkerReported):
            self.events.append(event)
        self._handle_outputs(self.core.step(event, self.now_s))

    def change_leader(self, is_committed: bool) -> None:
        """Start a new leader from a dump of the state.

        The proposals of the old leader are committed or dropped.
        """
        if is_committed:
            self.commit_all()
        self.proposals.clear()
        self._old_core = self.core
        self.state = placement.load_state(placement.dump_state(self.state))
        self.core = _make_core(self.state)
        self.core.step(placement.TermStarted(), self.now_s)

    def run_deposed_leader(self) -> None:
        """Tick a deposed leader, which can send outdated requests."""
        for output in self._old_core.step(placement.Tick(), self.now_s):
            if isinstance(output, placement.AskWorker):
                self.carry_out(output)

    def advance(
        self,
        silent: Iterable[str] = (),
        *,
        loses_requests: bool = False,
        commits_late: bool = False,
        step_s: float = 0.5,
    ) -> None:
        """Advance by a step in which the silent workers are unreachable."""
        self.now_s = round(self.now_s + step_s, 3)
        for worker in self.workers.values():
            if worker.is_up and self.now_s >= worker.lease_until_s:
                worker.restart()
            if worker.is_up and worker.name not in set(silent):
                self._register(worker.name)
                self.feed(worker.report(self.now_s))
        if commits_late:
            self.commit_all()
        self._tick()
        if not commits_late:
            self.commit_all()
        pending_requests = tuple(self.pending_requests)
        self.pending_requests.clear()
        for request in pending_requests:
            if request.worker not in set(silent) and not loses_requests:
                self.carry_out(request)
            else:
                self.sent_requests.append(request)

    def carry_out(self, request: placement.AskWorker) -> None:
        """Deliver a request to its worker and check the invariants."""
        self.sent_requests.append(request)
        self.workers[request.worker].carry_out(request, self.now_s)
        self.check()

    def finish(self, worker: str, outcome: placement.RunResult) -> None:
        """End all runs on a worker; all fail if it is faulty."""
        simulated_worker = self.workers[worker]
        for token in tuple(simulated_worker.runs):
            failed = placement.RunResult.failed
            simulated_worker.end(
                token, failed if simulated_worker.is_faulty else outcome
            )

    def check(self) -> None:
        """Check the running jobs against limits and capacities."""
        running = [
            request
            for worker in self.workers.values()
            if worker.is_up
            for request in worker.runs.values()
        ]
        by_job = Counter(request.job for request in running)
        used: Counter[str] = Counter()
        for request in running:
            job = self.state.jobs[request.job]
            if not job.may_overlap:
                assert by_job[request.job] == 1, 'A job runs twice at once.'
            assert self.final_statuses.get(request.job) is not CANCELLED, (
                'A cancelled job runs.'
            )
            used[job.team] += _get_reserved_millicores(self, request)
        for team in self.teams:
            assert used[team.name] <= team.millicores_max, (
                'Team limit exceeded.'
            )
        for worker in self.workers.values():
            taken = sum(
                _get_reserved_millicores(self, request)
                for request in worker.runs.values()
            )
            assert taken <= CAPACITY.millicores, (
                'Capacity of a worker exceeded.'
            )

    def submit(self, *requests: placement.commands.JobRequest) -> None:
        """Commit the submission of jobs."""
        self.commit(placement.commands.SubmitJobs('s', requests))

    def get_workers(self, job: str) -> list[str]:
        """Return the names of the workers that are running a job."""
        return [
            worker.name
            for worker in self.workers.values()
            if any(request.job == job for request in worker.runs.values())
        ]

    def _tick(self) -> None:
        if self.session is None:
            self._handle_outputs(self.core.step(placement.Tick(), self.now_s))
        else:
            self._handle_outputs(
                self.session.step(placement.Tick(), self.now_s)
            )

    def _handle_outputs(self, outputs: Iterable[placement.Output]) -> None:
        for output in outputs:
            if isinstance(output, placement.Propose):
                self.proposals.append(output.command)
            elif isinstance(output, placement.AskWorker):
                self.pending_requests.append(output)
            elif isinstance(output, placement.GrantLease):
                self._renew(output)

    def _renew(self, granted: placement.GrantLease) -> None:
        worker = self.workers[granted.worker]
        if granted.incarnation != worker.incarnation or not worker.is_up:
            return
        if self.now_s < worker.lease_until_s:
            until_s = granted.sent_at_s + granted.duration_s
            worker.lease_until_s = max(worker.lease_until_s, until_s)
        for token in granted.settled:
            worker.throttled.discard(token)

    def _register(self, name: str) -> None:
        worker = self.workers[name]
        known = self.state.workers.get(name)
        if known is None or known.incarnation < worker.incarnation:
            location = next(
                known_location
                for known_location in WORKER_LOCATIONS
                if known_location[0] == name
            )
            worker.lease_until_s = self.now_s + LEASE_S
            self.commit(
                placement.commands.EnterWorker(
                    name,
                    worker.incarnation,
                    'ouest',
                    location[1],
                    location[2],
                    CAPACITY,
                ),
            )


CANCELLED = placement.JobStatus.cancelled


def _get_reserved_millicores(
    simulation: JobSimulation, request: placement.AskWorker
) -> int:
    run = simulation.state.runs.get(request.token)
    size = run.size if run is not None and run.is_throttled else request.size
    return size.millicores


def _make_core(state: placement.PlacementState) -> placement.PlacementCore:
    return placement.PlacementCore(lambda: state)
