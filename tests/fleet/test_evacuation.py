"""Evacuations in the fleet's log, in snapshots and at entries."""

from random import Random

from builders import make_announcement, make_fleet
from sardinemast.fleet import (
    COMMANDS,
    FleetState,
    apply_command,
    describe_state,
    dump_for_entry,
    dump_state,
    load_state,
    make_entry_update,
    replay_command,
)
from sardinemast.jobs.commands import EvacuateDataCentre, ReadmitDataCentre
from sardinemast.routing._picker import UpstreamCriteria, UpstreamPicker

_EVACUATE = EvacuateDataCentre('e1', 'rennes')
_READMIT = ReadmitDataCentre('r1', 'rennes')


def _is_evacuated(state: FleetState) -> bool:
    return state.subsystems.jobs.data_centres.is_evacuated('rennes')


def _can_route(state: FleetState) -> bool:
    picker = UpstreamPicker('rennes', Random(1))
    picker.replace_roster((make_announcement(),), 0)
    criteria = UpstreamCriteria('enrolment', is_repeatable=False)
    return picker.choose(state, criteria, 0) is not None


def test_unknown_data_centre_is_refused() -> None:
    """Refuse a name that is no site and never had a worker."""
    state = make_fleet()
    for command in (
        EvacuateDataCentre('e1', 'rennse'),
        ReadmitDataCentre('r1', 'rennse'),
    ):
        outcome = apply_command(state, command, 9)
        assert (outcome.is_accepted, outcome.code) == (False, 'fleet.E018')
    assert not state.subsystems.jobs.data_centres.evacuated


def test_resent_order_does_not_undo_a_later_one() -> None:
    """Answer a resent order again, although its withdrawal is in force.

    Otherwise an order that was delayed on its way would evacuate again.
    """
    state = make_fleet()
    first = apply_command(state, _EVACUATE, 9)
    apply_command(state, _READMIT, 10)
    assert apply_command(state, _EVACUATE, 11) == first
    assert first.is_accepted
    assert not _is_evacuated(state)


def test_orders_that_change_nothing_are_accepted() -> None:
    """Accept the evacuation of an evacuated data centre, and its readmission.

    Operators who race must both learn that what they asked for is in force.
    """
    state = make_fleet()
    assert apply_command(state, _READMIT, 8).is_accepted
    assert apply_command(state, _EVACUATE, 9).is_accepted
    again = EvacuateDataCentre('e2', 'rennes')
    assert apply_command(state, again, 10).is_accepted
    assert _is_evacuated(state)


def test_evacuation_survives_a_snapshot() -> None:
    """Restore evacuations and known data centres from a snapshot."""
    state = make_fleet()
    state.subsystems.jobs.data_centres.record('brest')
    apply_command(state, _EVACUATE, 9)
    restored = load_state(dump_state(state))
    assert _is_evacuated(restored)
    assert describe_state(restored)['data_centres'] == [
        {'name': 'brest', 'is_evacuated': False},
        {'name': 'rennes', 'is_evacuated': True},
    ]


def test_entries_send_nothing_there() -> None:
    """Route no request to upstreams of an evacuated data centre.

    An entry may learn of it from its first snapshot or from an update.
    """
    state = make_fleet()
    entry = load_state(dump_for_entry(state, 'entry-1', 7))
    assert _can_route(entry)
    for command, expected in ((_EVACUATE, False), (_READMIT, True)):
        apply_command(state, command, state.log_index + 1)
        update = make_entry_update(state, command, state.log_index)
        replayed = COMMANDS.decode(update.payload)
        replay_command(entry, replayed, update.log_index)
        assert _can_route(entry) is expected
        connected = load_state(dump_for_entry(state, 'entry-1', 7))
        assert _can_route(connected) is expected
