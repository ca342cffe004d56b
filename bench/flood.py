"""Ten times the usual load for a minute on the core of a control process.

The core of a sole control process gets submissions and retries, and workers
that answer at once. Commands are encoded as in the log; disk syncs and sockets
are left out.
"""

import sys
from collections import Counter, defaultdict, deque
from collections.abc import Iterator
from random import Random
from resource import RUSAGE_SELF, getrusage
from time import perf_counter, process_time
from typing import Any, NamedTuple

from sardinemast import consensus, control
from sardinemast.control._snapshots import encode_snapshot
from sardinemast.dispatch import (
    AdmissionPolicy,
    DispatchSettings,
    MoveAnswered,
    OrderMove,
    OrderOutcome,
    PollWorker,
    ReportedEnd,
    ReportedRun,
    StartAnswered,
    StartRun,
    WorkerPolled,
    WorkerReport,
)
from sardinemast.jobs import (
    Catalog,
    JobRequest,
    Pool,
    Queue,
    Size,
    Step,
    TaskKey,
    Team,
    Worker,
)
from sardinemast.protocol import (
    AnnounceWorker,
    CallOutcome,
    JobAction,
    JobCall,
    ReplaceCatalog,
)

_STEP_S = 0.02
_WARMUP_S = 2.0
_MINUTE_S = 60.0
_CATALOG_INTERVAL_S = 5.0
_ANNOUNCE_INTERVAL_S = 1.5
_RETRIES_MAX = 4
_MS = 1000
_GIB = 2**30
_KEY = 'key'


class _Load(NamedTuple):
    """Describe a queue: its usual rate, its tasks and its workers."""

    name: str
    jobs_per_s: float
    cores: float
    run_s: float
    workers: int


_LOADS = (
    _Load('lookups', 9, 6.2, 0.8, 32),
    _Load('bookings', 1.8, 13, 1.7, 36),
    _Load('quotes', 11.2, 6.2, 0.8, 39),
    _Load('transfers', 2.2, 13, 1.7, 43),
)


class _Attempt(NamedTuple):
    """Hold a call and how often it was refused."""

    call: JobCall
    refusals: int = 0


class _Workers:
    """Answer orders at once, and report each run when it ends."""

    def __init__(self) -> None:
        self.now_s: float = 0
        self._polls: dict[str, PollWorker] = {}
        self._runs: dict[str, dict[TaskKey, int]] = defaultdict(dict)
        self._ends: dict[str, list[ReportedEnd]] = defaultdict(list)
        self._positions: Counter[str] = Counter()
        self._due: dict[float, list[StartRun]] = defaultdict(list)

    def execute(self, order: Any) -> Iterator[control.ControlEvent]:
        """Yield the answer to an order, if it has one now."""
        if isinstance(order, StartRun):
            self._runs[order.worker.name][order.task] = order.number
            run_s = float(order.spec)
            self._due[round(self.now_s + run_s, 2)].append(order)
            yield StartAnswered(
                order.worker.name,
                order.task,
                order.number,
                OrderOutcome.done,
                clock_ms=self._clock_ms,
            )
        elif isinstance(order, PollWorker):
            self._polls[order.worker.name] = order
            if not order.wait_ms or self._list_unseen(order):
                yield self._report(order.worker.name)
        elif isinstance(order, OrderMove):
            yield MoveAnswered(order.instance, order.pool, OrderOutcome.refused)

    def end_due(self) -> Iterator[control.ControlEvent]:
        """End the runs that are due, and yield reports to waiting polls."""
        past = [one for one in self._due if one <= self.now_s]
        for at_s in past:
            for order in self._due.pop(at_s):
                name = order.worker.name
                self._positions[name] += 1
                self._runs[name].pop(order.task)
                self._ends[name].append(
                    ReportedEnd(
                        self._positions[name], order.task, order.number, 'done'
                    )
                )
                if name in self._polls:
                    yield self._report(name)

    @property
    def _clock_ms(self) -> int:
        return _MS + int(self.now_s * _MS)

    def _list_unseen(self, order: PollWorker) -> list[ReportedEnd]:
        name = order.worker.name
        self._ends[name] = [
            one
            for one in self._ends[name]
            if one.position > order.acked_position
        ]
        return self._ends[name]

    def _report(self, name: str) -> WorkerPolled:
        order = self._polls.pop(name)
        runs = tuple(
            ReportedRun(task, number, '', 50)
            for task, number in self._runs[name].items()
        )
        report = WorkerReport(
            1, self._clock_ms, runs, tuple(self._list_unseen(order))
        )
        return WorkerPolled(
            name, order.fence, order.sent_s, OrderOutcome.done, report
        )


