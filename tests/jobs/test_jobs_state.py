"""Jobs from submit to end, and the same state from its image."""

from builders.workers import (
    QUEUE,
    TEAM,
    make_catalog,
    make_step,
    make_worker,
)
from sardinemast.jobs import (
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
from sardinemast.jobs.commands import (
    CancelJob,
    Command,
    FinishedRun,
    ForgetWorker,
    PutCatalog,
    RecordRuns,
    RegisterWorker,
    RunStart,
    SubmitJob,
)
from sardinemast.wire import dump_plain, load_plain

_TASK = TaskKey('job', 0, 0, 0)


class _Log:
    """Apply commands one after the other."""

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
        """Give the job's status."""
        return self.state.jobs['job'].status


def test_steps_follow_each_other_until_the_job_is_done() -> None:
    """The second step is ready only once the whole first one is done."""
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


def test_job_is_taken_once() -> None:
    """A caller sends the same job again after its answer was lost.

    Taken twice, a school would pay twice.
    """
    log = _Log()
    log.submit(make_step())
    log.start(_TASK)
    log.submit(make_step(3))
    assert log.state.jobs['job'].request.steps[0].task_count == 1
    assert log.state.runs['w-1']


def test_task_that_fails_too_often_ends_its_job() -> None:
    """The queue allows two attempts; only ends by failure count."""
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


def test_lasting_task_starts_again_however_it_ends() -> None:
    """A watch on a balloon goes on until it is cancelled."""
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


def test_gang_ends_and_fails_as_one() -> None:
    """One member's good end stands for all, one failed run counts once."""
    log = _Log()
    log.submit(make_step(3, is_gang=True))
    members = [_TASK._replace(position=position) for position in range(3)]
    starts = tuple(RunStart(member, 1, 'w-1') for member in members)
    log.add(RecordRuns((), starts))
    overs = tuple(FinishedRun(member, 1, RunEnd.failed) for member in members)
    log.add(RecordRuns(overs, ()))
    assert log.get_status() is JobStatus.running
    again = tuple(RunStart(member, 2, 'w-2') for member in members)
    log.add(RecordRuns((), again))
    log.end(members[1], RunEnd.done, 2)
    assert log.get_status() is JobStatus.done
    assert not log.state.runs['w-2']


def test_next_worker_of_an_instance_ends_the_one_before() -> None:
    """An instance was maintained, and its next worker announces itself.

    The tasks of the one before need not wait for the end of its lease.
    """
    log = _Log()
    log.submit(make_step())
    log.start(_TASK)
    follower = make_worker(1)._replace(name='next', boot_ms=9)
    log.add(RegisterWorker(follower))
    assert 'w-1' not in log.state.workers
    assert 0 in log.state.jobs['job'].steps[0][0].waiting


def test_late_word_of_an_earlier_boot_changes_nothing() -> None:
    """A word was held up while its worker crashed and started again."""
    log = _Log()
    log.add(RegisterWorker(make_worker(1, boot_ms=5)))
    log.add(RegisterWorker(make_worker(1, boot_ms=2, is_draining=True)))
    log.add(ForgetWorker('w-1', 2))
    assert log.state.workers['w-1'].boot_ms == 5
    assert not log.state.workers['w-1'].is_draining


def test_state_from_its_image_goes_on_the_same() -> None:
    """A replica that comes from a snapshot must not differ from the others."""
    log = _Log()
    log.submit(make_step(2), make_step(1, depends_on=(0,)))
    log.submit(make_step(), name='other')
    log.start(_TASK)
    log.add(CancelJob('other'))
    plain = dump_plain(dump_state(log.state))
    copy = load_state(load_plain(JobsImage, plain))
    assert dump_state(copy) == dump_state(log.state)
    assert copy.ready.keys() == log.state.ready.keys()
    assert copy.usage.by_team == log.state.usage.by_team
    assert copy.usage.by_worker == log.state.usage.by_worker
