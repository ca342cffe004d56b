"""Fleets for jobs, and the truth that the cores can't see."""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from builders.golden import Session
from sardinemast import placement

LEASE_S = 3.0
ROOM = placement.Size(8000, 16_000, 1)
TEAMS = (
    placement.Team('kerlann', 2, 16_000),
    placement.Team('atlas', 1, 6000),
)
PLACES = (
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
    """Make a request for a job that fills a worker."""
    return placement.commands.JobRequest(
        name,
        'kerlann',
        'track',
        priority,
        placement.Size(millicores, memory_bytes),
        **options,
    )


class TrueWorker:
    """Hold what a worker truly runs."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.incarnation = 1
        self.lease_until_s = LEASE_S
        self.is_up = True
        self.is_bad = False
        self.runs: dict[int, placement.AskWorker] = {}
        self.throttled: set[int] = set()
        self.uses: dict[int, placement.Size] = {}
        self.ends: dict[int, placement.commands.RunEnd] = {}

    def lapse(self) -> None:
        """Stop everything and take a new incarnation."""
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
        """End a run, or remember that it may never start."""
        ask = self.runs.pop(token, None)
        if ask is not None:
            self.ends[token] = placement.commands.RunEnd(
                ask.job,
                token,
                outcome,
                peak or ask.size,
            )

    def carry_out(self, ask: placement.AskWorker, now_s: float) -> None:
        """Do what the leader asks, if it means this incarnation."""
        if ask.incarnation != self.incarnation or not self.is_up:
            return
        if now_s >= self.lease_until_s:
            return
        if ask.action is placement.RunAction.start:
            if ask.token not in self.ends:
                self.runs[ask.token] = ask
        elif ask.action is placement.RunAction.throttle:
            if ask.token in self.runs:
                self.throttled.add(ask.token)
        elif ask.action is placement.RunAction.checkpoint:
            self.end(ask.token, placement.RunResult.checkpointed)
        elif ask.token not in self.ends:
            self.runs.setdefault(ask.token, ask)
            self.end(ask.token, placement.RunResult.stopped)

    def report(self, now_s: float) -> placement.WorkerReported:
        """Say what the worker says; what runs take is told as seen."""
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


class JobWorld:
    """Hold the log, a leader and the truth about workers."""

    def __init__(self) -> None:
        self.now_s: float = 0
        self.log: list[placement.Command] = []
        self.state = placement.PlacementState()
        self.core = _make_core(self.state)
        self._old_core = self.core
        self.workers = {place[0]: TrueWorker(place[0]) for place in PLACES}
        self.proposals: list[placement.Command] = []
        self.asked: list[placement.AskWorker] = []
        self.asks: list[placement.AskWorker] = []
        self.events: list[placement.Event] = []
        self.session: Session | None = None
        self.over: dict[str, placement.JobStatus] = {}
        self.set_teams(TEAMS)
        for place in PLACES:
            self._enter(place[0])
        self.core.step(placement.TermStarted(), 0)

    def set_teams(self, teams: tuple[placement.Team, ...]) -> None:
        """Put shares and limits in force."""
        self.teams = teams
        self.commit(placement.commands.SetTeams('t', teams))

    def commit(self, command: placement.Command) -> None:
        """Put a command into the log, and check that what is over stays so."""
        self.log.append(command)
        placement.apply_command(self.state, command, len(self.log))
        for name, job in self.state.jobs.items():
            known = self.over.get(name, job.status)
            assert job.status is known, 'A final job changed.'
            if job.status in {
                placement.JobStatus.cancelled,
                placement.JobStatus.done,
                placement.JobStatus.set_aside,
            }:
                self.over[name] = job.status

    def commit_all(self) -> None:
        """Commit what was proposed."""
        proposals = tuple(self.proposals)
        self.proposals.clear()
        for command in proposals:
            self.commit(command)

    def feed(self, event: placement.Event, *, is_kept: bool = True) -> None:
        """Hand an event to the leader, and keep what it wants."""
        if is_kept and isinstance(event, placement.WorkerReported):
            self.events.append(event)
        self._take(self.core.step(event, self.now_s))

    def change_leader(self, is_committed: bool) -> None:
        """Start a leader from the image; the old one's proposals go or stay."""
        if is_committed:
            self.commit_all()
        self.proposals.clear()
        self._old_core = self.core
        self.state = placement.load_state(placement.dump_state(self.state))
        self.core = _make_core(self.state)
        self.core.step(placement.TermStarted(), self.now_s)

    def wake_old_leader(self) -> None:
        """Let a leader that missed its end ask for what it knew."""
        for output in self._old_core.step(placement.Tick(), self.now_s):
            if isinstance(output, placement.AskWorker):
                self.carry_out(output)

    def live(
        self,
        silent: Iterable[str] = (),
        *,
        is_ask_lost: bool = False,
        is_commit_late: bool = False,
        step_s: float = 0.5,
    ) -> None:
        """Let a step of time pass, in which some workers are cut off."""
        self.now_s = round(self.now_s + step_s, 3)
        for worker in self.workers.values():
            if worker.is_up and self.now_s >= worker.lease_until_s:
                worker.lapse()
            if worker.is_up and worker.name not in set(silent):
                self._enter(worker.name)
                self.feed(worker.report(self.now_s))
        if is_commit_late:
            self.commit_all()
        self._tick()
        if not is_commit_late:
            self.commit_all()
        asked = tuple(self.asked)
        self.asked.clear()
        for ask in asked:
            if ask.worker not in set(silent) and not is_ask_lost:
                self.carry_out(ask)
            else:
                self.asks.append(ask)

    def carry_out(self, ask: placement.AskWorker) -> None:
        """Carry a request to its worker, and check the truth."""
        self.asks.append(ask)
        self.workers[ask.worker].carry_out(ask, self.now_s)
        self.check()

    def finish(self, worker: str, outcome: placement.RunResult) -> None:
        """Let all runs on a worker end."""
        one = self.workers[worker]
        for token in tuple(one.runs):
            failed = placement.RunResult.failed
            one.end(token, failed if one.is_bad else outcome)

    def check(self) -> None:
        """Check what truly runs."""
        running = [
            ask
            for worker in self.workers.values()
            if worker.is_up
            for ask in worker.runs.values()
        ]
        by_job = Counter(ask.job for ask in running)
        used: Counter[str] = Counter()
        for ask in running:
            job = self.state.jobs[ask.job]
            if not job.may_overlap:
                assert by_job[ask.job] == 1, 'A job runs twice at once.'
            assert self.over.get(ask.job) is not CANCELLED, 'Not final.'
            used[job.team] += _get_taken(self, ask)
        for team in self.teams:
            assert used[team.name] <= team.millicores_max, 'Limit passed.'
        for worker in self.workers.values():
            taken = sum(_get_taken(self, ask) for ask in worker.runs.values())
            assert taken <= ROOM.millicores, 'A worker is overfull.'

    def submit(self, *requests: placement.commands.JobRequest) -> None:
        """Take in jobs."""
        self.commit(placement.commands.SubmitJobs('s', requests))

    def get_workers(self, job: str) -> list[str]:
        """Give the workers that truly run a job."""
        return [
            worker.name
            for worker in self.workers.values()
            if any(ask.job == job for ask in worker.runs.values())
        ]

    def _tick(self) -> None:
        if self.session is None:
            self._take(self.core.step(placement.Tick(), self.now_s))
        else:
            self._take(self.session.step(placement.Tick(), self.now_s))

    def _take(self, outputs: Iterable[placement.Output]) -> None:
        for output in outputs:
            if isinstance(output, placement.Propose):
                self.proposals.append(output.command)
            elif isinstance(output, placement.AskWorker):
                self.asked.append(output)
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

    def _enter(self, name: str) -> None:
        worker = self.workers[name]
        known = self.state.workers.get(name)
        if known is None or known.incarnation < worker.incarnation:
            place = next(one for one in PLACES if one[0] == name)
            worker.lease_until_s = self.now_s + LEASE_S
            self.commit(
                placement.commands.EnterWorker(
                    name,
                    worker.incarnation,
                    'ouest',
                    place[1],
                    place[2],
                    ROOM,
                ),
            )


CANCELLED = placement.JobStatus.cancelled


def _get_taken(world: JobWorld, ask: placement.AskWorker) -> int:
    run = world.state.runs.get(ask.token)
    size = run.size if run is not None and run.is_throttled else ask.size
    return size.millicores


def _make_core(state: placement.PlacementState) -> placement.PlacementCore:
    return placement.PlacementCore(lambda: state)
