"""Waves of maintenance, and what lasting tasks may miss."""

from builders.workers import UPKEEP_S, ModelFleet, make_step, make_worker
from sardinemast.jobs import MaintenanceStatus, TaskKey, WaveItem
from sardinemast.jobs.commands import (
    CancelJob,
    DeclareWave,
    ForgetWorker,
    NoteUpkeep,
)

_WORKERS = 4
_FAR_MS = 1_000_000
_INSTANCES = tuple(f'm-{number}' for number in range(_WORKERS))


def _start_lasting(
    fleet: ModelFleet, task_count: int, max_unavailable: int
) -> None:
    fleet.run(4)
    # One a worker, so that each can be emptied or lost alone.
    step = make_step(
        task_count,
        is_long_running=True,
        max_unavailable=max_unavailable,
        max_per_worker=1,
    )
    fleet.submit('watch', step)
    fleet.run(2)


def _declare(
    fleet: ModelFleet,
    cap: int = _WORKERS,
    names: tuple[str, ...] = _INSTANCES,
) -> None:
    wave = DeclareWave(1, names, cap, fleet.now_ms, fleet.now_ms + _FAR_MS)
    fleet.commit(wave)


def _count_at_work(fleet: ModelFleet, task_count: int) -> int:
    tasks = [TaskKey('watch', 0, 0, number) for number in range(task_count)]
    return sum(bool(fleet.get_runs(task)) for task in tasks)


def test_stops_of_one_step_wait_for_each_other() -> None:
    """All workers are emptied at once, and a step may miss one task.

    A look that crosses the order to stop still lists the task. Taken for
    work, it let the next one be stopped, and a class lost two of its four
    balloons' tracks at once.
    """
    fleet = ModelFleet(_WORKERS)
    _start_lasting(fleet, 4, 1)
    for model in fleet.workers.values():
        model.stop_delay_s = 0.4
    for number in range(_WORKERS):
        fleet.add_drain(number)
    fleet.add_worker(make_worker(8))
    fleet.add_worker(make_worker(9))
    for _ in range(300):
        fleet.run(0.05)
        stopping = sum(len(one.stopping) for one in fleet.workers.values())
        away = 4 - _count_at_work(fleet, 4)
        assert stopping + away <= 1


def test_unanswered_stop_is_not_repeated_while_another_task_is_away() -> None:
    """An order to stop is lost, and another task of the step crashes then.

    The stopped task is still at work. Repeated without a look at the others,
    the order took the second track of a class away at the same time.
    """
    fleet = ModelFleet(2)
    _start_lasting(fleet, 2, 1)
    leaving, other = fleet.workers.values()
    assert leaving.running and other.running
    leaving.stop_delay_s = float('inf')
    fleet.add_drain(0)
    fleet.run(0.2)
    assert _count_stops(fleet) == 1
    other.percent = 20
    other.end(next(iter(other.running)), 'failed')
    fleet.run(3)
    assert _count_stops(fleet) == 1


def test_task_that_may_have_begun_to_serve_is_not_stopped() -> None:
    """A task starts up while another one of its step is away.

    What its worker listed last is up to a second old; by now it serves. Its
    stop would leave the class with one track less than promised.
    """
    fleet = ModelFleet(2)
    _start_lasting(fleet, 2, 1)
    starting, other = fleet.workers.values()
    starting.percent = 20
    fleet.run(2)
    other.is_dark = True
    fleet.run(2.2)
    fleet.add_drain(0)
    fleet.run(1.5)
    assert not _count_stops(fleet)


def test_wave_takes_no_more_down_than_its_cap() -> None:
    """A wave names all workers and allows one to be down.

    Two down at once would take a place for a second time out of a pool that
    its queue needs.
    """
    fleet = ModelFleet(_WORKERS)
    _start_lasting(fleet, 2, 1)
    _declare(fleet, cap=1)
    fleet.run(0.5)
    assert len(fleet.instances.upkeeps) == 1
    fleet.run(3)
    assert len(set(fleet.instances.upkeeps)) == 1
    boot_ms = 10
    for _ in range(60):
        fleet.run(0.5)
        down = fleet.instances.upkeeps[-1]
        boot_ms += 1
        fleet.replace_worker(down, boot_ms)
    assert set(fleet.instances.upkeeps) == {
        f'm-{one}' for one in range(_WORKERS)
    }
    items = fleet.state.waves[1].items
    assert all(item.status is MaintenanceStatus.done for item in items)


def test_wave_waits_for_an_instance_that_is_down_for_a_while() -> None:
    """A rack is dark for ten seconds while its instances are due.

    Said to be done without them, the wave would leave them as they are, and
    nobody would ever come back to it.
    """
    fleet = ModelFleet(_WORKERS)
    fleet.instances.refused.add('m-1')
    fleet.instances.down.add('m-1')
    _start_lasting(fleet, 2, 1)
    _declare(fleet, names=('m-1',))
    fleet.run(11)
    waiting = [one.instance for one in _list_left(fleet)]
    assert 'm-1' in waiting
    fleet.run(20)
    waiting = [one.instance for one in _list_left(fleet)]
    assert 'm-1' not in waiting


