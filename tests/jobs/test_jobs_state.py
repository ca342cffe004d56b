"""State of jobs from submission to end, and its snapshots."""

from builders.workers import (
    QUEUE,
    TEAM,
    make_catalog,
    make_step,
    make_worker,
)
from sardinemast.jobs import (
    DurationKey,
    DurationSummary,
    InstanceRecord,
    JobRequest,
    JobsImage,
    JobsState,
    JobStatus,
    RunEnd,
    Step,
    TaskKey,
    apply_command,
    dump_state,
    load_state,
)
from sardinemast.jobs._durations import DURATION_KEYS_MAX
from sardinemast.jobs.commands import (
    CancelJob,
    Command,
    FinishedRun,
    ForgetWorker,
    NoteDurations,
    NoteInstanceRecords,
    PreemptedRun,
    PreemptRuns,
    PutCatalog,
    RecordRuns,
    RegisterWorker,
    RunStart,
    SubmitJob,
)
from sardinemast.wire import dump_plain, load_plain

_TASK = TaskKey('job', 0, 0, 0)


class _Log:
    """Apply commands to a state in log order."""

    def __init__(self) -> None:
        self.state = JobsState()
        self._index = 0
        self.add(PutCatalog(make_catalog(), b'{}'))
        self.add(RegisterWorker(make_worker(1)))
        self.add(RegisterWorker(make_worker(2)))

    def add(self, command: Command) -> None:
        """Apply a command."""
        self._index += 1
        apply_command(command, self.state, self._index)

    def submit(self, *steps: Step, name: str = 'job') -> None:
        """Submit a job."""
        self.add(SubmitJob(name, QUEUE, TEAM, JobRequest('', steps), 1))

    def start(
        self, task: TaskKey, number: int = 1, worker: str = 'w-1'
    ) -> None:
        """Record a start."""
        self.add(RecordRuns((), (RunStart(task, number, 'w-1'),)))

    def end(self, task: TaskKey, end: RunEnd, number: int = 1) -> None:
        """Record an end."""
        self.add(RecordRuns((FinishedRun(task, number, end),), ()))

    def get_status(self) -> JobStatus:
        """Return the job's status."""
        return self.state.jobs['job'].status


def test_steps_follow_each_other_until_the_job_is_done() -> None:
    """A step must not start before all steps that it depends on are done."""
    log = _Log()
    log.submit(make_step(2), make_step(1, depends_on=(0,)))
    assert log.get_status() is JobStatus.queued
    second = _TASK._replace(step=1)
    log.start(second)
    assert not log.state.runs['w-1']
    for position in range(2):
        log.start(_TASK._replace(position=position))
        log.end(_TASK._replace(position=position), RunEnd.done)
    assert log.get_status() is JobStatus.running
    log.start(second)
    log.end(second, RunEnd.done)
    assert log.get_status() is JobStatus.done


def test_resubmitted_job_is_accepted_once() -> None:
    """A job that is sent again after a lost answer must not run twice."""
    log = _Log()
    log.submit(make_step())
    log.start(_TASK)
    log.submit(make_step(3))
    assert log.state.jobs['job'].request.steps[0].task_count == 1
    assert log.state.runs['w-1']


def test_job_fails_after_max_attempts() -> None:
    """A lost run must not count as one of the two allowed attempts."""
    log = _Log()
    log.submit(make_step())
    log.start(_TASK, 1)
    log.end(_TASK, RunEnd.lost, 1)
    log.start(_TASK, 2)
    log.end(_TASK, RunEnd.failed, 2)
    assert log.get_status() is JobStatus.running
    log.start(_TASK, 3)
    log.end(_TASK, RunEnd.failed, 3)
    assert log.get_status() is JobStatus.failed


def test_long_running_task_restarts_after_any_end() -> None:
    """A long-running job must go on until it is cancelled."""
    log = _Log()
    log.submit(make_step(is_long_running=True))
    for number, end in enumerate((RunEnd.failed, RunEnd.done, RunEnd.failed)):
        log.start(_TASK, number + 1)
        log.end(_TASK, end, number + 1)
    assert log.get_status() is JobStatus.running
    log.add(CancelJob('job'))
    log.start(_TASK, 4)
    assert log.get_status() is JobStatus.cancelled
    assert not log.state.runs['w-1']


