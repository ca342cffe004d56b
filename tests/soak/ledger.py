"""What callers, workers and whoever runs the instances have seen.

Nothing of what the system says of itself counts here. Each broken promise
gives a line that begins with the name of its rule.
"""

from collections import defaultdict
from typing import NamedTuple

_ACCEPTED = range(200, 300)
_REFUSED = frozenset((429, 503))
_GONE = 410
_CAP_SLACK = 1.1


class Bounds(NamedTuple):
    """Hold the users' bounds, in seconds.

    ``touch_s`` is how long nothing must have been disturbed before a rule
    with a time counts, ``thaw_s`` how much a process that wakes may be late.
    """

    touch_s: float = 3.0
    cancel_s: float = 3.0
    drain_s: float = 2.0
    in_force_s: float = 2.0
    revoke_s: float = 5.0
    holder_s: float = 3.0


class Step(NamedTuple):
    """Hold how many tasks a step has, what each takes, and what it needs."""

    task_count: int
    millicores: int
    needs: tuple[int, ...] = ()


class Task(NamedTuple):
    """Name a task by its job and its place there."""

    job: str
    step: int
    position: int


def read_task(name: str) -> Task:
    """Read the dotted name of a task of a job that runs once."""
    job, _, step, position = name.split('.')
    return Task(job, int(step), int(position))


class _Job:
    """Hold one job, what its callers were told, and its tasks."""

    def __init__(self, team: str, steps: tuple[Step, ...]) -> None:
        self.team = team
        self.steps = steps
        self.is_accepted = False
        self.is_doubtful = False
        self.cancelled_s: float | None = None
        self.done: set[Task] = set()

    @property
    def is_done(self) -> bool:
        """Tell whether each task has ended well."""
        return len(self.done) == sum(step.task_count for step in self.steps)


class _Order(NamedTuple):
    holder: str
    token: int
    at_s: float


