"""Placement of jobs on whole fleets in virtual time, against first fit.

Teams peak in turns: each submits five times its mean for some time, then a
fifth. Declared sizes are wrong by up to four times either way, some workers
fail all runs, and some jobs can never succeed.
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
_KIND_COUNT = 4
_MEAN_RUN_S = 20
_GROWTH_S = 20
_LOAD = 0.7
_URGENT_PERCENT = 5
_FAULTY_PERCENT = 1
_LATE_FACTOR = 3
_GIB = 2**30


class Fleet(NamedTuple):
    """Describe a fleet by its workers and the number of its teams."""

    name: str
    workers: int
    millicores: int
    memory_bytes: int
    teams: int


class Measured(NamedTuple):
    """Hold the results of a simulation."""

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
    """Print job results and the CPU time of the leader."""
    for fleet in (KERLANN, ATLAS):
        _write_line(
            f'{fleet.name}: {fleet.workers} workers, {fleet.teams} teams'
        )
        for name, is_first_fit in (('first fit', True), ('placement', False)):
            _write_line(
                f'  {name:<10} '
                f'{_format(_Simulation(fleet, is_first_fit).run())}'
            )
    _write_line('Kerlann, asked for twice its cores, 120 s')
    for name, is_first_fit in (('first fit', True), ('placement', False)):
        simulation = _Simulation(KERLANN, is_first_fit, load=2)
        _write_line(f'  {name:<10} {_format(simulation.run(120))}')
    _write_line('Effort of the leader as the fleet grows, 20 s of jobs')
    for workers in (40, 200, 800, TARGET.workers):
        _write_line(f'  {workers:>5} workers: {_measure_growth(workers)}')


def _measure_growth(workers: int) -> str:
    fleet = TARGET._replace(workers=workers)
    measured = _Simulation(fleet, is_first_fit=False).run(_GROWTH_S)
    idle = _Simulation(fleet, is_first_fit=False, load=0).run(_GROWTH_S)
    tracemalloc.start()
    simulation = _Simulation(fleet, is_first_fit=False)
    simulation.run(_GROWTH_S // 4)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (
        f'{measured.cpu_ms_per_start:.3f} ms a start, '
        f'{measured.starts / _GROWTH_S:.0f} starts/s, '
        f'{measured.cpu_share:.2%} of a core, without jobs '
        f'{idle.cpu_share:.2%}, memory {memory_bytes / 1024:.0f} KiB'
    )


def _format(measured: Measured) -> str:
    return (
        f'on time {measured.on_time / measured.submitted:.3f}, ended '
        f'{measured.ended / measured.submitted:.3f} of {measured.submitted}, '
        f'urgent start p99 {measured.urgent_p99_s:.1f} s, wasted work '
        f'{measured.wasted_share:.3f}, distance to share '
        f'{measured.share_distance:.3f}'
    )


class _ActualJob(NamedTuple):
    memory_bytes: int
    run_s: float
    due_s: float
    submitted_s: float
    can_run: bool


class _ActiveRun(NamedTuple):
    job: str
    end_s: float
    is_failing: bool


class _Simulation:
    """Simulate a leader and workers that carry out all orders."""

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
        self._actual_jobs: dict[str, _ActualJob] = {}
        self._active_runs: dict[str, dict[int, _ActiveRun]] = {}
        self._ends: dict[str, list[placement.commands.RunEnd]] = {}
        self._throttled: dict[str, set[int]] = {}
        self._urgent_s: list[float] = []
        self._work_ms: Counter[str] = Counter()
        self._on_time = 0
        self._cpu_s: float = 0
        self._starts = 0
        self._distances: list[float] = []
        self._start_fleet()

    def run(self, seconds: int = _SECONDS) -> Measured:
        """Run the simulation for ``seconds`` of virtual time."""
        for _ in range(int(seconds / _STEP_S)):
            self._now_s += _STEP_S
            self._submit_jobs()
            self._end_due_runs()
            self._step_leader()
            self._measure_shares()
        urgent_s = sorted(self._urgent_s) or [0]
        total_ms = self._work_ms['useful'] + self._work_ms['wasted']
        done = placement.JobStatus.done
        statuses = Counter(job.status for job in self.state.jobs.values())
        return Measured(
            self._on_time,
            statuses[done],
            len(self._actual_jobs),
            urgent_s[int(0.99 * (len(urgent_s) - 1))],
            self._work_ms['wasted'] / max(1, total_ms),
            sum(self._distances) / max(1, len(self._distances)),
            self._cpu_s / max(1, self._starts) * 1000,
            self._cpu_s / seconds,
            self._starts,
        )

    def _start_fleet(self) -> None:
        capacity = placement.Size(
            self._fleet.millicores, self._fleet.memory_bytes
        )
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
            self._active_runs[name] = {}
            self._ends[name] = []
            self._throttled[name] = set()
            self._commit(
                placement.commands.EnterWorker(
                    name,
                    1,
                    'region',
                    f'centre-{number % 4}',
                    f'rack-{number // 4}',
                    capacity,
                ),
            )
        self.core.step(placement.TermStarted(), 0)

    def _submit_jobs(self) -> None:
        peak_index = int(self._now_s / _PEAK_S) % self._fleet.teams
        # Jobs per step that use the share ``_load`` of all cores.
        mean = self._load * self._fleet.workers * _STEP_S * 8 / _MEAN_RUN_S
        requests: list[placement.commands.JobRequest] = []
        for position, team in enumerate(self._teams):
            factor = 5.0 if position == peak_index else 0.2
            count = mean * factor / self._fleet.teams
            job_count = int(count + self._random.random())
            requests.extend(self._request(team) for _ in range(job_count))
        if requests:
            self._commit(placement.commands.SubmitJobs('s', tuple(requests)))

    def _request(self, team: str) -> placement.commands.JobRequest:
        name = f'job-{len(self._actual_jobs)}'
        kind = self._random.randrange(_KIND_COUNT)
        mean_bytes = self._fleet.memory_bytes * (1 + kind) / 32
        memory_bytes = int(mean_bytes * self._random.uniform(0.8, 1.2))
        run_s = _MEAN_RUN_S * self._random.expovariate(1) + 1
        estimate_factor = self._random.choice([0.25, 0.5, 1, 2, 4])
        priority = placement.Priority.normal
        if self._random.randrange(100) < _URGENT_PERCENT:
            priority = placement.Priority.urgent
        self._actual_jobs[name] = _ActualJob(
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
                int(memory_bytes * estimate_factor),
            ),
            can_checkpoint=self._random.choice((False, True)),
        )

    def _end_due_runs(self) -> None:
        for worker, runs in self._active_runs.items():
            for token, active_run in tuple(runs.items()):
                if active_run.end_s <= self._now_s:
                    self._end(worker, token, active_run)

    def _end(self, worker: str, token: int, active_run: _ActiveRun) -> None:
        job = active_run.job
        actual = self._actual_jobs[job]
        run = self.state.runs.get(token)
        allocated_bytes = run.size.memory_bytes if run else actual.memory_bytes
        outcome = placement.RunResult.succeeded
        if active_run.is_failing:
            outcome = placement.RunResult.failed
        elif allocated_bytes < actual.memory_bytes:
            outcome = placement.RunResult.out_of_memory
        is_useful = outcome is placement.RunResult.succeeded
        self._record_work(
            actual.run_s if is_useful else actual.run_s / 2, is_useful
        )
        if is_useful and active_run.end_s <= actual.due_s:
            self._on_time += 1
        self._report_end(worker, token, job, outcome)

    def _report_end(
        self,
        worker: str,
        token: int,
        job: str,
        outcome: placement.RunResult,
    ) -> None:
        self._active_runs[worker].pop(token, None)
        peak_usage = placement.Size(
            self._fleet.millicores // 8,
            self._actual_jobs[job].memory_bytes,
        )
        self._ends[worker].append(
            placement.commands.RunEnd(job, token, outcome, peak_usage),
        )

    def _record_work(self, run_s: float, is_useful: bool) -> None:
        self._work_ms['useful' if is_useful else 'wasted'] += round(
            run_s * 1000
        )

    def _step_leader(self) -> None:
        # Workers report each second, and at once when a run has ended.
        is_report_due = int(self._now_s / _STEP_S) % 2 == 0
        for worker, runs in self._active_runs.items():
            if not is_report_due and not self._ends[worker]:
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

    def _carry_out(self, order: placement.AskWorker) -> None:
        runs = self._active_runs[order.worker]
        if order.action is placement.RunAction.start:
            if order.token not in runs and order.token in self.state.runs:
                self._start(order.worker, order.job, order.token)
        elif order.action is placement.RunAction.throttle:
            self._throttled[order.worker].add(order.token)
        else:
            self._interrupt(order, runs.get(order.token))

    def _interrupt(
        self,
        order: placement.AskWorker,
        active_run: _ActiveRun | None,
    ) -> None:
        if active_run is None:
            return
        actual = self._actual_jobs[active_run.job]
        remaining_s = max(0, active_run.end_s - self._now_s)
        is_checkpointed = order.action is placement.RunAction.checkpoint
        self._record_work(max(0, actual.run_s - remaining_s), is_checkpointed)
        outcome = placement.RunResult.stopped
        if is_checkpointed:
            self._actual_jobs[active_run.job] = actual._replace(
                run_s=remaining_s
            )
            outcome = placement.RunResult.checkpointed
        self._report_end(order.worker, order.token, active_run.job, outcome)

    def _start(self, worker: str, job: str, token: int) -> None:
        self._starts += 1
        actual = self._actual_jobs[job]
        is_broken_worker = int(worker.partition('-')[2]) % 20 == 3
        is_failing = is_broken_worker or not actual.can_run
        run = self.state.runs[token]
        lacks_memory = run.size.memory_bytes < actual.memory_bytes
        run_s = actual.run_s
        if is_failing or lacks_memory:
            run_s = 1 if is_broken_worker else actual.run_s / 2
        self._active_runs[worker][token] = _ActiveRun(
            job,
            self._now_s + run_s,
            is_failing,
        )
        is_urgent = self.state.jobs[job].priority is placement.Priority.urgent
        if is_urgent and self.state.jobs[job].growth == 1:
            self._urgent_s.append(self._now_s - actual.submitted_s)

    def _place_first_fit(self) -> None:
        """Start each job on the first worker that fits its declared size."""
        placements = []
        free = dict(self.state.free)
        for name in tuple(self.state.waiting):
            job = self.state.jobs[name]
            size = job.declared._replace(
                memory_bytes=job.declared.memory_bytes * job.growth,
            )
            for worker, capacity in free.items():
                if size.fits(capacity):
                    free[worker] = capacity.plus(size, -1)
                    placements.append(
                        placement.commands.Placement(name, worker, 1, size),
                    )
                    break
        self._commit(placement.commands.PlaceJobs(tuple(placements)))
        for run in tuple(self.state.runs.values()):
            if run.token not in self._active_runs[run.worker]:
                self._start(run.worker, run.job, run.token)

    def _measure_shares(self) -> None:
        """Record the largest relative deviation from equal shares."""
        waiting_teams: Counter[str] = Counter(
            self.state.jobs[name].team for name in self.state.waiting
        )
        if len(waiting_teams) < 2:
            return
        cores = [self.state.millicores_by_team[team] for team in waiting_teams]
        mean = sum(cores) / len(cores)
        if mean:
            largest_difference = max(abs(one - mean) for one in cores)
            self._distances.append(largest_difference / mean)

    def _commit(self, command: placement.Command) -> None:
        self._index += 1
        placement.apply_command(self.state, command, self._index)


def _write_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
