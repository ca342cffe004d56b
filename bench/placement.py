"""Jobs on whole fleets in virtual time, against first fit.

Queues peak in turns: each team asks five times its mean for a while, then a
twentieth. Declared sizes are off by up to four times either way, a few
workers fail everything, a few jobs can never run.
"""

import sys
import tracemalloc
from collections import Counter
from random import Random
from time import process_time
from typing import NamedTuple

from sardinemast import placement

_STEP_S = 0.5
_SECONDS = 240
_PEAK_S = 40
_KINDS = 4
_MEAN_RUN_S = 20
_GROWTH_S = 20
_LOAD = 0.7
_URGENT_PERCENT = 5
_FAULTY_PERCENT = 1
_LATE_FACTOR = 3
_GIB = 2**30


class Fleet(NamedTuple):
    """Name a fleet, its workers and how many teams use it."""

    name: str
    workers: int
    millicores: int
    memory_bytes: int
    teams: int


class Measured(NamedTuple):
    """Hold what became of the jobs."""

    on_time: int
    ended: int
    submitted: int
    urgent_p99_s: float
    wasted_share: float
    share_distance: float
    cpu_ms_per_start: float
    cpu_share: float
    starts: int


KERLANN = Fleet('Kerlann', 40, 64_000, 128 * _GIB, 6)
ATLAS = Fleet('Atlas', 40, 16_000, 64 * _GIB, 6)
TARGET = Fleet('target', 1900, 16_000, 64 * _GIB, 24)


def main() -> None:
    """Print what became of the jobs, and the effort of the leader."""
    for fleet in (KERLANN, ATLAS):
        _tell(f'{fleet.name}: {fleet.workers} workers, {fleet.teams} teams')
        for name, is_first_fit in (('first fit', True), ('placement', False)):
            _tell(f'  {name:<10} {_show(_Driver(fleet, is_first_fit).run())}')
    _tell('Kerlann, asked for twice its cores, 120 s')
    for name, is_first_fit in (('first fit', True), ('placement', False)):
        driver = _Driver(KERLANN, is_first_fit, load=2)
        _tell(f'  {name:<10} {_show(driver.run(120))}')
    _tell('Effort of the leader as the fleet grows, 20 s of jobs')
    for workers in (40, 200, 800, TARGET.workers):
        _tell(f'  {workers:>5} workers: {_grow(workers)}')


def _grow(workers: int) -> str:
    fleet = TARGET._replace(workers=workers)
    measured = _Driver(fleet, is_first_fit=False).run(_GROWTH_S)
    idle = _Driver(fleet, is_first_fit=False, load=0).run(_GROWTH_S)
    tracemalloc.start()
    driver = _Driver(fleet, is_first_fit=False)
    driver.run(_GROWTH_S // 4)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (
        f'{measured.cpu_ms_per_start:.3f} ms a start, '
        f'{measured.starts / _GROWTH_S:.0f} starts/s, '
        f'{measured.cpu_share:.2%} of a core, without jobs '
        f'{idle.cpu_share:.2%}, memory {memory_bytes / 1024:.0f} KiB'
    )


def _show(measured: Measured) -> str:
    return (
        f'on time {measured.on_time / measured.submitted:.3f}, ended '
        f'{measured.ended / measured.submitted:.3f} of {measured.submitted}, '
        f'urgent start p99 {measured.urgent_p99_s:.1f} s, wasted work '
        f'{measured.wasted_share:.3f}, distance to share '
        f'{measured.share_distance:.3f}'
    )


class _Truth(NamedTuple):
    memory_bytes: int
    run_s: float
    due_s: float
    submitted_s: float
    can_run: bool


class _Going(NamedTuple):
    job: str
    end_s: float
    is_failing: bool


