"""Starts through the log: bytes and processor time for each, as fleets grow.

A leader's dispatcher with model workers that answer at once. Each start is
recorded, sent, confirmed, and its end recorded. Every command is encoded and
decoded as the log does it; syncs and sockets are not counted.
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
    OrderOutcome,
    PollWorker,
    Propose,
    ReportedEnd,
    ReportedRun,
    StartAnswered,
    StartRun,
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
_ANNOUNCE_EVERY_S = 1.5
_POOLS = 4
_MIB = 1024 * 1024
_MS = 1000
_WHOLE_PERCENT = 100


class Measured(NamedTuple):
    """Hold what the starts of one fleet took."""

    starts: int
    log_bytes: int
    entries: int
    cpu_s: float


class _Load(NamedTuple):
    """Hold what jobs come, and to how many of the pools."""

    jobs_a_s: float
    steps: tuple[Step, ...]
    run_s: float
    pools: int = _POOLS


_EVEN = _Load(20, (Step(10, Size(2000, 512 * _MIB), 600),), 0.6)
# One queue's peak, for which its pool of 45 workers has half of the room; the
# sizes of the users' widest jobs.
_WIDE = Step(8, Size(13_000, 512 * _MIB), 1300)
_PEAK = _Load(19, (_WIDE, _WIDE._replace(depends_on=(0,))), 1.3, pools=1)


class _Running(NamedTuple):
    number: int
    begun_s: float


class _Ending(NamedTuple):
    worker: str
    task: TaskKey
    number: int
    due_s: float


class _Leader:
    """Drive a dispatcher whose workers answer at once."""

    def __init__(self, worker_count: int, load: _Load) -> None:
        self._load = load
        self.state = JobsState()
        self.log_bytes = 0
        self.entries = 0
        self.starts = 0
        self._log_index = 0
        self._now_s: float = 0
        self._announced_s: float = 0
        self._dispatcher = Dispatcher(DispatchSettings())
        self._outputs: deque[DispatchOutput] = deque()
        self._running: deque[_Ending] = deque()
        self._waiting: dict[str, PollWorker] = {}
        self._listed: dict[str, dict[TaskKey, _Running]] = {}
        self._ended: dict[str, list[ReportedEnd]] = {}
        self._positions: dict[str, int] = {}
        names = [f'pool-{number}' for number in range(_POOLS)]
        queues = tuple(
            Queue(name, name, '/', name, 3000, 600) for name in names
        )
        pools = tuple(map(Pool, names))
        self._commit(PutCatalog(Catalog(1, queues, pools, ()), b''))
        for number in range(worker_count):
            self._commit(RegisterWorker(_make_worker(number)))
        self._dispatcher.start_term(self.state, 1, 0)

    def run(self) -> Measured:
        """Let jobs come at an even rate, and measure."""
        self._pass_time(1)
        self.log_bytes = 0
        self.entries = 0
        self.starts = 0
        begun_s = process_time()
        jobs_a_step = self._load.jobs_a_s * _STEP_S
        due: float = 0
        number = 0
        for _ in range(round(_SECONDS / _STEP_S)):
            due += jobs_a_step
            while due >= 1:
                due -= 1
                number += 1
                self._submit(number)
            self._pass_time(_STEP_S)
        cpu_s = process_time() - begun_s
        return Measured(self.starts, self.log_bytes, self.entries, cpu_s)

    def _submit(self, number: int) -> None:
        request = JobRequest('x' * 400, self._load.steps)
        pool = f'pool-{number % self._load.pools}'
        now_ms = int(self._now_s * _MS)
        command = SubmitJob(f'job-{number}', pool, '', request, now_ms)
        self._take(self._commit(command))

    def _pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds / _STEP_S)):
            self._now_s += _STEP_S
            self._announce()
            while self._running and self._running[0].due_s <= self._now_s:
                self._end(self._running.popleft())
            now_ms = int(self._now_s * _MS)
            self._take(self._dispatcher.tick(self._now_s, now_ms))

    def _announce(self) -> None:
        # Idle workers say nothing else, and get nothing new once silent.
        if self._now_s >= self._announced_s + _ANNOUNCE_EVERY_S:
            self._announced_s = self._now_s
            for name in self.state.workers:
                self._dispatcher.record_announcement(name, self._now_s)

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

    def _take(self, outputs: list[DispatchOutput]) -> None:
        queue = deque(outputs)
        while queue:
            output = queue.popleft()
            if isinstance(output, Propose):
                queue.extend(self._commit(output.command))
            elif isinstance(output, StartRun):
                queue.extend(self._start(output))
            elif isinstance(output, PollWorker):
                self._look(output, queue)

    def _start(self, order: StartRun) -> list[DispatchOutput]:
        self.starts += 1
        name = order.worker.name
        due_s = self._now_s + self._load.run_s
        self._running.append(_Ending(name, order.task, order.number, due_s))
        running = _Running(order.number, self._now_s)
        self._listed.setdefault(name, {})[order.task] = running
        answered = StartAnswered(
            name,
            order.task,
            order.number,
            OrderOutcome.done,
            '',
            self._get_clock_ms(),
        )
        return self._step(answered)

    def _look(
        self,
        order: PollWorker,
        queue: deque[DispatchOutput],
    ) -> None:
        # A look that waits is answered when something has ended, at the
        # moment that ``_end`` chooses; the first one is answered at once.
        if order.wait_ms:
            self._waiting[order.worker.name] = order
        else:
            queue.extend(self._answer_look(order))

    def _answer_look(self, order: PollWorker) -> list[DispatchOutput]:
        name = order.worker.name
        ended = self._ended.get(name, [])
        kept = [one for one in ended if one.position > order.acked_position]
        self._ended[name] = kept
        running = tuple(
            ReportedRun(task, one.number, '', self._get_percent(one))
            for task, one in self._listed.get(name, {}).items()
        )
        answer = WorkerReport(1, self._get_clock_ms(), running, tuple(kept))
        return self._step(
            WorkerPolled(
                name,
                order.fence,
                order.sent_s,
                OrderOutcome.done,
                answer,
            ),
        )

    def _end(self, ending: _Ending) -> None:
        name = ending.worker
        position = self._positions.get(name, 0) + 1
        self._positions[name] = position
        self._listed[name].pop(ending.task)
        self._ended.setdefault(name, []).append(
            ReportedEnd(position, ending.task, ending.number, 'done'),
        )
        look = self._waiting.pop(name, None)
        if look is not None:
            self._take(self._answer_look(look))

    def _step(self, event: DispatchEvent) -> list[DispatchOutput]:
        now_ms = int(self._now_s * _MS)
        return self._dispatcher.step(event, self._now_s, now_ms)

    def _get_percent(self, running: _Running) -> int:
        since_s = self._now_s - running.begun_s
        return min(int(_WHOLE_PERCENT * since_s / self._load.run_s), 99)

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
    """Print what a start takes as fleets grow, and in a queue's peak."""
    for workers in (40, 200, 1900):
        _show(workers, 'even load', _EVEN)
    _show(180, 'a peak', _PEAK)


def _show(workers: int, name: str, load: _Load) -> None:
    found = _Leader(workers, load).run()
    per_start = found.log_bytes / max(found.starts, 1)
    cpu_us = 1_000_000 * found.cpu_s / max(found.starts, 1)
    sys.stdout.write(
        f'{workers:>5} workers, {name}: '
        f'{found.starts / _SECONDS:.0f} starts/s, '
        f'{per_start:.0f} bytes a start in {found.entries} entries, '
        f'{cpu_us:.0f} us a start\n',
    )