def test_instance_that_only_moves_is_not_given_up() -> None:
    """An instance refuses because it is moved just now, again and again."""
    fleet = ModelFleet(_WORKERS)
    fleet.instances.refused.add('m-1')
    _start_lasting(fleet, 2, 1)
    _declare(fleet, names=('m-1',))
    fleet.run(40)
    assert 'm-1' in [one.instance for one in _list_left(fleet)]


def test_wave_lets_a_peak_pass_first() -> None:
    """Work waits for room in the pool, and the wave has time.

    Each worker that is emptied then makes callers wait longer.
    """
    fleet = ModelFleet(_WORKERS)
    fleet.run(4)
    fleet.submit('peak', make_step(30))
    fleet.run(0.5)
    _declare(fleet)
    fleet.run(5)
    assert not fleet.instances.upkeeps
    for model in fleet.workers.values():
        for task in tuple(model.running):
            model.end(task, 'done')
    fleet.commit(CancelJob('peak'))
    fleet.run(5)
    assert fleet.instances.upkeeps


def test_next_leader_empties_a_worker_before_it_orders_again() -> None:
    """The leader dies after its order for an instance is in the log.

    It was not carried out, and the worker got new tasks since. Ordered again
    at once, it would take down a balloon's track while another is away.
    """
    fleet = ModelFleet(_WORKERS)
    _start_lasting(fleet, 4, 1)
    worker = next(one for one in fleet.workers.values() if one.running)
    instance = worker.worker.instance
    fleet.instances.refused.add(instance)
    _declare(fleet, names=(instance,))
    ordered = NoteUpkeep(1, instance, MaintenanceStatus.ordered, 1)
    fleet.commit(ordered)
    fleet.elect()
    for _ in range(400):
        known = len(fleet.instances.upkeeps)
        fleet.run(0.05)
        if len(fleet.instances.upkeeps) > known:
            assert not worker.running
    assert fleet.instances.upkeeps


def test_first_word_of_an_unknown_worker_is_not_that_of_a_successor() -> None:
    """An instance is ordered down whose worker has not announced itself yet.

    The word that it sent right before it went down arrives. Taken for its
    successor's, it let one instance more go down than the wave allows, and
    a pool lacked it.
    """
    fleet = ModelFleet(_WORKERS)
    fleet.run(5)
    model = fleet.workers.pop('w-1')
    fleet.commit(ForgetWorker('w-1', model.worker.boot_ms))
    _declare(fleet, cap=1, names=('m-1', 'm-2'))
    fleet.run(0.2)
    assert fleet.instances.upkeeps == ['m-1']
    # It takes its time, and no list shows it as up.
    fleet.instances.away_until_s['m-1'] = fleet.now_s + 10
    fleet.add_worker(make_worker(1, boot_ms=7))
    fleet.run(3)
    assert fleet.instances.upkeeps == ['m-1']


def test_instance_is_not_maintained_while_it_moves() -> None:
    """A wave falls due for an instance that is on its way to another pool.

    The word of its next worker after the move would be taken for the word
    after the maintenance.
    """
    fleet = ModelFleet(1)
    fleet.instances.standby = {'spare'}
    fleet.run(5)
    fleet.submit('peak', make_step(40))
    fleet.run(0.5)
    assert fleet.instances.moves
    _declare(fleet, names=('spare',))
    fleet.run(2)
    assert not fleet.instances.upkeeps
    fleet.run(8)
    assert fleet.instances.upkeeps


def test_instances_that_stand_by_are_maintained_first() -> None:
    """A wave holds instances of a busy pool and many that stand by.

    Those that stood by were counted as one more pool, with all that were down
    just then, and got their turn one by one. Two of 142 had been brought into
    a peak by the time that theirs came, and the wave was late.
    """
    fleet = ModelFleet(_WORKERS)
    spare = tuple(f'spare-{number}' for number in range(6))
    fleet.instances.standby = set(spare)
    fleet.run(5)
    _declare(fleet, cap=8, names=(*_INSTANCES, *spare))
    fleet.run(0.5)
    assert set(spare) <= set(fleet.instances.upkeeps)


def test_instance_that_stands_by_is_back_when_it_is_listed() -> None:
    """One that stands by has no worker that tells when it is back.

    Its turn was taken to last eight seconds where it took two, and others of
    the wave waited for it.
    """
    fleet = ModelFleet(0)
    fleet.instances.standby = {'spare-0', 'spare-1'}
    fleet.run(5)
    _declare(fleet, cap=1, names=('spare-0', 'spare-1'))
    fleet.run(UPKEEP_S - 0.5)
    assert len(fleet.instances.upkeeps) == 1
    fleet.run(3)
    assert len(fleet.instances.upkeeps) == 2
    fleet.run(4)
    assert not _list_left(fleet)


def _count_stops(fleet: ModelFleet) -> int:
    return sum(line.startswith('run.stopped') for line in fleet.logged)


def _list_left(fleet: ModelFleet) -> list[WaveItem]:
    items = fleet.state.waves[1].items
    return [one for one in items if one.status is not MaintenanceStatus.done]