class _Flood:
    """Submit jobs to a core, and again by Retry-After when refused."""

    def __init__(self, policy: AdmissionPolicy) -> None:
        self.log_bytes = 0
        self.step_max_s: float = 0
        self.answers: Counter[CallOutcome] = Counter()
        self.catalog_ms: list[float] = []
        self._workers = _Workers()
        self._rng = Random(1)
        self._calls: dict[int, _Attempt] = {}
        self._retries: dict[int, list[_Attempt]] = defaultdict(list)
        self._call_id = 0
        self._has_proposals = False
        self._catalog_version = 0
        self._events: deque[control.ControlEvent] = deque()
        self.core = control.ControlCore(
            control.ControlSettings(
                consensus.ReplicaSettings('c-1', ('c-1',)),
                dispatching=DispatchSettings(admission=policy),
            ),
            consensus.HardState(),
            (),
            Random(1),
        )

    def run(self, times: float) -> None:
        """Run a minute at so many times the usual load."""
        self._advance(_WARMUP_S, 0)
        self._replace_catalog()
        self._advance(_WARMUP_S, 0)
        self.log_bytes = 0
        self._advance(_MINUTE_S, times)

    def _advance(self, seconds: float, times: float) -> None:
        ticks = round(seconds / _STEP_S)
        for tick in range(ticks):
            self._workers.now_s += _STEP_S
            # A write and sync, and the round trip to a majority, take about
            # as long; what is proposed meanwhile shares the next one.
            if self._has_proposals:
                self._has_proposals = False
                self._handle(control.ProposalsDue())
            if tick % round(_ANNOUNCE_INTERVAL_S / _STEP_S) == 0:
                self._announce()
            if times and tick % round(_CATALOG_INTERVAL_S / _STEP_S) == 0:
                self._replace_catalog()
            self._submit_due(times)
            for event in self._workers.end_due():
                self._handle(event)
            self._handle(control.Tick(int(self._workers.now_s * _MS) + 1))

    def _submit_due(self, times: float) -> None:
        for load in _LOADS:
            expected = load.jobs_per_s * times * _STEP_S
            count = int(expected)
            count += self._rng.random() < expected - count
            for _ in range(count):
                self._submit(_Attempt(_make_call(load, self._call_id)))
        tick = round(self._workers.now_s / _STEP_S)
        for attempt in self._retries.pop(tick, ()):
            self._submit(attempt)

    def _submit(self, attempt: _Attempt) -> None:
        self._call_id += 1
        self._calls[self._call_id] = attempt
        self._handle(control.CallReceived(1, self._call_id, attempt.call))

    def _announce(self) -> None:
        for load in _LOADS:
            for number in range(load.workers):
                worker = AnnounceWorker(_make_worker(load, number), 1)
                self._handle(control.CallReceived(2, 0, worker))

    def _replace_catalog(self) -> None:
        self._catalog_version += 1
        catalog = _make_catalog(self._catalog_version)
        started_s = perf_counter()
        call = ReplaceCatalog(catalog, b'{}')
        self._handle(control.CallReceived(3, 0, call))
        self._has_proposals = False
        self._handle(control.ProposalsDue())
        applied = self.core.state.subsystems.jobs.catalog.version
        if applied == self._catalog_version:
            self.catalog_ms.append((perf_counter() - started_s) * _MS)

    def _handle(self, event: control.ControlEvent) -> None:
        self._events.append(event)
        while self._events:
            started_s = perf_counter()
            outputs = self.core.step(
                self._events.popleft(), self._workers.now_s
            )
            self.step_max_s = max(self.step_max_s, perf_counter() - started_s)
            for output in outputs:
                self._execute(output)

    def _execute(self, output: control.ControlOutput) -> None:
        if isinstance(output, control.SendOrder):
            self._events.extend(self._workers.execute(output.order))
        elif isinstance(output, control.ScheduleProposals):
            self._has_proposals = True
        elif isinstance(output, control.ScheduleApply):
            self._events.append(control.ApplyDue())
        elif isinstance(output, consensus.AppendToLog):
            self.log_bytes += sum(len(one.payload) for one in output.entries)
        elif isinstance(output, control.AnswerCall):
            self._handle_answer(output)

    def _handle_answer(self, output: control.AnswerCall) -> None:
        if output.stream_id != 1:
            return
        self.answers[output.answer.outcome] += 1
        attempt = self._calls.pop(output.call_id)
        if output.answer.outcome is not CallOutcome.overloaded:
            return
        if attempt.refusals < _RETRIES_MAX:
            due_s = self._workers.now_s + output.answer.retry_after_s
            self._retries[round(due_s / _STEP_S)].append(
                attempt._replace(refusals=attempt.refusals + 1)
            )


