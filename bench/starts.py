"""Log bytes and CPU time for each start of a task, as fleets grow.

Drives a leader's dispatcher with workers that answer at once. Commands are
encoded and decoded as in the log; disk syncs and sockets are left out.
"""

import sys
from collections import deque
from time import process_time
from typing import NamedTuple

from sardinemast.dispatch import (
    Dispatcher,
    DispatchEvent,
    DispatchOutput,
    DispatchSettings,
    LearningPolicy,
    OrderOutcome,
    PollWorker,
    Propose,
    ReportedEnd,
    ReportedRun,
    StartAnswered,
    StartRun,
    TeamShares,
    WorkerPolled,
    WorkerReport,
)
from sardinemast.fleet import COMMANDS
from sardinemast.jobs import (
    Catalog,
    Command,
    JobRequest,
    JobsState,
    Pool,
    Queue,
    Size,
    Step,
    TaskKey,
    Team,
    Worker,
    apply_command,
)
from sardinemast.jobs.commands import (
    PutCatalog,
    RecordRuns,
    RegisterWorker,
    SubmitJob,
)

_STEP_S = 0.02
_SECONDS = 6.0
_ANNOUNCE_INTERVAL_S = 1.5
_POOLS = 4
_TEAMS = 20
_MIB = 1024 * 1024
_MS = 1000
_COMPLETE_PERCENT = 100
# The parts that a deployment enables.
_SETTINGS = DispatchSettings(learning=LearningPolicy(enabled=True))


class Measured(NamedTuple):
    """Hold the number of starts and their costs."""

    starts: int
    log_bytes: int
    entries: int
    cpu_s: float


class _Workload(NamedTuple):
    """Describe the jobs submitted, to how many pools, by how many teams."""

    jobs_per_s: float
    steps: tuple[Step, ...]
    run_s: float
    pools: int = _POOLS
    teams: int = 0


_EVEN_LOAD = _Workload(20, (Step(10, Size(2000, 512 * _MIB), 600),), 0.6)
# Peak of one queue that needs about twice the cores of its 45 workers.
_WIDE_STEP = Step(8, Size(13_000, 512 * _MIB), 1300)
_PEAK_LOAD = _Workload(
    19, (_WIDE_STEP, _WIDE_STEP._replace(depends_on=(0,))), 1.3, pools=1
)


class _ActiveRun(NamedTuple):
    number: int
    started_s: float


class _ScheduledEnd(NamedTuple):
    worker: str
    task: TaskKey
    number: int
    due_s: float


