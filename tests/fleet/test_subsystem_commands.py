"""Commands of maintenance and placement in the fleet's log."""

from random import Random

from builders import make_announcement, make_fleet
from sardinemast import maintenance, placement
from sardinemast.fleet import (
    COMMANDS,
    AssignInstance,
    Command,
    FleetState,
    RegisterEntry,
    apply_command,
    dump_state,
    load_state,
)
from sardinemast.fleet._entry_updates import dump_for_entry, make_entry_update
from sardinemast.routing._picker import UpstreamCriteria, UpstreamPicker

_BUDGETS = maintenance.Budgets(
    (
        maintenance.PoolBudget('enrolment', 1),
        maintenance.PoolBudget('spare', 1),
    ),
    (),
    'spare',
)


def _apply(state: FleetState, *log: Command) -> None:
    for command in log:
        apply_command(
            state,
            COMMANDS.decode(COMMANDS.encode(command)),
            state.log_index + 1,
        )


def _make_moving() -> FleetState:
    state = make_fleet()
    _apply(
        state,
        RegisterEntry('entry-1', 7),
        maintenance.commands.SetBudgets('b', _BUDGETS),
        maintenance.commands.EnrolInstance(
            'enrol-1', 'brittany', 'rennes', 'rack-1', 'enrolment', 1.0
        ),
    )
    enrolled = state.subsystems.maintenance.instances['enrol-1']
    proved = maintenance.commands.ConditionChange(
        'enrol-1',
        enrolled.changed_index,
        maintenance.Condition.serving,
    )
    _apply(state, maintenance.commands.ChangeConditions((proved,), 2.0))
    serving = state.subsystems.maintenance.instances['enrol-1']
    start = maintenance.commands.StepStart(
        'enrol-1',
        serving.changed_index,
        maintenance.StepKind.move,
        target_pool='spare',
    )
    _apply(state, maintenance.commands.StartSteps((start,), 3.0))
    return state


def test_restored_snapshot_holds_the_subsystems() -> None:
    """A snapshot must include the states of the subsystems."""
    state = _make_moving()
    size = placement.Size(1000, 1000)
    _apply(
        state,
        placement.commands.SetTeams('t', (placement.Team('atlas', 1, 4000),)),
        placement.commands.EnterWorker('w', 1, 'r', 'd', 'k', size),
    )
    image = dump_state(state)
    assert dump_state(load_state(image)) == image
    assert image.maintenance.instances and image.placement.workers


def test_move_changes_the_pool_for_routing() -> None:
    """A moved instance must not be in two pools at a log index."""
    state = _make_moving()
    moving = state.subsystems.maintenance.instances['enrol-1']
    join = maintenance.commands.JoinPool('enrol-1', moving.changed_index)
    _apply(state, join)
    assert state.instances['enrol-1'].pool == 'spare'
    assert state.subsystems.maintenance.instances['enrol-1'].pool == 'spare'


def test_assignment_by_an_operator_cancels_a_move() -> None:
    """A move in progress must not override an operator's assignment."""
    state = _make_moving()
    moving = state.subsystems.maintenance.instances['enrol-1']
    state.document = state.document._replace(
        pools={
            **state.document.pools,
            'other': state.document.pools['enrolment']._replace(name='other'),
        },
    )
    _apply(
        state,
        AssignInstance('a', 'enrol-1', 'other'),
        maintenance.commands.JoinPool('enrol-1', moving.changed_index),
    )
    found = state.subsystems.maintenance.instances['enrol-1']
    assert (found.pool, found.condition) == ('other', 'proving')
    assert state.instances['enrol-1'].pool == 'other'


def test_entries_get_no_jobs() -> None:
    """Entries need the state of maintenance, but not of jobs."""
    state = _make_moving()
    image = dump_for_entry(state, 'entry-1', 7)
    assert image.maintenance == dump_state(state).maintenance
    drain = placement.commands.DrainWorker('d', 'w')
    assert not make_entry_update(state, drain, 99).payload


def test_registered_entry_is_known_to_maintenance() -> None:
    """A reboot must not ignore work of an entry that just registered."""
    runs = _make_moving().subsystems.maintenance.entry_runs
    assert set(runs) == {maintenance.EntryRun('entry-1', 7)}


def test_draining_instance_gets_no_new_work() -> None:
    """A drain must end although the instance still announces that it serves.

    Entries must send it nothing from the log index of the drain on.
    """
    announcement = make_announcement()
    picker = UpstreamPicker('rennes', Random(1))
    picker.replace_roster((announcement,), 0)
    criteria = UpstreamCriteria('enrolment', is_repeatable=False)
    assert picker.choose(make_fleet(), criteria, 0) == announcement
    assert picker.choose(_make_moving(), criteria, 0) is None