def _make_call(load: _Load, number: int) -> JobCall:
    step = Step(8, Size(int(load.cores * _MS), _GIB), int(load.run_s * _MS))
    steps = (step, step._replace(depends_on=(0,)))
    request = JobRequest(f'{load.run_s:<400}', steps)
    path = f'/{load.name}/{number}-{load.name}'
    return JobCall(JobAction.submit, 'host', path, _KEY, request)


def _make_worker(load: _Load, number: int) -> Worker:
    name = f'{load.name}-{number}'
    return Worker(
        name,
        1,
        f'{name}:80',
        load.name,
        'zone-1',
        'rack-1',
        ('a',),
        Size(64 * _MS, 256 * _GIB),
        f'instance-{name}',
    )


def _make_catalog(version: int) -> Catalog:
    queues = tuple(
        Queue(load.name, 'host', f'/{load.name}/', load.name, 3000, 600)
        for load in _LOADS
    )
    pools = tuple(Pool(load.name) for load in _LOADS)
    return Catalog(version, queues, pools, (Team('team', (_KEY,)),))


def main() -> None:
    """Print memory, log, processor time and time of a configuration."""
    for times in (1, 10):
        for policy in (AdmissionPolicy(enabled=True), AdmissionPolicy()):
            # Without admission, planning takes minutes at ten times the load.
            if policy.enabled or times == 1:
                _print_costs(times, policy)


def _print_costs(times: float, policy: AdmissionPolicy) -> None:
    flood = _Flood(policy)
    started_s = process_time()
    flood.run(times)
    cpu_s = process_time() - started_s
    state = flood.core.state
    jobs = state.subsystems.jobs
    sys.stdout.write(
        f'{times} times the load, admission {policy.enabled}: '
        f'{flood.answers[CallOutcome.done]} accepted, '
        f'{flood.answers[CallOutcome.overloaded]} answers "overloaded", '
        f'{len(jobs.live)} live, {len(jobs.jobs)} kept, '
        f'{flood.log_bytes / 2**20:.1f} MiB of log, '
        f'snapshot {len(encode_snapshot(state)) / 2**20:.1f} MiB, '
        f'process {getrusage(RUSAGE_SELF).ru_maxrss / 2**10:.0f} MiB, '
        f'{cpu_s / _MINUTE_S:.2f} s of processor a second, '
        f'longest step {flood.step_max_s * _MS:.0f} ms, '
        f'configuration at most {max(flood.catalog_ms, default=0):.1f} ms '
        f'of {len(flood.catalog_ms)}\n',
    )
    sys.stdout.flush()