class _Driver:
    """Hold a fleet whose workers do what they are asked."""

    def __init__(
        self,
        fleet: Fleet,
        is_first_fit: bool,
        load: float = _LOAD,
    ) -> None:
        self._fleet = fleet
        self._is_first_fit = is_first_fit
        self._load = load
        self._random = Random(7)
        self._now_s: float = 0
        self._index = 0
        self.state = placement.PlacementState()
        self.core = placement.PlacementCore(lambda: self.state)
        self._truths: dict[str, _Truth] = {}
        self._runs: dict[str, dict[int, _Going]] = {}
        self._ends: dict[str, list[placement.commands.RunEnd]] = {}
        self._throttled: dict[str, set[int]] = {}
        self._urgent_s: list[float] = []
        self._spent: Counter[str] = Counter()
        self._on_time = 0
        self._cpu_s: float = 0
        self._starts = 0
        self._distances: list[float] = []
        self._enter()

    def run(self, seconds: int = _SECONDS) -> Measured:
        """Run for some time of jobs."""
        for _ in range(int(seconds / _STEP_S)):
            self._now_s += _STEP_S
            self._submit()
            self._work()
            self._lead()
            self._measure_shares()
        urgent_s = sorted(self._urgent_s) or [0]
        spent = self._spent['useful'] + self._spent['wasted']
        done = placement.JobStatus.done
        statuses = Counter(job.status for job in self.state.jobs.values())
        return Measured(
            self._on_time,
            statuses[done],
            len(self._truths),
            urgent_s[int(0.99 * (len(urgent_s) - 1))],
            self._spent['wasted'] / max(1, spent),
            sum(self._distances) / max(1, len(self._distances)),
            self._cpu_s / max(1, self._starts) * 1000,
            self._cpu_s / seconds,
            self._starts,
        )

    def _enter(self) -> None:
        room = placement.Size(self._fleet.millicores, self._fleet.memory_bytes)
        total = self._fleet.millicores * self._fleet.workers
        self._teams = [f'team-{number}' for number in range(self._fleet.teams)]
        self._commit(
            placement.commands.SetTeams(
                't',
                tuple(
                    placement.Team(name, 1, total // 2) for name in self._teams
                ),
            ),
        )
        for number in range(self._fleet.workers):
            name = f'worker-{number}'
            self._runs[name] = {}
            self._ends[name] = []
            self._throttled[name] = set()
            self._commit(
                placement.commands.EnterWorker(
                    name,
                    1,
                    'region',
                    f'centre-{number % 4}',
                    f'rack-{number // 4}',
                    room,
                ),
            )
        self.core.step(placement.TermStarted(), 0)

    def _submit(self) -> None:
        peak = int(self._now_s / _PEAK_S) % self._fleet.teams
        # All teams together ask for this part of the cores.
        mean = self._load * self._fleet.workers * _STEP_S * 8 / _MEAN_RUN_S
        requests: list[placement.commands.JobRequest] = []
        for position, team in enumerate(self._teams):
            factor = 5.0 if position == peak else 0.2
            count = mean * factor / self._fleet.teams
            whole = int(count + self._random.random())
            requests.extend(self._request(team) for _ in range(whole))
        if requests:
            self._commit(placement.commands.SubmitJobs('s', tuple(requests)))

    def _request(self, team: str) -> placement.commands.JobRequest:
        name = f'job-{len(self._truths)}'
        kind = self._random.randrange(_KINDS)
        usual_bytes = self._fleet.memory_bytes * (1 + kind) / 32
        memory_bytes = int(usual_bytes * self._random.uniform(0.8, 1.2))
        run_s = _MEAN_RUN_S * self._random.expovariate(1) + 1
        off = self._random.choice([0.25, 0.5, 1, 2, 4])
        priority = placement.Priority.normal
        if self._random.randrange(100) < _URGENT_PERCENT:
            priority = placement.Priority.urgent
        self._truths[name] = _Truth(
            memory_bytes,
            run_s,
            self._now_s + _LATE_FACTOR * run_s + 5,
            self._now_s,
            self._random.randrange(100) >= _FAULTY_PERCENT,
        )
        return placement.commands.JobRequest(
            name,
            team,
            f'kind-{kind}',
            priority,
            placement.Size(
                self._fleet.millicores // 8,
                int(memory_bytes * off),
            ),
            can_checkpoint=self._random.choice((False, True)),
        )

    def _work(self) -> None:
        for worker, runs in self._runs.items():
            for token, going in tuple(runs.items()):
                if going.end_s <= self._now_s:
                    self._end(worker, token, going)

    def _end(self, worker: str, token: int, going: _Going) -> None:
        job = going.job
        truth = self._truths[job]
        run = self.state.runs.get(token)
        allotted = run.size.memory_bytes if run else truth.memory_bytes
        outcome = placement.RunResult.succeeded
        if going.is_failing:
            outcome = placement.RunResult.failed
        elif allotted < truth.memory_bytes:
            outcome = placement.RunResult.out_of_memory
        is_good = outcome is placement.RunResult.succeeded
        self._spend(truth.run_s if is_good else truth.run_s / 2, is_good)
        if is_good and going.end_s <= truth.due_s:
            self._on_time += 1
        self._finish(worker, token, job, outcome)

    def _finish(
        self,
        worker: str,
        token: int,
        job: str,
        outcome: placement.RunResult,
    ) -> None:
        self._runs[worker].pop(token, None)
        peak = placement.Size(
            self._fleet.millicores // 8,
            self._truths[job].memory_bytes,
        )
        self._ends[worker].append(
            placement.commands.RunEnd(job, token, outcome, peak),
        )

    def _spend(self, run_s: float, is_good: bool) -> None:
        self._spent['useful' if is_good else 'wasted'] += round(run_s * 1000)

    def _lead(self) -> None:
        # A worker reports each second, and at once when a run has ended.
        is_usual = int(self._now_s / _STEP_S) % 2 == 0
        for worker, runs in self._runs.items():
            if not is_usual and not self._ends[worker]:
                continue
            event = placement.WorkerReported(
                worker,
                1,
                self._now_s,
                tuple(runs),
                tuple(self._throttled[worker]),
                tuple(self._ends[worker]),
            )
            self._ends[worker].clear()
            self._throttled[worker].clear()
            self._step(event)
        if self._is_first_fit:
            self._place_first_fit()
        else:
            self._step(placement.Tick())
            self._step(placement.Tick())
            self._now_s += 0.2
            self._step(placement.Tick())
            self._now_s -= 0.2

    def _step(self, event: placement.Event) -> None:
        started_s = process_time()
        outputs = self.core.step(event, self._now_s)
        self._cpu_s += process_time() - started_s
        for output in outputs:
            if isinstance(output, placement.Propose):
                started_s = process_time()
                self._commit(output.command)
                self._cpu_s += process_time() - started_s
            elif isinstance(output, placement.AskWorker):
                self._carry_out(output)

    def _carry_out(self, ask: placement.AskWorker) -> None:
        runs = self._runs[ask.worker]
        if ask.action is placement.RunAction.start:
            if ask.token not in runs and ask.token in self.state.runs:
                self._start(ask.worker, ask.job, ask.token)
        elif ask.action is placement.RunAction.throttle:
            self._throttled[ask.worker].add(ask.token)
        else:
            self._interrupt(ask, runs.get(ask.token))

    def _interrupt(
        self,
        ask: placement.AskWorker,
        going: _Going | None,
    ) -> None:
        if going is None:
            return
        truth = self._truths[going.job]
        left_s = max(0, going.end_s - self._now_s)
        is_kept = ask.action is placement.RunAction.checkpoint
        self._spend(max(0, truth.run_s - left_s), is_kept)
        outcome = placement.RunResult.stopped
        if is_kept:
            self._truths[going.job] = truth._replace(run_s=left_s)
            outcome = placement.RunResult.checkpointed
        self._finish(ask.worker, ask.token, going.job, outcome)

    def _start(self, worker: str, job: str, token: int) -> None:
        self._starts += 1
        truth = self._truths[job]
        is_bad = int(worker.partition('-')[2]) % 20 == 3
        is_failing = is_bad or not truth.can_run
        run = self.state.runs[token]
        is_short = run.size.memory_bytes < truth.memory_bytes
        run_s = truth.run_s
        if is_failing or is_short:
            run_s = 1 if is_bad else truth.run_s / 2
        self._runs[worker][token] = _Going(
            job,
            self._now_s + run_s,
            is_failing,
        )
        is_urgent = self.state.jobs[job].priority is placement.Priority.urgent
        if is_urgent and self.state.jobs[job].growth == 1:
            self._urgent_s.append(self._now_s - truth.submitted_s)

    def _place_first_fit(self) -> None:
        """Start each job in turn on the first worker with room for its word."""
        placements = []
        free = dict(self.state.free)
        for name in tuple(self.state.waiting):
            job = self.state.jobs[name]
            size = job.declared._replace(
                memory_bytes=job.declared.memory_bytes * job.growth,
            )
            for worker, room in free.items():
                if size.fits(room):
                    free[worker] = room.plus(size, -1)
                    placements.append(
                        placement.commands.Placement(name, worker, 1, size),
                    )
                    break
        self._commit(placement.commands.PlaceJobs(tuple(placements)))
        for run in tuple(self.state.runs.values()):
            if run.token not in self._runs[run.worker]:
                self._start(run.worker, run.job, run.token)

    def _measure_shares(self) -> None:
        """Measure how far the running cores are from equal shares."""
        wanted: Counter[str] = Counter(
            self.state.jobs[name].team for name in self.state.waiting
        )
        if len(wanted) < 2:
            return
        cores = [self.state.millicores_by_team[team] for team in wanted]
        mean = sum(cores) / len(cores)
        if mean:
            worst = max(abs(one - mean) for one in cores)
            self._distances.append(worst / mean)

    def _commit(self, command: placement.Command) -> None:
        self._index += 1
        placement.apply_command(self.state, command, self._index)


def _tell(line: str) -> None:
    sys.stdout.write(f'{line}\n')