def test_gang_finishes_and_fails_as_a_whole() -> None:
    """A failed run of a gang counts once; one success ends all members."""
    log = _Log()
    log.submit(make_step(3, is_gang=True))
    members = [_TASK._replace(position=position) for position in range(3)]
    starts = tuple(RunStart(member, 1, 'w-1') for member in members)
    log.add(RecordRuns((), starts))
    finished = tuple(
        FinishedRun(member, 1, RunEnd.failed) for member in members
    )
    log.add(RecordRuns(finished, ()))
    assert log.get_status() is JobStatus.running
    restarts = tuple(RunStart(member, 2, 'w-2') for member in members)
    log.add(RecordRuns((), restarts))
    log.end(members[1], RunEnd.done, 2)
    assert log.get_status() is JobStatus.done
    assert not log.state.runs['w-2']


def test_new_worker_replaces_the_old_one_of_its_instance() -> None:
    """Tasks of a replaced worker must not wait for the end of its lease."""
    log = _Log()
    log.submit(make_step())
    log.start(_TASK)
    follower = make_worker(1)._replace(name='next', boot_ms=9)
    log.add(RegisterWorker(follower))
    assert 'w-1' not in log.state.workers
    assert 0 in log.state.jobs['job'].steps[0][0].waiting


def test_delayed_command_of_an_earlier_boot_is_ignored() -> None:
    """Delayed commands must not undo the state of a restarted worker."""
    log = _Log()
    log.add(RegisterWorker(make_worker(1, boot_ms=5)))
    log.add(RegisterWorker(make_worker(1, boot_ms=2, is_draining=True)))
    log.add(ForgetWorker('w-1', 2))
    assert log.state.workers['w-1'].boot_ms == 5
    assert not log.state.workers['w-1'].is_draining


def test_restored_snapshot_equals_the_state() -> None:
    """A replica restored from a snapshot must not diverge from the others."""
    log = _Log()
    log.submit(make_step(2), make_step(1, depends_on=(0,)))
    log.submit(make_step(), name='other')
    log.start(_TASK)
    log.add(CancelJob('other'))
    learned = DurationSummary(DurationKey(QUEUE), 2, 500, 900, 1, {3: 20})
    log.add(NoteDurations((learned,)))
    record = InstanceRecord('m-1', 5, failures=100, successes_due=5)
    log.add(NoteInstanceRecords((record, InstanceRecord('unknown', 5, 100))))
    assert log.state.instance_records == {'m-1': record}
    plain = dump_plain(dump_state(log.state))
    copy = load_state(load_plain(JobsImage, plain))
    assert dump_state(copy) == dump_state(log.state)
    assert copy.ready.keys() == log.state.ready.keys()
    assert copy.usage.by_team == log.state.usage.by_team
    assert copy.usage.by_worker == log.state.usage.by_worker


def test_snapshot_without_durations_loads() -> None:
    """Guard against snapshots of older versions that can't be restored."""
    plain = dump_plain(dump_state(_Log().state))
    older = load_plain(JobsImage, plain[:-1])
    assert not load_state(older).durations


def test_durations_in_the_log_are_bounded() -> None:
    """Guard against snapshots that grow with the images of callers."""
    log = _Log()
    queue = DurationKey(QUEUE)
    log.add(NoteDurations((DurationSummary(queue),)))
    for number in range(2 * DURATION_KEYS_MAX):
        key = DurationKey(QUEUE, f'image-{number}')
        log.add(NoteDurations((DurationSummary(key),)))
    assert len(log.state.durations) == DURATION_KEYS_MAX
    assert queue in log.state.durations


def test_preemptions_are_counted_once_and_kept() -> None:
    """Guard against limits lost with a snapshot or used up by one run."""
    log = _Log()
    log.submit(make_step(2))
    log.start(_TASK)
    run = PreemptedRun(_TASK, 1)
    late = PreemptedRun(_TASK._replace(position=1), 1)
    log.add(PreemptRuns((run, run, late)))
    log.end(_TASK, RunEnd.lost)
    plain = dump_plain(dump_state(log.state))
    copy = load_state(load_plain(JobsImage, plain))
    assert copy.jobs['job'].steps[0][0].preempted == {0: (1,)}


def test_snapshot_without_preemptions_is_loaded() -> None:
    """Guard against replicas that can't read an older version's snapshot."""
    log = _Log()
    log.submit(make_step(2))
    image = dump_state(log.state)
    live = image.live[0]
    plain = dump_plain(image)
    plain_live = plain[image._fields.index('live')][0]
    plain_step = plain_live[live._fields.index('steps')][0]
    del plain_step[live.steps[0]._fields.index('preempted') :]
    copy = load_state(load_plain(JobsImage, plain))
    assert copy.jobs['job'].steps[0][0].preempted == {}
    assert list(copy.jobs['job'].steps[0][0].waiting) == [0, 1]
