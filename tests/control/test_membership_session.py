"""Golden session of upstreams at the leader."""

from random import Random

from builders import Session, check_golden, make_announcement
from sardinemast import consensus, control
from sardinemast.membership import UpstreamStatus, encode_handles
from sardinemast.protocol import EntryMessage, HeardUpstreams, ReportUpstreams


def test_upstream_comes_falls_silent_and_leaves() -> None:
    """An upstream is told of, renewed, suspected beside another, and ends."""
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
    session.note('Two upstreams; the list is complete after a lease.')
    first = make_announcement('a', 1)
    second = make_announcement('b', 2)
    session.step(_receive(ReportUpstreams((first, second), (0, 0))), 4)
    session.step(control.Tick(), 4.1)
    session.step(control.Tick(), 5.1)
    session.note('One is heard again, the other falls silent.')
    heard = HeardUpstreams(1, encode_handles((1,)))
    session.step(_receive(heard), 5.5)
    session.step(control.Tick(), 5.6)
    session.note('One drains; a late word changes nothing; it stops.')
    for turn, (sequence, status) in enumerate(
        (
            (2, UpstreamStatus.draining),
            (1, UpstreamStatus.serving),
            (3, UpstreamStatus.stopped),
        )
    ):
        said = first._replace(sequence=sequence, status=status)
        now_s = 5.7 + turn / 10
        session.step(_receive(ReportUpstreams((said,), (0,))), now_s)
        session.step(control.Tick(), now_s)
    session.note('Both are gone after a lease.')
    session.step(control.Tick(), 9.5)
    check_golden('control_membership', session.transcript)


def _receive(message: EntryMessage) -> control.EntryMessageReceived:
    return control.EntryMessageReceived(1, message)
