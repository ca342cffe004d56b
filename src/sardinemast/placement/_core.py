"""Decide at the leader which job runs where."""

from collections.abc import Callable, Iterable, Iterator
from functools import singledispatchmethod
from typing import NamedTuple

from sardinemast.placement import _events as events
from sardinemast.placement import commands
from sardinemast.placement._checks import may_set_aside
from sardinemast.placement._choice import Planner, fits_no_worker
from sardinemast.placement._preemption import (
    Pressed,
    choose_lowest,
    choose_victims,
    get_action,
    press,
)
from sardinemast.placement._records import (
    FINAL,
    JobStatus,
    Priority,
    Run,
    Worker,
    WorkerStatus,
)
from sardinemast.placement._state import PlacementState

_FAILED_JOBS = 3
_SUCCEEDED_ELSEWHERE = 2


class PlacementSettings(NamedTuple):
    """Bound leases and repeats.

    ``lease_s`` is counted by the worker from when it sent its report, and
    here from when the report came, which is later.
    """

    plan_period_s: float = 0.1
    watch_period_s: float = 0.5
    lease_s: float = 3
    suspect_after_s: float = 1.5
    ask_again_s: float = 1
    propose_again_s: float = 1


class PlacementCore:
    """Plan commands on the replicated state while this process leads."""

    def __init__(
        self,
        get_state: Callable[[], PlacementState],
        settings: PlacementSettings | None = None,
    ) -> None:
        self._get_state = get_state
        self._settings = settings or PlacementSettings()
        self._is_leader = False
        self._start_s: float = 0
        self._planned_s = float('-inf')
        self._watched_s = float('-inf')
        self._heard_s: dict[tuple[str, int], float] = {}
        self._ended: set[tuple[str, int]] = set()
        self._started: set[int] = set()
        self._asked_s: dict[events.AskWorker, float] = {}
        self._proposed: dict[object, float] = {}
        self._pressed: dict[int, Pressed] = {}
        self._round = 0

    def step(self, event: events.Event, now_s: float) -> list[events.Output]:
        """Take an event and give what to do."""
        if isinstance(event, events.TermStarted):
            self._start_term(now_s)
            return []
        if not self._is_leader:
            return []
        # Reports are nearly all events; finding their handler by type would
        # cost more than handling them.
        if isinstance(event, events.WorkerReported):
            return list(self._handle_report(event, now_s))
        return list(self._handle(event, now_s))

    @singledispatchmethod
    def _handle(
        self,
        event: events.Event,
        now_s: float,
    ) -> Iterable[events.Output]:
        raise TypeError(event)

    @_handle.register
    def _handle_end(
        self,
        event: events.TermEnded,
        now_s: float,
    ) -> Iterable[events.Output]:
        self._is_leader = False
        return ()

    @_handle.register
    def _handle_report(
        self,
        event: events.WorkerReported,
        now_s: float,
    ) -> Iterable[events.Output]:
        worker = self._get_state().workers.get(event.worker)
        holder = (event.worker, event.incarnation)
        # After the end of a lease was proposed, the runs may already stand
        # with others; a lease given now would let them run twice.
        if worker is None or worker.incarnation != event.incarnation:
            return
        if worker.is_lease_ended or holder in self._ended:
            return
        self._heard_s[holder] = now_s
        self._started.update(event.running)
        settled: tuple[int, ...] = ()
        if event.ends or event.throttled or event.uses:
            yield from self._take_ends(event, now_s)
            settled = self._get_settled(event)
        yield events.GrantLease(
            event.worker,
            event.incarnation,
            event.sent_at_s,
            self._settings.lease_s,
            settled,
        )

    @_handle.register
    def _handle_tick(
        self,
        event: events.Tick,
        now_s: float,
    ) -> Iterable[events.Output]:
        if now_s - self._planned_s < self._settings.plan_period_s:
            return
        self._planned_s = now_s
        self._forget_old(now_s)
        if now_s - self._watched_s >= self._settings.watch_period_s:
            self._watched_s = now_s
            yield from self._watch_workers(now_s)
            self._relieve_workers(now_s)
        yield from self._plan_placements(now_s)
        yield from self._ask_runs(now_s)

    def _start_term(self, now_s: float) -> None:
        self._is_leader = True
        self._start_s = now_s
        self._planned_s = float('-inf')
        self._watched_s = float('-inf')
        self._heard_s.clear()
        self._ended.clear()
        self._started.clear()
        self._asked_s.clear()
        self._proposed.clear()
        self._pressed.clear()

    def _take_ends(
        self,
        event: events.WorkerReported,
        now_s: float,
    ) -> Iterator[events.Output]:
        runs = self._get_state().runs
        ends = tuple(end for end in event.ends if end.token in runs)
        if ends:
            yield from self._propose(commands.EndRuns(ends), now_s)
        grown = tuple(
            use
            for use in event.uses
            if use.token in runs
            and use.seen.memory_bytes > runs[use.token].size.memory_bytes
        )
        if grown:
            yield from self._propose(commands.GrowRuns(grown), now_s)
        throttled = tuple(
            token
            for token in event.throttled
            if token in runs and not runs[token].is_throttled
        )
        if throttled:
            yield from self._propose(commands.ThrottleRuns(throttled), now_s)

    def _relieve_workers(self, now_s: float) -> None:
        """Press the lowest run of a worker that has less room than is taken."""
        state = self._get_state()
        for name, free in state.free.items():
            if free.memory_bytes >= 0:
                continue
            if any(token in self._pressed for token in state.by_worker[name]):
                continue
            victim = choose_lowest(state, name)
            if victim is not None:
                can_checkpoint = state.jobs[victim.job].can_checkpoint
                self._pressed[victim.token] = Pressed(
                    victim,
                    now_s,
                    can_checkpoint,
                    is_throttle_enough=False,
                )

    def _get_settled(self, event: events.WorkerReported) -> tuple[int, ...]:
        runs = self._get_state().runs
        return tuple(end.token for end in event.ends if end.token not in runs)

    def _watch_workers(self, now_s: float) -> Iterator[events.Output]:
        for worker in self._get_state().workers.values():
            if not worker.is_lease_ended:
                yield from self._watch_worker(worker, now_s)

    def _watch_worker(
        self,
        worker: Worker,
        now_s: float,
    ) -> Iterator[events.Output]:
        holder = (worker.name, worker.incarnation)
        heard_s = self._heard_s.get(holder, self._start_s)
        silence_s = now_s - heard_s
        if silence_s > self._settings.lease_s:
            self._ended.add(holder)
            yield from self._propose(commands.EndWorkerLease(*holder), now_s)
        elif worker.status is WorkerStatus.lost:
            if holder in self._heard_s and not self._is_silent(silence_s):
                recovered = commands.RecoverWorker(*holder)
                yield from self._propose(recovered, now_s)
        elif self._is_silent(silence_s):
            yield from self._propose(commands.LoseWorker(*holder), now_s)
        elif self._is_bad(worker):
            aside = commands.SetWorkerAside(
                *holder,
                f'failed {", ".join(worker.failed)}',
            )
            yield from self._propose(aside, now_s)

    def _is_silent(self, silence_s: float) -> bool:
        return silence_s > self._settings.suspect_after_s

    def _is_bad(self, worker: Worker) -> bool:
        if len(worker.failed) < _FAILED_JOBS:
            return False
        if worker.status is WorkerStatus.set_aside:
            return False
        if not may_set_aside(self._get_state()):
            return False
        jobs = self._get_state().jobs
        elsewhere = [
            name
            for name in worker.failed
            if name in jobs and jobs[name].status is JobStatus.done
        ]
        return len(elsewhere) >= _SUCCEEDED_ELSEWHERE

    def _plan_placements(self, now_s: float) -> Iterator[events.Output]:
        state = self._get_state()
        if not state.waiting:
            return
        self._round += 1
        planner = Planner(state, self._round)
        placements = planner.choose()
        if placements:
            yield from self._propose(commands.PlaceJobs(placements), now_s)
        for job in planner.unplaced:
            size = state.estimate(job)
            if fits_no_worker(state, size):
                aside = commands.SetJobAside(
                    job.name,
                    f'fits no worker: {size.millicores} millicores, '
                    f'{size.memory_bytes} bytes, '
                    f'{size.accelerators} accelerators',
                )
                yield from self._propose(aside, now_s)
            elif job.priority is Priority.urgent:
                taken = frozenset(self._pressed)
                victims = choose_victims(state, job, size, taken)
                self._press(victims, job.name, now_s)

    def _press(self, victims: list[Run], job: str, now_s: float) -> None:
        if not victims or job in self._proposed:
            return
        self._proposed[job] = now_s
        state = self._get_state()
        size = state.estimate(state.jobs[job])
        for pressed in press(state, victims, size, now_s):
            self._pressed[pressed.run.token] = pressed

    def _ask_runs(self, now_s: float) -> Iterator[events.Output]:
        state = self._get_state()
        for run in state.runs.values():
            if self._is_settled(run):
                continue
            action = self._get_action(run, now_s)
            if action is not None:
                ask = events.AskWorker(
                    action,
                    run.worker,
                    run.incarnation,
                    run.job,
                    run.token,
                    run.size,
                )
                asked_s = self._asked_s.get(ask, float('-inf'))
                if now_s - asked_s >= self._settings.ask_again_s:
                    self._asked_s[ask] = now_s
                    yield ask

    def _is_settled(self, run: Run) -> bool:
        # Nearly all runs go on as they should; this look at them is what a
        # plan costs, so it comes before anything is made.
        job = self._get_state().jobs[run.job]
        return (
            job.status is JobStatus.running
            and job.token == run.token
            and run.token in self._started
            and run.token not in self._pressed
        )

    def _get_action(self, run: Run, now_s: float) -> events.RunAction | None:
        job = self._get_state().jobs[run.job]
        if job.is_cancelled or job.status in FINAL or job.token != run.token:
            return events.RunAction.stop
        pressed = self._pressed.get(run.token)
        if pressed is not None:
            action = get_action(pressed, now_s)
            is_done = action is events.RunAction.throttle and run.is_throttled
            return None if is_done else action
        if run.token in self._started:
            return None
        return events.RunAction.start

    def _propose(
        self,
        command: commands.Command,
        now_s: float,
    ) -> Iterator[events.Output]:
        if command not in self._proposed:
            self._proposed[command] = now_s
            yield events.Propose(command)

    def _forget_old(self, now_s: float) -> None:
        runs = self._get_state().runs
        again_s = self._settings.propose_again_s
        self._proposed = {
            proposal: proposed_s
            for proposal, proposed_s in self._proposed.items()
            if now_s - proposed_s < again_s
        }
        self._started.intersection_update(runs)
        for token in tuple(self._pressed):
            if token not in runs:
                self._pressed.pop(token)
        for ask in tuple(self._asked_s):
            if ask.token not in runs:
                self._asked_s.pop(ask)
