"""Test that a long-running task runs again soon if its pool has room."""

from builders.durations import LEARNING
from builders.instance_fleets import InstanceFleet
from builders.long_running import RoomObserver
from builders.workers import (
    CORE,
    MIB,
    OTHER_DATA_CENTRE,
    SETTINGS,
    SETTINGS_WITH_RACKS,
    make_catalog,
    make_step,
    make_worker,
)
from sardinemast.jobs import Advice, Size, TaskKey
from sardinemast.jobs.commands import (
    CancelJob,
    DeclareWave,
    EvacuateDataCentre,
    PutCatalog,
)

_FAR_MS = 1_000_000
# Longer than a task may be away and the time to detect it.
_OBSERVED_S = 12.0


def _start_watch(
    fleet: InstanceFleet, count: int = 2, cores: int = 1, **limits: int
) -> None:
    """Start long-running tasks, which are packed onto the first worker."""
    fleet.run(4)
    size = Size(cores * CORE, MIB)
    step = make_step(count, size=size, is_long_running=True, **limits)
    fleet.submit('watch', step)
    fleet.run(1)
    assert len(fleet.workers['w-0'].running) == count


def _add_workers_with_one_free_core(fleet: InstanceFleet) -> None:
    for number in (1, 2):
        rack = f'r-{number}'
        fleet.add_worker(make_worker(number, rack=rack))
        fleet.run(1)
        _start_batch(fleet, cores=3, rack=rack)


def _start_batch(fleet: InstanceFleet, cores: int, rack: str = '') -> None:
    """Start a task that does not end while it is observed."""
    step = make_step(
        1,
        size=Size(cores * CORE, MIB),
        estimate_ms=60_000,
        required_label=rack,
    )
    fleet.submit(f'batch-{fleet.log_length}', step)
    fleet.run(0.5)


