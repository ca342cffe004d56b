"""Check the guarantees of the system against what its clients observe.

Callers, workers and the instance server report observations; logs and metrics
of the system are not used. Each violation adds a line to ``broken`` that
begins with the name of its rule.
"""

from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

_ACCEPTED = range(200, 300)
_REFUSED = frozenset((429, 503))
_GONE = 410
_CAP_SLACK = 1.1


class Bounds(NamedTuple):
    """Store the time limits within which each guarantee must take effect.

    ``recovery_s`` is the recovery time after the last fault, which is added to
    the limits for cancellations and drains. A long-running task must run within
    ``restart_s`` of its last run, once there has been room for it for
    ``restart_room_s`` and no fault for ``restart_calm_s``.
    """

    recovery_s: float = 3.0
    cancel_s: float = 3.0
    drain_s: float = 2.0
    in_force_s: float = 2.0
    revoke_s: float = 5.0
    holder_s: float = 3.0
    restart_s: float = 6.0
    restart_room_s: float = 3.0
    restart_calm_s: float = 7.0


class Step(NamedTuple):
    """Describe a step: its task count, CPU per task and required steps."""

    task_count: int
    millicores: int
    required_steps: tuple[int, ...] = ()
    is_long_running: bool = False


class Task(NamedTuple):
    """Identify a task by its job, its step and its position in the step."""

    job: str
    step: int
    position: int


def read_task(name: str) -> Task:
    """Parse a dotted task name, and drop the occurrence of its job."""
    job, _, step, position = name.split('.')
    return Task(job, int(step), int(position))


class _Job:
    """Store a job, the answers its caller received, and its finished tasks."""

    def __init__(self, team: str, steps: tuple[Step, ...]) -> None:
        self.team = team
        self.steps = steps
        self.is_accepted = False
        self.accepted_s: float = 0
        self.is_outcome_unknown = False
        self.cancelled_s: float | None = None
        self.done: set[Task] = set()

    @property
    def is_done(self) -> bool:
        """Check whether all tasks have succeeded."""
        return len(self.done) == sum(step.task_count for step in self.steps)

    @property
    def is_owed(self) -> bool:
        """Check whether the job was accepted and is not cancelled."""
        return self.is_accepted and self.cancelled_s is None

    def list_long_running(self, name: str) -> list[Task]:
        """Return the tasks that run until the job is cancelled."""
        return [
            Task(name, number, position)
            for number, step in enumerate(self.steps)
            if step.is_long_running
            for position in range(step.task_count)
        ]


class _Order(NamedTuple):
    holder: str
    token: int
    at_s: float