class Ledger:
    """Take what is seen, and find the promises that it breaks."""

    def __init__(self, bounds: Bounds, caps: dict[str, int]) -> None:
        self.broken: list[str] = []
        self.jobs: dict[str, _Job] = {}
        self.acknowledged_version = 0
        self._bounds = bounds
        self._caps = caps
        self._running: dict[Task, set[str]] = defaultdict(set)
        self._recorded: set[Task] = set()
        self._versions: list[tuple[float, int]] = []
        self._draining: dict[str, float] = {}
        self._revoked: dict[str, float] = {}
        self._orders: dict[str, list[_Order]] = defaultdict(list)
        self._down: dict[int, set[str]] = defaultdict(set)
        self._faults = 0
        self._calm_since_s = float('-inf')

    def note_fault(self, now_s: float, *, is_begun: bool) -> None:
        """Note that a fault begins or ends."""
        self._faults += 1 if is_begun else -1
        self._calm_since_s = now_s

    def note_submitted(
        self,
        name: str,
        team: str,
        steps: tuple[Step, ...],
    ) -> None:
        """Note that a caller is about to send a job."""
        self.jobs.setdefault(name, _Job(team, steps))

    def note_answer(self, name: str, code: int) -> None:
        """Note the answer to a submit, 0 where there was none."""
        job = self.jobs[name]
        if code in _ACCEPTED:
            job.is_accepted = True
        elif code not in _REFUSED:
            job.is_doubtful = True

    def note_cancelled(self, name: str, now_s: float) -> None:
        """Note that a cancellation was confirmed."""
        job = self.jobs[name]
        if job.cancelled_s is None:
            job.cancelled_s = now_s

    def note_state(self, name: str, code: int, state: str) -> None:
        """Note what a caller was told of an accepted job."""
        job = self.jobs[name]
        is_cancelled = job.cancelled_s is not None
        if code == _GONE:
            self._break('LOST', f'{name} is not known any more')
        elif state == 'done' and not job.is_done:
            self._break('MIXED', f'{name} is said to be done, and is not')
        elif state == 'failed' or state == 'cancelled' and not is_cancelled:
            self._break('LOST', f'{name} is said to be {state}')

    def note_start(self, worker: str, task: Task, now_s: float) -> None:
        """Note that a task starts at a worker."""
        job = self.jobs.get(task.job)
        if job is None:
            self._break('UNASKED', f'{task} was never submitted')
            return
        if self._running[task]:
            self._break('TWICE', f'{task} runs at {self._running[task]} too')
        if task in self._recorded:
            self._break('TWICE', f'{task} starts after its end was recorded')
        self._check_needs(job, task)
        self._check_cap(job, task)
        bounds = self._bounds
        if self._is_late(job.cancelled_s, bounds.cancel_s, now_s):
            self._break('UNASKED', f'{task} starts after its cancellation')
        if self._is_late(self._draining.get(worker), bounds.drain_s, now_s):
            self._break('DRAIN', f'{task} starts at {worker}, which drains')
        self._running[task].add(worker)

    def note_end(self, worker: str, task: Task, *, is_done: bool) -> None:
        """Note that a run has ended at a worker."""
        self._running[task].discard(worker)
        if is_done and task.job in self.jobs:
            self.jobs[task.job].done.add(task)

    def note_recorded(self, task: Task) -> None:
        """Note that a good end was acknowledged to its worker."""
        self._recorded.add(task)

    def note_draining(self, worker: str, now_s: float) -> None:
        """Note that a worker's drain was confirmed."""
        self._draining.setdefault(worker, now_s)

    def note_version(self, version: int, now_s: float) -> None:
        """Note that a configuration was confirmed."""
        self.acknowledged_version = max(self.acknowledged_version, version)
        self._versions.append((now_s, version))

    def note_read(self, version: int, sent_s: float) -> None:
        """Note the version that a read, sent at a time, was answered with."""
        due_s = sent_s - self._bounds.in_force_s
        known = [one for at_s, one in self._versions if at_s <= due_s]
        if version < max(known, default=0):
            self._break('CONFIG', f'{version} is read after {max(known)}')

    def note_revoked(self, key: str, now_s: float) -> None:
        """Note that a configuration without the key was confirmed."""
        self._revoked.setdefault(key, now_s)

    def note_key_used(self, key: str, code: int, sent_s: float) -> None:
        """Note the answer to a submit with a key."""
        revoked_s = self._revoked.get(key, float('inf'))
        if code in _ACCEPTED and sent_s > revoked_s + self._bounds.revoke_s:
            self._break('CONFIG', f'{key} works after it was taken away')

    def note_order(
        self,
        instance: str,
        holder: str,
        token: int,
        now_s: float,
    ) -> None:
        """Note an order for an instance, and under which token it came."""
        for order in self._orders[instance]:
            if order.holder != holder and order.token == token:
                self._break('ONE', f'{instance}: two holders of {token}')
            if order.token > token:
                self._break('ONE', f'{instance}: {token} after {order.token}')
            is_near = now_s < order.at_s + self._bounds.holder_s
            if order.holder != holder and is_near:
                self._break('ONE', f'{instance}: two holders in turn')
        self._orders[instance].append(_Order(holder, token, now_s))

    def note_down(self, wave: int, instance: str, cap: int) -> None:
        """Note that an instance goes down for its maintenance."""
        self._down[wave].add(instance)
        if len(self._down[wave]) > cap:
            self._break('LIMIT', f'{self._down[wave]} are down in {wave}')

    def note_up(self, wave: int, instance: str) -> None:
        """Note that an instance is back."""
        self._down[wave].discard(instance)

    def note_wave_done(self, wave: int, missing: set[str]) -> None:
        """Note that a wave is said to be done, without some instances."""
        if missing:
            self._break('MIXED', f'{wave} is done without {missing}')

    def note_ended(self, process: str, code: int) -> None:
        """Note that a process has ended that nobody told to."""
        self._break('ENDED', f'{process} ended by itself with {code}')

    def list_unfinished(self) -> list[str]:
        """Give the accepted jobs that have work left."""
        return [
            name
            for name, job in self.jobs.items()
            if job.is_accepted and job.cancelled_s is None and not job.is_done
        ]

    def finish(self, version: int) -> None:
        """Check what must hold once all is calm and has had its time."""
        for name in self.list_unfinished():
            self._break('LOST', f'{name} has work left')
        for name, job in self.jobs.items():
            is_refused = not (job.is_accepted or job.is_doubtful)
            if is_refused and self._has_begun(name):
                self._break('REFUSED', f'{name} was refused, and runs')
        for task, workers in self._running.items():
            if workers and self.jobs[task.job].cancelled_s is not None:
                self._break('UNASKED', f'{task} runs on after its cancellation')
        if version < self.acknowledged_version:
            self._break('CONFIG', f'{version} is left of a later one')

    def _has_begun(self, name: str) -> bool:
        return any(task.job == name for task in self._running)

    def _check_needs(self, job: _Job, task: Task) -> None:
        for needed in job.steps[task.step].needs:
            ended = sum(one.step == needed for one in job.done)
            if ended < job.steps[needed].task_count:
                self._break('ORDER', f'{task} starts before {needed} is done')

    def _check_cap(self, job: _Job, task: Task) -> None:
        cap = self._caps.get(job.team, 0)
        used = sum(
            self.jobs[one.job].steps[one.step].millicores * len(workers)
            for one, workers in self._running.items()
            if workers and self.jobs[one.job].team == job.team
        )
        if cap and used > cap * _CAP_SLACK:
            self._break('QUOTA', f'{job.team} runs {used} before {task}')

    def _is_late(
        self,
        since_s: float | None,
        bound_s: float,
        now_s: float,
    ) -> bool:
        if since_s is None or now_s < since_s + bound_s or self._faults:
            return False
        return now_s >= self._calm_since_s + self._bounds.touch_s + bound_s

    def _break(self, rule: str, text: str) -> None:
        self.broken.append(f'{rule}: {text}.')
