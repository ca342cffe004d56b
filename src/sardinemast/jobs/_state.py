"""Replicated state of jobs, queues and workers."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from sardinemast.jobs._critical_paths import compute_critical_paths_ms
from sardinemast.jobs._data_centres import DataCentres
from sardinemast.jobs._durations import DurationKey, DurationSummary
from sardinemast.jobs._free_capacity import FreeCapacity
from sardinemast.jobs._instance_records import InstanceRecord
from sardinemast.jobs._records import (
    EMPTY_CATALOG,
    ZERO_SIZE,
    Catalog,
    JobRequest,
    JobStatus,
    Queue,
    Run,
    Step,
    StepKey,
    TaskKey,
    Wave,
    Worker,
)
from sardinemast.jobs._teams import Teams
from sardinemast.jobs._worker_index import WorkerIndex
from sardinemast.placement import Size


class StepState:
    """Track which tasks of a step are waiting, running and done.

    Tasks are known by their position. ``run_numbers`` holds the latest run of
    each task, ``checkpoints`` the latest checkpoint of an unfinished one.
    ``failures`` counts the failed runs of each task; key -1 holds the number
    of the latest failed run. ``preempted`` holds the runs of each task that
    gave way to other tasks.
    """

    __slots__ = (
        'checkpoints',
        'done',
        'failures',
        'key',
        'preempted',
        'run_numbers',
        'running',
        'spec',
        'waiting',
    )

    def __init__(self, key: StepKey, spec: Step) -> None:
        self.key = key
        self.spec = spec
        self.waiting: dict[int, None] = dict.fromkeys(range(spec.task_count))
        self.running: dict[int, Run] = {}
        self.done: set[int] = set()
        self.run_numbers: dict[int, int] = {}
        self.failures: dict[int, int] = {}
        self.checkpoints: dict[int, str] = {}
        self.preempted: dict[int, tuple[int, ...]] = {}

    @property
    def is_done(self) -> bool:
        """Check whether all tasks have succeeded."""
        return len(self.done) == self.spec.task_count

    def get_task(self, index: int) -> TaskKey:
        """Return the key of a task."""
        return TaskKey(*self.key, index)

    def get_next_run_number(self, index: int) -> int:
        """Return the number of the next run; a gang has one for all."""
        if self.spec.is_gang:
            return max(self.run_numbers.values(), default=0) + 1
        return self.run_numbers.get(index, 0) + 1

    def can_start(self, index: int, number: int) -> bool:
        """Check whether a run with this number may start now.

        The members of a gang start one by one with the same number.
        """
        if index not in self.waiting:
            return False
        if self.spec.is_gang and self.running:
            run_numbers = {run.number for run in self.running.values()}
            return (
                run_numbers == {number}
                and self.run_numbers.get(index, 0) < number
            )
        return number == self.get_next_run_number(index)


class JobState:
    """Hold a job and the steps of each occurrence that has begun.

    ``critical_paths_ms`` holds, by step, the estimated length of the critical
    path from the start of that step to the end of the job. ``is_within_rate``
    is false if the team had exceeded its rate when it submitted the job.
    """

    __slots__ = (
        'critical_paths_ms',
        'is_done',
        'has_started',
        'is_cancelled',
        'is_failed',
        'is_within_rate',
        'log_index',
        'name',
        'queue',
        'request',
        'steps',
        'submitted_ms',
        'team',
    )

    def __init__(
        self,
        name: str,
        queue: Queue,
        team: str,
        request: JobRequest,
        log_index: int,
        submitted_ms: int,
    ) -> None:
        self.name = name
        self.queue = queue
        self.team = team
        self.request = request
        self.log_index = log_index
        self.submitted_ms = submitted_ms
        self.critical_paths_ms = compute_critical_paths_ms(request.steps)
        self.is_done = False
        self.has_started = False
        self.is_cancelled = False
        self.is_failed = False
        self.is_within_rate = True
        self.steps: dict[int, list[StepState]] = {}

    @property
    def is_over(self) -> bool:
        """Check whether the job is done, failed or cancelled."""
        return self.is_cancelled or self.is_failed or self.is_done

    @property
    def status(self) -> JobStatus:
        """Return the status that callers see."""
        if self.is_cancelled:
            return JobStatus.cancelled
        if self.is_failed:
            return JobStatus.failed
        if self.is_done:
            return JobStatus.done
        return JobStatus.running if self.has_started else JobStatus.queued

    def open_occurrence(self, occurrence: int) -> list[StepState]:
        """Create and return the steps of an occurrence."""
        new_steps = [
            StepState(StepKey(self.name, occurrence, place), step)
            for place, step in enumerate(self.request.steps)
        ]
        self.steps[occurrence] = new_steps
        return new_steps

    def is_ready(self, step: StepState) -> bool:
        """Check whether all dependencies of a step are done."""
        steps = self.steps[step.key.occurrence]
        return all(steps[needed].is_done for needed in step.spec.depends_on)

    def iterate_steps(self) -> Iterator[StepState]:
        """Yield the steps of all occurrences that have begun."""
        for steps in self.steps.values():
            yield from steps


class Usage:
    """Hold the resources that runs use, by worker and by team.

    ``best_effort_counts`` counts the best-effort runs on each worker.
    ``latency_sensitive_counts`` counts the runs that have a limit on their
    tail latency, which best-effort runs may disturb. ``by_queue`` holds the
    millicores of the tasks that end by themselves, by queue and team.
    """

    def __init__(self) -> None:
        self.by_worker: dict[str, Size] = {}
        self.free = FreeCapacity()
        self.by_team: dict[str, Size] = {}
        self.by_queue: dict[str, Counter[str]] = defaultdict(Counter)
        self.best_effort_counts: Counter[str] = Counter()
        self.latency_sensitive_counts: Counter[str] = Counter()

    def charge(self, step: Step, worker: str, team: str, sign: int) -> None:
        """Add (sign 1) or remove (sign -1) the usage of a run."""
        team_usage = self.by_team.get(team, ZERO_SIZE)
        self.by_team[team] = team_usage.plus(step.size, sign)
        worker_usage = self.by_worker.get(worker, ZERO_SIZE)
        self.by_worker[worker] = worker_usage.plus(step.reserved_size, sign)
        self.free.change(worker, step.reserved_size, -sign)
        if step.is_best_effort:
            self.best_effort_counts[worker] += sign
        if step.tail_latency_limit_ms:
            self.latency_sensitive_counts[worker] += sign

    def put_worker(self, worker: Worker) -> None:
        """Add or update a worker."""
        self.free.put(worker, self.by_worker.get(worker.name, ZERO_SIZE))

    def drop_worker(self, worker: str) -> None:
        """Remove a worker that has no runs."""
        self.free.drop(worker)
        self.by_worker.pop(worker, None)
        self.best_effort_counts.pop(worker, None)
        self.latency_sensitive_counts.pop(worker, None)


class JobsState:
    """Hold catalog, jobs, workers and waves at one log index.

    ``live`` holds the jobs that are not over, ``ended`` the names of those
    that are, in the order of their ends. ``ready`` holds the steps whose tasks
    may start. ``runs`` maps a worker to the tasks that may still run there,
    with their run numbers.

    ``home_pools`` maps an instance to the pool of its first worker; it is
    empty for an instance that was first seen in a move. ``last_order_ms`` maps
    an instance to the Unix time of its latest maintenance or move order; 0 is
    unknown, as in snapshots of older versions. ``durations`` holds what was
    learned of run times, the least recently changed first.
    """

    def __init__(self) -> None:
        self.catalog: Catalog = EMPTY_CATALOG
        self.source = b''
        self.teams = Teams()
        self.queues: dict[str, Queue] = {}
        self._queues_by_place: dict[tuple[str, str], Queue] = {}
        self.pools: frozenset[str] = frozenset()
        self.jobs: dict[str, JobState] = {}
        self.ended: dict[str, None] = {}
        self.live: dict[str, JobState] = {}
        self.ready: dict[StepKey, StepState] = {}
        self.workers: dict[str, Worker] = {}
        self.worker_index = WorkerIndex()
        self.runs: dict[str, dict[TaskKey, int]] = {}
        self.usage = Usage()
        self.waves: dict[int, Wave] = {}
        self.home_pools: dict[str, str] = {}
        self.last_order_ms: dict[str, int] = {}
        self.data_centres = DataCentres()
        self.durations: dict[DurationKey, DurationSummary] = {}
        self.instance_records: dict[str, InstanceRecord] = {}

    def put_catalog(self, catalog: Catalog, source: bytes) -> None:
        """Activate a catalog, and give all jobs to its queues."""
        self.catalog = catalog
        self.source = source
        self.teams.replace(catalog.teams)
        self.queues = {queue.name: queue for queue in catalog.queues}
        self.pools = frozenset(pool.name for pool in catalog.pools)
        self._queues_by_place = {one.place: one for one in catalog.queues}
        for job in self.jobs.values():
            self._change_queue(job, self.get_current_queue(job.queue))

    def get_current_queue(self, queue: Queue) -> Queue:
        """Return the queue that the jobs of an earlier one belong to now.

        Callers name a job by host and path and do not know the name of its
        queue. So a job stays where it was submitted, whatever the queue there
        is called. If none is left there, it follows the policy of the name.
        """
        current = self._queues_by_place.get(queue.place)
        if current is not None:
            return current
        named = self.queues.get(queue.name, queue)
        return named._replace(host=queue.host, prefix=queue.prefix)

    def serves(self, queue: Queue, job: JobState) -> bool:
        """Check whether callers reach a job at the place of a queue.

        A job whose own place is gone is reached where its queue went.
        """
        if job.queue.place in self._queues_by_place:
            return job.queue.place == queue.place
        return job.queue.name == queue.name

    def put_worker(self, worker: Worker) -> None:
        """Add or update a worker."""
        known = self.workers.get(worker.name)
        if known is not None:
            self.worker_index.drop(known)
        self.workers[worker.name] = worker
        self.worker_index.put(worker)
        self.data_centres.record(worker.data_centre)
        self.runs.setdefault(worker.name, {})
        self.usage.put_worker(worker)

    def drop_worker(self, name: str) -> None:
        """Remove a worker that has no runs."""
        self.worker_index.drop(self.workers.pop(name))
        self.runs.pop(name, None)
        self.usage.drop_worker(name)

    def find_step(self, task: TaskKey) -> StepState | None:
        """Return the step of a task, or None if it is unknown."""
        job = self.jobs.get(task.job)
        if job is None or task.occurrence not in job.steps:
            return None
        steps = job.steps[task.occurrence]
        return steps[task.step] if task.step < len(steps) else None

    def get_job(self, step: StepState) -> JobState:
        """Return the job of a step."""
        return self.jobs[step.key.job]

    def get_queue(self, step: StepState) -> Queue:
        """Return the queue of a step's job."""
        return self.jobs[step.key.job].queue

    def get_free(self, worker: Worker) -> Size:
        """Return the unreserved capacity of a worker."""
        return self.usage.free.get(worker.name)

    def add_run(self, step: StepState, index: int, run: Run) -> None:
        """Add a run and reserve its capacity."""
        step.waiting.pop(index, None)
        step.running[index] = run
        step.run_numbers[index] = run.number
        self.runs.setdefault(run.worker, {})[step.get_task(index)] = run.number
        self._charge(step, run.worker, 1)

    def remove_run(self, step: StepState, index: int) -> None:
        """Remove an ended run and release its capacity."""
        run = step.running.pop(index)
        self.runs[run.worker].pop(step.get_task(index), None)
        self._charge(step, run.worker, -1)

    def _change_queue(self, job: JobState, queue: Queue) -> None:
        """Set the queue of a job, which its runs count for from then on."""
        counted: list[StepState] = []
        if queue.name != job.queue.name:
            for step in job.iterate_steps():
                counted.extend(step for _ in step.running)
        for leaving in counted:
            self._charge_queue(leaving, -1)
        job.queue = queue
        for arriving in counted:
            self._charge_queue(arriving, 1)

    def _charge(self, step: StepState, worker: str, sign: int) -> None:
        job = self.get_job(step)
        self.usage.charge(step.spec, worker, job.team, sign)
        self._charge_queue(step, sign)

    def _charge_queue(self, step: StepState, sign: int) -> None:
        if not step.spec.is_long_running:
            job = self.get_job(step)
            millicores = sign * step.spec.reserved_size.millicores
            self.usage.by_queue[job.queue.name][job.team] += millicores
