"""Golden session: the leader moves a limit of one between entries."""

from random import Random

from builders import Session, check_golden
from builders.teams import TEAM, make_setup_commands
from sardinemast import consensus, control
from sardinemast.protocol import (
    EntryMessage,
    GrantReturn,
    RenewLease,
    ReportDemand,
    TeamDemand,
)


def test_unit_is_recalled_moved_and_released() -> None:
    """A unit is recalled, granted elsewhere, and released on expiry."""
    core = control.ControlCore(
        control.ControlSettings(consensus.ReplicaSettings('c', ('c',))),
        consensus.HardState(),
        (),
        Random(1),
    )
    core.step(control.Tick(), 0)
    core.step(control.Tick(), 2)
    for command in make_setup_commands(1):
        core.step(control.CommandRequested(0, command), 2)
    for stream_id in (1, 2):
        name = f'entry-{stream_id}'
        core.step(control.EntryConnected(stream_id, name, 1), 2)
    session = Session(core.step)
    session.note('Entry 1 wants two units and is granted the only one.')
    session.step(_receive(1, _renew(core, 2)), 3)
    session.note('Entry 2 wants one; the unit is in use and not recalled yet.')
    session.step(_receive(2, _renew(core, 1)), 3.1)
    session.note('After the rotation interval the unit is recalled.')
    session.step(control.Tick(), 3.3)
    session.note('Return and raise are committed as one command.')
    index = core.state.log_index
    returned = (GrantReturn(TEAM, 0, index),)
    demands = (TeamDemand(TEAM, 1, 0),)
    session.step(_receive(1, ReportDemand(demands, returned)), 3.4)
    session.note('A repeated return has no effect.')
    session.step(_receive(1, ReportDemand(demands, returned)), 3.41)
    session.note('Entry 2 stays silent: lease 3 s, longest run 5 s.')
    session.step(control.EntryDisconnected(2), 3.5)
    session.step(_receive(1, _renew(core, 1)), 11)
    session.step(control.Tick(), 11.2)
    check_golden('limit_of_one_moves', session.transcript)


def _renew(core: control.ControlCore, wanted: int) -> RenewLease:
    applied_index = core.state.log_index
    return RenewLease(0, applied_index, (TeamDemand(TEAM, wanted, 0),), ())


def _receive(
    stream_id: int, message: EntryMessage
) -> control.EntryMessageReceived:
    return control.EntryMessageReceived(stream_id, message)