class _Simulation:
    """Simulate a dispatcher and workers that answer at once."""

    def __init__(
        self,
        worker_count: int,
        load: _Workload,
        settings: DispatchSettings = _SETTINGS,
    ) -> None:
        self._load = load
        self.state = JobsState()
        self.log_bytes = 0
        self.entries = 0
        self.starts = 0
        self._log_index = 0
        self._now_s: float = 0
        self._announced_s: float = 0
        self._dispatcher = Dispatcher(settings)
        self._outputs: deque[DispatchOutput] = deque()
        self._scheduled_ends: deque[_ScheduledEnd] = deque()
        self._pending_polls: dict[str, PollWorker] = {}
        self._active_runs: dict[str, dict[TaskKey, _ActiveRun]] = {}
        self._unacked_ends: dict[str, list[ReportedEnd]] = {}
        self._positions: dict[str, int] = {}
        names = [f'pool-{number}' for number in range(_POOLS)]
        queues = tuple(
            Queue(name, name, '/', name, 3000, 600) for name in names
        )
        pools = tuple(map(Pool, names))
        teams = tuple(Team(f'team-{number}') for number in range(load.teams))
        self._commit(PutCatalog(Catalog(1, queues, pools, teams), b''))
        for number in range(worker_count):
            self._commit(RegisterWorker(_make_worker(number)))
        self._dispatcher.start_term(self.state, 1, 0)

    def run(self) -> Measured:
        """Submit jobs at a constant rate and measure the starts."""
        self._advance(1)
        self.log_bytes = 0
        self.entries = 0
        self.starts = 0
        started_s = process_time()
        jobs_per_step = self._load.jobs_per_s * _STEP_S
        due: float = 0
        number = 0
        for _ in range(round(_SECONDS / _STEP_S)):
            due += jobs_per_step
            while due >= 1:
                due -= 1
                number += 1
                self._submit(number)
            self._advance(_STEP_S)
        cpu_s = process_time() - started_s
        return Measured(self.starts, self.log_bytes, self.entries, cpu_s)

    def _submit(self, number: int) -> None:
        request = JobRequest('x' * 400, self._load.steps)
        pool = f'pool-{number % self._load.pools}'
        now_ms = int(self._now_s * _MS)
        team = ''
        if self._load.teams:
            team = f'team-{number % self._load.teams}'
        command = SubmitJob(f'job-{number}', pool, team, request, now_ms)
        self._execute(self._commit(command))

    def _advance(self, seconds: float) -> None:
        for _ in range(round(seconds / _STEP_S)):
            self._now_s += _STEP_S
            self._announce()
            while (
                self._scheduled_ends
                and self._scheduled_ends[0].due_s <= self._now_s
            ):
                self._end_run(self._scheduled_ends.popleft())
            now_ms = int(self._now_s * _MS)
            self._execute(self._dispatcher.tick(self._now_s, now_ms))

    def _announce(self) -> None:
        # Workers without announcements are considered lost and get no runs.
        if self._now_s >= self._announced_s + _ANNOUNCE_INTERVAL_S:
            self._announced_s = self._now_s
            for name in self.state.workers:
                self._dispatcher.record_announcement(name, 0, self._now_s)

    def _commit(self, command: Command) -> list[DispatchOutput]:
        payload = COMMANDS.encode(command)
        decoded = COMMANDS.decode(payload)
        if isinstance(command, RecordRuns):
            self.log_bytes += len(payload)
            self.entries += 1
        self._log_index += 1
        apply_command(decoded, self.state, self._log_index)
        now_ms = int(self._now_s * _MS)
        return self._dispatcher.handle_applied(decoded, self._now_s, now_ms)

    def _execute(self, outputs: list[DispatchOutput]) -> None:
        queue = deque(outputs)
        while queue:
            output = queue.popleft()
            if isinstance(output, Propose):
                queue.extend(self._commit(output.command))
            elif isinstance(output, StartRun):
                queue.extend(self._start(output))
            elif isinstance(output, PollWorker):
                self._poll(output, queue)

    def _start(self, order: StartRun) -> list[DispatchOutput]:
        self.starts += 1
        name = order.worker.name
        due_s = self._now_s + self._load.run_s
        self._scheduled_ends.append(
            _ScheduledEnd(name, order.task, order.number, due_s)
        )
        running = _ActiveRun(order.number, self._now_s)
        self._active_runs.setdefault(name, {})[order.task] = running
        answered = StartAnswered(
            name,
            order.task,
            order.number,
            OrderOutcome.done,
            '',
            self._get_clock_ms(),
        )
        return self._step(answered)

    def _poll(
        self,
        order: PollWorker,
        queue: deque[DispatchOutput],
    ) -> None:
        # A long poll is answered when a run ends, the first poll at once.
        if order.wait_ms:
            self._pending_polls[order.worker.name] = order
        else:
            queue.extend(self._answer_poll(order))

    def _answer_poll(self, order: PollWorker) -> list[DispatchOutput]:
        name = order.worker.name
        ended = self._unacked_ends.get(name, [])
        unacked = [one for one in ended if one.position > order.acked_position]
        self._unacked_ends[name] = unacked
        running = tuple(
            ReportedRun(task, one.number, '', self._get_percent(one))
            for task, one in self._active_runs.get(name, {}).items()
        )
        report = WorkerReport(1, self._get_clock_ms(), running, tuple(unacked))
        return self._step(
            WorkerPolled(
                name,
                order.fence,
                order.sent_s,
                OrderOutcome.done,
                report,
            ),
        )

    def _end_run(self, scheduled: _ScheduledEnd) -> None:
        name = scheduled.worker
        position = self._positions.get(name, 0) + 1
        self._positions[name] = position
        self._active_runs[name].pop(scheduled.task)
        self._unacked_ends.setdefault(name, []).append(
            ReportedEnd(position, scheduled.task, scheduled.number, 'done'),
        )
        poll = self._pending_polls.pop(name, None)
        if poll is not None:
            self._execute(self._answer_poll(poll))

    def _step(self, event: DispatchEvent) -> list[DispatchOutput]:
        now_ms = int(self._now_s * _MS)
        return self._dispatcher.step(event, self._now_s, now_ms)

    def _get_percent(self, running: _ActiveRun) -> int:
        elapsed_s = self._now_s - running.started_s
        return min(int(_COMPLETE_PERCENT * elapsed_s / self._load.run_s), 99)

    def _get_clock_ms(self) -> int:
        return _MS + int(self._now_s * _MS)


def _make_worker(number: int) -> Worker:
    return Worker(
        f'worker-{number}',
        1,
        f'10.0.{number // 250}.{number % 250}:80',
        f'pool-{number % _POOLS}',
        'rennes',
        'r-1',
        ('a', 'r-1'),
        Size(64_000, 128 * 1024 * _MIB),
        f'instance-{number}',
    )


def main() -> None:
    """Print costs for growing fleets and in the peak of a queue."""
    for workers in (40, 200, 1900):
        _print_costs(workers, 'even load', _EVEN_LOAD)
    _print_costs(180, 'a peak', _PEAK_LOAD)
    for name, settings in (
        ('20 teams', _SETTINGS),
        (
            'team shares',
            _SETTINGS._replace(
                team_shares=TeamShares(enabled=True, needs_excess=False)
            ),
        ),
    ):
        for load_name, load in (
            ('even load', _EVEN_LOAD),
            ('a peak', _PEAK_LOAD),
        ):
            _print_costs(
                180,
                f'{load_name}, {name}',
                load._replace(teams=_TEAMS),
                settings,
            )


def _print_costs(
    workers: int,
    name: str,
    load: _Workload,
    settings: DispatchSettings = _SETTINGS,
) -> None:
    measured = _Simulation(workers, load, settings).run()
    per_start = measured.log_bytes / max(measured.starts, 1)
    cpu_us = 1_000_000 * measured.cpu_s / max(measured.starts, 1)
    sys.stdout.write(
        f'{workers:>5} workers, {name}: '
        f'{measured.starts / _SECONDS:.0f} starts/s, '
        f'{per_start:.0f} bytes a start in {measured.entries} entries, '
        f'{cpu_us:.0f} us a start\n',
    )
