"""Answers to calls that evacuate or readmit a data centre."""

from builders.call_leaders import CallLeader
from sardinemast import control
from sardinemast.jobs.commands import EvacuateDataCentre
from sardinemast.protocol import CallOutcome, ChangeEvacuation

_EVACUATE = ChangeEvacuation('rennes', is_evacuated=True)
_READMIT = ChangeEvacuation('rennes', is_evacuated=False)


def test_evacuation_is_acknowledged_once_a_majority_has_it() -> None:
    """Answer only what the next leader knows as well."""
    leader = CallLeader()
    leader.call(2, _EVACUATE, is_acked=False)
    assert 2 not in leader.answers
    leader.acknowledge()
    assert leader.answers[2] is CallOutcome.done
    assert leader.is_evacuated


def test_orders_in_flight_are_applied_in_turn() -> None:
    """Acknowledge an evacuation only if it is in force afterwards.

    Its withdrawal, proposed before it, must not be applied after the answer.
    """
    leader = CallLeader()
    leader.call(2, _EVACUATE)
    leader.call(3, _READMIT, is_acked=False)
    leader.call(4, _EVACUATE, is_acked=False)
    assert 4 not in leader.answers
    leader.acknowledge()
    assert leader.answers[3] is CallOutcome.done
    assert leader.answers[4] is CallOutcome.done
    assert leader.is_evacuated


def test_unknown_data_centre_is_refused_at_once() -> None:
    """Refuse a mistyped name without waiting for a majority."""
    leader = CallLeader()
    call = ChangeEvacuation('rennse', is_evacuated=True)
    leader.call(2, call, is_acked=False)
    assert leader.answers[2] is CallOutcome.invalid


def test_command_for_another_data_centre_answers_nobody() -> None:
    """Answer a call by its own command, not by an operator's refused one."""
    leader = CallLeader()
    leader.call(2, _EVACUATE, is_acked=False)
    other = EvacuateDataCentre('c1', 'elsewhere')
    leader.step(control.CommandRequested(9, other))
    leader.acknowledge()
    assert leader.answers[2] is CallOutcome.done
    evacuated = leader.core.state.subsystems.jobs.data_centres.evacuated
    assert tuple(evacuated) == ('rennes',)