def _fail_batch_tasks(fleet: InstanceFleet, count: int) -> None:
    """Fail as many small tasks at once on the only worker."""
    step = make_step(count, size=Size(CORE // 4, MIB))
    fleet.submit('failing', step)
    fleet.run(0.5)
    model = fleet.workers['w-0']
    for task in tuple(model.running):
        if task.job == 'failing':
            model.end(task, 'failed')
    fleet.run(0.2)
    fleet.commit(CancelJob('failing'))
    fleet.run(0.5)


def _declare_wave(fleet: InstanceFleet, *names: str) -> None:
    fleet.commit(DeclareWave(1, names, 1, fleet.now_ms, _FAR_MS))


def test_worker_is_released_when_its_maintenance_is_deferred() -> None:
    """Do not keep a worker cordoned while its maintenance is deferred.

    The wave stops the long-running tasks first. While they wait, the pool
    lacks capacity, which defers the wave before the worker is empty.
    """
    fleet = InstanceFleet(2)
    _start_watch(fleet)
    _start_batch(fleet, cores=1)
    _start_batch(fleet, cores=4)
    _declare_wave(fleet, 'm-0')
    observer = RoomObserver(fleet)
    observer.run(_OBSERVED_S)
    assert not observer.list_overdue()


def test_cordoned_worker_is_released_when_limit_prevents_draining() -> None:
    """Do not keep a worker cordoned whose last task may not be stopped.

    The task that was stopped first fits only there, and until it runs again
    the limit of its step protects the other one. The free capacity of the
    other workers covers its size only in total, so nothing is deferred.
    """
    fleet = InstanceFleet(1, cores=8)
    _start_watch(fleet, cores=2, max_unavailable=1)
    _add_workers_with_one_free_core(fleet)
    _declare_wave(fleet, 'm-0')
    observer = RoomObserver(fleet)
    observer.run(_OBSERVED_S)
    assert not observer.list_overdue()


def test_worker_is_released_while_cap_is_taken() -> None:
    """Do not keep a worker cordoned while other instances use up the cap.

    Standby instances go first, one after the other. The free capacity of the
    other workers covers the task only in total, so nothing is deferred.
    """
    fleet = InstanceFleet(1)
    # Instances without runs go in the order of their names.
    spare = tuple(f'idle-{number}' for number in range(6))
    fleet.instances.standby = set(spare)
    # Instances of an evacuated data centre are not brought into the pool.
    fleet.instances.data_centres = dict.fromkeys(spare, OTHER_DATA_CENTRE)
    fleet.commit(EvacuateDataCentre('', OTHER_DATA_CENTRE))
    _start_watch(fleet, count=1, cores=2)
    _add_workers_with_one_free_core(fleet)
    _declare_wave(fleet, 'm-0', *spare)
    observer = RoomObserver(fleet)
    observer.run(_OBSERVED_S)
    assert not observer.list_overdue()


def test_worker_is_used_after_maintenance_under_the_same_name() -> None:
    """Use a worker that returns from maintenance under its earlier name.

    The session of the earlier boot is continued, and was cordoned.
    """
    fleet = InstanceFleet(1)
    fleet.keeps_names = True
    _start_watch(fleet)
    _declare_wave(fleet, 'm-0')
    observer = RoomObserver(fleet)
    observer.run(_OBSERVED_S)
    assert 'm-0' in fleet.instances.maintenance_orders
    assert not observer.list_overdue()


def test_restarted_worker_is_used_without_backoff() -> None:
    """Do not apply the failures of a worker to its next boot.

    It restarts under the same name, and no other worker has room.
    """
    fleet = InstanceFleet(1)
    _start_watch(fleet)
    _fail_batch_tasks(fleet, 6)
    fleet.restart_worker('w-0')
    observer = RoomObserver(fleet)
    observer.run(_OBSERVED_S)
    assert not observer.list_overdue(has_failure=True)


def test_avoided_worker_is_used_if_no_other_has_room() -> None:
    """Start a long-running task on a worker in backoff if only it has room.

    The backoff lasts much longer than the task may be away.
    """
    fleet = InstanceFleet(1)
    _start_watch(fleet)
    _fail_batch_tasks(fleet, 6)
    model = fleet.workers['w-0']
    for task in tuple(model.running):
        model.end(task, 'lapsed')
    observer = RoomObserver(fleet)
    observer.run(_OBSERVED_S)
    assert not observer.list_overdue(has_failure=True)


def test_forgotten_worker_is_used_after_it_registers_again() -> None:
    """Send orders with a valid fence to a worker that was forgotten.

    It was cut off for long and has not restarted, so it remembers the fences
    of the session that was closed.
    """
    fleet = InstanceFleet(1)
    _start_watch(fleet)
    model = fleet.workers['w-0']
    # An unanswered start raises the fence of the session.
    fleet.starts_to_lose = 1
    _start_batch(fleet, cores=1)
    model.is_unreachable = True
    fleet.run(30)
    assert 'w-0' not in fleet.state.workers
    model.is_unreachable = False
    observer = RoomObserver(fleet)
    observer.run(_OBSERVED_S)
    assert not observer.list_overdue(has_failure=True)


def test_backoff_ends_while_worker_keeps_long_running_tasks() -> None:
    """Let the backoff of a worker end although it is polled all the time.

    Two of its long-running tasks have failed once, far apart in time. No run
    there ever succeeds, since long-running tasks do not end by themselves.
    """
    fleet = InstanceFleet(1)
    _start_watch(fleet, count=3)
    model = fleet.workers['w-0']
    for position in (0, 1):
        fleet.run(20)
        model.end(TaskKey('watch', 0, 0, position), 'failed')
    observer = RoomObserver(fleet)
    observer.run(_OBSERVED_S)
    assert not observer.list_overdue(has_failure=True)


def test_worker_on_probation_runs_long_running_tasks() -> None:
    """Start a long-running task on a worker on probation that has room.

    The other runs there, which take up the quota of a worker on probation,
    may last longer than the task may be away.
    """
    fleet = InstanceFleet(1, SETTINGS_WITH_RACKS)
    _start_watch(fleet)
    model = fleet.workers['w-0']
    for number in range(3):
        fleet.submit(f'job-{number}', make_step(2))
        fleet.run(0.5)
        model.end(TaskKey(f'job-{number}', 0, 0, 0), 'failed')
        fleet.run(0.2)
        model.end(TaskKey(f'job-{number}', 0, 0, 1), 'done')
        fleet.commit(CancelJob(f'job-{number}'))
        fleet.run(0.5)
    assert 'instance.probation m-0' in fleet.logged
    for _ in range(2):
        _start_batch(fleet, cores=1)
    assert len(model.running) == 4
    fleet.run(8)
    model.end(TaskKey('watch', 0, 0, 0), 'lapsed')
    model.end(TaskKey('watch', 0, 0, 1), 'lapsed')
    observer = RoomObserver(fleet)
    observer.run(_OBSERVED_S)
    assert not observer.list_overdue()


def test_slow_worker_is_used_if_no_other_has_room() -> None:
    """Start a long-running task on a slow worker if only it has room.

    It counts as slow again and again, for longer each time, while two of its
    tasks take longer than they declared.
    """
    fleet = InstanceFleet(1)
    _start_watch(fleet)
    model = fleet.workers['w-0']
    fleet.submit('longer', make_step(2))
    model.percent = 3
    for _ in range(60):
        fleet.run(0.5)
        if fleet.logged.count('worker.slow w-0') == 4:
            break
    model.end(TaskKey('watch', 0, 0, 0), 'lapsed')
    model.end(TaskKey('watch', 0, 0, 1), 'lapsed')
    observer = RoomObserver(fleet)
    observer.run(_OBSERVED_S)
    assert not observer.list_overdue()


def test_tickets_are_requested_beside_worker_at_its_limit() -> None:
    """Request tickets although a worker has one that the step cannot use.

    The worker has room, but already runs as many tasks of the step as it may.
    """
    fleet = InstanceFleet(1)
    advice = Advice(decide_ms=100, per_worker_ms=10, valid_ms=30_000)
    fleet.commit(PutCatalog(make_catalog(2, advice=advice), b'{}'))
    fleet.policy.allowed = {'w-0', 'w-1', 'w-2'}
    fleet.run(4)
    step = make_step(2, is_long_running=True, max_per_worker=1)
    fleet.submit('watch', step)
    fleet.run(1)
    for number in (1, 2):
        fleet.add_worker(make_worker(number))
    observer = RoomObserver(fleet)
    observer.run(_OBSERVED_S)
    assert not observer.list_overdue()


def test_long_running_task_starts_while_another_step_is_failing() -> None:
    """Start a long-running task although another step of its job is failing.

    The other tasks of a job are held back once one of them has failed on two
    workers. Its next run may last longer than the task may be away.
    """
    fleet = InstanceFleet(2, SETTINGS._replace(learning=LEARNING))
    catalog = make_catalog(2)
    queue = catalog.queues[0]._replace(max_attempts=4)
    fleet.commit(PutCatalog(catalog._replace(queues=(queue,)), b'{}'))
    fleet.run(4)
    fleet.submit('usual', make_step(2, max_per_worker=1))
    fleet.run(1)
    for model in fleet.workers.values():
        model.end(next(iter(model.running)), 'done')
    batch, watch = TaskKey('job', 0, 0, 0), TaskKey('job', 0, 1, 0)
    fleet.submit('job', make_step(), make_step(is_long_running=True))
    for _ in range(2):
        fleet.run(1)
        fleet.workers[fleet.get_running_workers(batch)[0]].end(batch, 'failed')
    fleet.run(8)
    fleet.workers[fleet.get_running_workers(watch)[0]].end(watch, 'lapsed')
    observer = RoomObserver(fleet)
    observer.run(_OBSERVED_S)
    assert not observer.list_overdue()