class Ledger:
    """Record observations, and list the rules that they violate."""

    def __init__(self, bounds: Bounds, caps: dict[str, int]) -> None:
        self.broken: list[str] = []
        self.jobs: dict[str, _Job] = {}
        self.acknowledged_version = 0
        self.acknowledgement_count = 0
        # Receives an event and its details.
        self.log_event: Callable[..., None] = _ignore
        self._bounds = bounds
        self._caps = caps
        self._running: dict[Task, set[str]] = defaultdict(set)
        self._recorded: set[Task] = set()
        self._last_run_s: dict[Task, float] = {}
        self._room_since_s: dict[Task, float] = {}
        self._versions: list[tuple[float, int]] = []
        self._draining: dict[str, float] = {}
        self._revoked: dict[str, float] = {}
        self._orders: dict[str, list[_Order]] = defaultdict(list)
        self._down: dict[int, set[str]] = defaultdict(set)
        self._active_faults = 0
        self._fault_changed_s = float('-inf')

    def note_fault(self, now_s: float, *, is_begun: bool) -> None:
        """Record that a fault begins or ends."""
        self._active_faults += 1 if is_begun else -1
        self._fault_changed_s = now_s

    def note_stall(self, now_s: float) -> None:
        """Record that the host has just stalled, as after a fault."""
        self._fault_changed_s = now_s

    def note_submitted(
        self,
        name: str,
        team: str,
        steps: tuple[Step, ...],
    ) -> None:
        """Record that a caller is about to submit a job."""
        self.jobs.setdefault(name, _Job(team, steps))

    def note_response(self, name: str, code: int, now_s: float = 0) -> None:
        """Record the status code of a submission, 0 for no response."""
        job = self.jobs[name]
        if code in _ACCEPTED:
            job.is_accepted = True
            job.accepted_s = now_s
            self.acknowledgement_count += 1
        elif code not in _REFUSED:
            job.is_outcome_unknown = True

    def note_cancelled(self, name: str, now_s: float) -> None:
        """Record that a cancellation was confirmed."""
        job = self.jobs[name]
        if job.cancelled_s is None:
            job.cancelled_s = now_s
            self.acknowledgement_count += 1

    def note_state(self, name: str, code: int, state: str) -> None:
        """Check the state that a caller read for an accepted job."""
        job = self.jobs[name]
        is_cancelled = job.cancelled_s is not None
        if code == _GONE:
            self._report_violation(
                'LOST', f'{name} was accepted and is now unknown'
            )
        elif state == 'done' and not job.is_done:
            self._report_violation(
                'MIXED', f'{name} is reported done with unfinished tasks'
            )
        elif state == 'failed' or state == 'cancelled' and not is_cancelled:
            self._report_violation('LOST', f'{name} is reported {state}')

    def note_start(self, worker: str, task: Task, now_s: float) -> None:
        """Check and record that a task starts on a worker."""
        job = self.jobs.get(task.job)
        if job is None:
            self._report_violation('UNASKED', f'{task} was never submitted')
            return
        if self._running[task]:
            self._report_violation(
                'TWICE', f'{task} already runs on {self._running[task]}'
            )
        if task in self._recorded:
            self._report_violation(
                'TWICE', f'{task} starts after its success was recorded'
            )
        self._check_required_steps(job, task)
        self._check_cap(job, task)
        bounds = self._bounds
        if self._is_late(job.cancelled_s, bounds.cancel_s, now_s):
            self._report_violation(
                'UNASKED', f'{task} starts after its cancellation'
            )
        if self._is_late(self._draining.get(worker), bounds.drain_s, now_s):
            self._report_violation(
                'DRAIN', f'{task} starts on draining worker {worker}'
            )
        self.log_event('start', worker=worker, task=task)
        self._running[task].add(worker)

    def note_end(
        self, worker: str, task: Task, *, is_done: bool, now_s: float = 0
    ) -> None:
        """Record that a task no longer runs on a worker."""
        self.log_event('end', worker=worker, task=task, is_done=is_done)
        self._running[task].discard(worker)
        self._last_run_s[task] = now_s
        if is_done and task.job in self.jobs:
            self.jobs[task.job].done.add(task)

    def note_recorded(self, task: Task) -> None:
        """Record that the system acknowledged the success of a task."""
        self.log_event('recorded', task=task)
        self._recorded.add(task)

    def note_unreadable(self, name: str) -> None:
        """Record that the state of an accepted job could not be read."""
        self._report_violation('LOST', f'{name} was accepted: no answer')

    def note_draining(self, worker: str, now_s: float) -> None:
        """Record that the system confirmed that a worker drains."""
        if worker not in self._draining:
            self._draining[worker] = now_s
            self.acknowledgement_count += 1

    def note_version(self, version: int, now_s: float) -> None:
        """Record that a configuration version was confirmed."""
        self.acknowledged_version = max(self.acknowledged_version, version)
        self.acknowledgement_count += 1
        self._versions.append((now_s, version))

    def note_read(self, version: int, sent_s: float) -> None:
        """Check that a read sent at ``sent_s`` returned no outdated version."""
        due_s = sent_s - self._bounds.in_force_s
        confirmed = [
            earlier for at_s, earlier in self._versions if at_s <= due_s
        ]
        if version < max(confirmed, default=0):
            self._report_violation(
                'CONFIG', f'version {version} is read after {max(confirmed)}'
            )

    def note_revoked(self, key: str, now_s: float) -> None:
        """Record that a configuration without the key was confirmed."""
        self._revoked.setdefault(key, now_s)

    def note_key_used(self, key: str, code: int, sent_s: float) -> None:
        """Check that a revoked key is no longer accepted for a submission."""
        revoked_s = self._revoked.get(key, float('inf'))
        if code in _ACCEPTED and sent_s > revoked_s + self._bounds.revoke_s:
            self._report_violation(
                'CONFIG', f'{key} is accepted after it was revoked'
            )

    def note_order(
        self,
        instance: str,
        holder: str,
        token: int,
        now_s: float,
    ) -> None:
        """Check the lease holder and the fencing token of an instance order."""
        for order in self._orders[instance]:
            if order.holder != holder and order.token == token:
                self._report_violation(
                    'ONE', f'{instance}: two lease holders with token {token}'
                )
            if order.token > token:
                self._report_violation(
                    'ONE', f'{instance}: token {token} after {order.token}'
                )
            is_near = now_s < order.at_s + self._bounds.holder_s
            if order.holder != holder and is_near:
                self._report_violation(
                    'ONE', f'{instance}: lease holder changed too soon'
                )
        self._orders[instance].append(_Order(holder, token, now_s))

    def note_down(self, wave: int, instance: str, cap: int) -> None:
        """Check the limit of a wave when an instance goes down."""
        self._down[wave].add(instance)
        if len(self._down[wave]) > cap:
            self._report_violation(
                'LIMIT', f'{self._down[wave]} are down in wave {wave}'
            )

    def note_up(self, wave: int, instance: str) -> None:
        """Record that an instance is up again after its maintenance."""
        self._down[wave].discard(instance)

    def note_wave_done(self, wave: int, missing: set[str]) -> None:
        """Check that a wave reported as done has missed no instance."""
        if missing:
            self._report_violation(
                'MIXED', f'wave {wave} is reported done without {missing}'
            )

    def note_wave_begun(self) -> None:
        """Record that a wave was confirmed."""
        self.acknowledgement_count += 1

    def note_wave_unknown(self, wave: int) -> None:
        """Record that a confirmed wave is unknown."""
        self._report_violation('LOST', f'wave {wave} was confirmed')

    def check_long_running(
        self, now_s: float, free_millicores: tuple[int, ...]
    ) -> None:
        """Check that stopped long-running tasks run again in time.

        ``free_millicores`` holds the free CPU of each healthy worker.
        """
        bounds = self._bounds
        for task in self.list_stopped():
            job = self.jobs[task.job]
            last_run_s = self._last_run_s.get(task, job.accepted_s)
            if not self._has_room(task, free_millicores):
                self._room_since_s.pop(task, None)
                continue
            room_since_s = self._room_since_s.setdefault(task, now_s)
            due_s = max(
                last_run_s + bounds.restart_s,
                room_since_s + bounds.restart_room_s,
                self._fault_changed_s + bounds.restart_calm_s,
            )
            if now_s >= due_s and not self._active_faults:
                waited_s = round(now_s - last_run_s, 1)
                self._report_violation(
                    'LOST', f'{task} has not run for {waited_s} s'
                )
                # Reports the task again only after it has waited as long again.
                self._last_run_s[task] = now_s

    def note_ended(self, process: str, code: int) -> None:
        """Record that a process exited without being told to."""
        self._report_violation(
            'ENDED', f'{process} exited unexpectedly with code {code}'
        )

    def list_unfinished(self) -> list[str]:
        """Return the accepted, not cancelled jobs with unfinished tasks.

        Jobs with long-running tasks, which never finish, are left out.
        """
        return [
            name
            for name, job in self.jobs.items()
            if job.is_owed
            and not job.is_done
            and not job.list_long_running(name)
        ]

    def list_stopped(self) -> list[Task]:
        """Return the accepted long-running tasks that do not run."""
        return [
            task
            for name, job in self.jobs.items()
            if job.is_owed
            for task in job.list_long_running(name)
            if not self._running.get(task)
        ]

    def list_owed(self) -> list[str]:
        """Return the accepted jobs that are not cancelled."""
        return [name for name, job in self.jobs.items() if job.is_owed]

    def finish(self, version: int) -> None:
        """Check the rules that hold once faults and traffic have ended."""
        for name in self.list_unfinished():
            self._report_violation('LOST', f'{name} has unfinished tasks')
        for name, job in self.jobs.items():
            is_refused = not (job.is_accepted or job.is_outcome_unknown)
            if is_refused and self._has_begun(name):
                self._report_violation('REFUSED', f'{name} was refused and ran')
        for task, workers in self._running.items():
            if workers and self.jobs[task.job].cancelled_s is not None:
                self._report_violation(
                    'UNASKED', f'{task} runs on after its cancellation'
                )
        if version < self.acknowledged_version:
            self._report_violation(
                'CONFIG', f'version {version} is older than the confirmed one'
            )

    def _has_room(self, task: Task, free_millicores: tuple[int, ...]) -> bool:
        job = self.jobs[task.job]
        needed = 2 * job.steps[task.step].millicores
        if needed > max(free_millicores, default=0):
            return False
        cap = self._caps.get(job.team, 0)
        return not cap or 2 * self._count_used(job.team) < cap

    def _count_used(self, team: str) -> int:
        return sum(
            self.jobs[task.job].steps[task.step].millicores * len(workers)
            for task, workers in self._running.items()
            if workers and self.jobs[task.job].team == team
        )

    def _has_begun(self, name: str) -> bool:
        return any(task.job == name for task in self._running)

    def _check_required_steps(self, job: _Job, task: Task) -> None:
        for required_step in job.steps[task.step].required_steps:
            ended = sum(done.step == required_step for done in job.done)
            if ended < job.steps[required_step].task_count:
                self._report_violation(
                    'ORDER',
                    f'{task} starts before step {required_step} is done',
                )

    def _check_cap(self, job: _Job, task: Task) -> None:
        cap = self._caps.get(job.team, 0)
        used = self._count_used(job.team)
        if cap and used > cap * _CAP_SLACK:
            self._report_violation(
                'QUOTA', f'{job.team} uses {used} millicores before {task}'
            )

    def _is_late(
        self,
        since_s: float | None,
        bound_s: float,
        now_s: float,
    ) -> bool:
        if since_s is None or now_s < since_s + bound_s or self._active_faults:
            return False
        return (
            now_s >= self._fault_changed_s + self._bounds.recovery_s + bound_s
        )

    def _report_violation(self, rule: str, text: str) -> None:
        self.broken.append(f'{rule}: {text}.')


def _ignore(event: str, **details: object) -> None:
    """Drop an event."""
