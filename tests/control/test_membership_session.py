"""Golden session of the roster at the leader."""

from random import Random

from builders import Session, check_golden, make_announcement
from sardinemast import consensus, control
from sardinemast.membership import UpstreamStatus, encode_handles
from sardinemast.protocol import EntryMessage, HeardUpstreams, ReportUpstreams


def test_upstreams_join_fall_silent_and_leave() -> None:
    """An upstream is announced, renewed, drained and expired."""
    replica = consensus.ReplicaSettings('control-1', ('control-1',))
    core = control.ControlCore(
        control.ControlSettings(replica),
        consensus.HardState(),
        (),
        Random(1),
    )
    session = Session(core.step)
    session.step(control.Tick(), 0)
    session.step(control.Tick(), 2)
    session.step(control.EntryConnected(1, 'entry-1', 7), 2)
    session.note('Two upstreams; the roster is complete after a lease.')
    first = make_announcement('a', 1)
    second = make_announcement('b', 2)
    session.step(_receive(ReportUpstreams((first, second), (0, 0))), 4)
    session.step(control.Tick(), 4.1)
    session.step(control.Tick(), 5.1)
    session.note('One renews its lease, the other falls silent.')
    heard = HeardUpstreams(1, encode_handles((1,)))
    session.step(_receive(heard), 5.5)
    session.step(control.Tick(), 5.6)
    session.note('One drains, ignores a late announcement and stops.')
    for step, (sequence, status) in enumerate(
        (
            (2, UpstreamStatus.draining),
            (1, UpstreamStatus.serving),
            (3, UpstreamStatus.stopped),
        )
    ):
        announcement = first._replace(sequence=sequence, status=status)
        now_s = 5.7 + step / 10
        session.step(_receive(ReportUpstreams((announcement,), (0,))), now_s)
        session.step(control.Tick(), now_s)
    session.note('Both are removed after a lease.')
    session.step(control.Tick(), 9.5)
    check_golden('control_membership', session.transcript)


def _receive(message: EntryMessage) -> control.EntryMessageReceived:
    return control.EntryMessageReceived(1, message)
