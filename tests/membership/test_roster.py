"""Test joining, silent, flapping and departing upstreams."""

from typing import Any

from builders import make_announcement
from sardinemast.membership import (
    Announcement,
    Roster,
    RosterUpstream,
    RosterView,
    UpstreamStatus,
    decode_handles,
    encode_handles,
)


def _make_roster(*names: str) -> Roster:
    roster = Roster()
    for port, name in enumerate(names, start=1):
        roster.accept_announcement(make_announcement(name, port=port), 10)
    roster.publish_changes(10)
    return roster


def _get_status(roster: Roster, now_s: float) -> dict[str, UpstreamStatus]:
    roster.publish_changes(now_s)
    return {
        upstream.announcement.instance: upstream.announcement.status
        for upstream in roster.get_published()
    }


def _make_changed(name: str, **fields: Any) -> Announcement:
    return make_announcement(name)._replace(**fields)


def test_outdated_announcement_does_not_revert_draining() -> None:
    """Keep an upstream draining when an older announcement arrives late.

    It would otherwise get new requests while it waits to stop.
    """
    roster = _make_roster('a')
    draining = _make_changed('a', status=UpstreamStatus.draining, sequence=2)
    roster.accept_announcement(draining, 11)
    assert not roster.accept_announcement(_make_changed('a', sequence=1), 11)
    assert _get_status(roster, 11) == {'a': 'draining'}


def test_outdated_announcement_does_not_restore_stopped_upstream() -> None:
    """Reject announcements from before a stop after its record expired.

    An entry that was frozen for an hour may still pass them on.
    """
    roster = _make_roster('a')
    roster.accept_announcement(
        _make_changed('a', status=UpstreamStatus.stopped, sequence=3), 11
    )
    roster.expire(3600)
    for sequence in (1, 2, 3):
        roster.accept_announcement(_make_changed('a', sequence=sequence), 3600)
    assert _get_status(roster, 3600) == {}


def test_silent_upstream_is_suspected_then_removed() -> None:
    """Suspect a silent upstream, and remove it after its lease."""
    roster = _make_roster('a', 'b', 'c')
    for name in ('b', 'c'):
        roster.accept_announcement(make_announcement(name), 12)
    assert _get_status(roster, 11.6)['a'] == 'suspected'
    roster.expire(13.1)
    assert 'a' not in _get_status(roster, 13.1)


def test_silent_pool_is_not_suspected() -> None:
    """Suspect no upstream when a whole pool falls silent at once.

    Entries would otherwise refuse requests that the pool can serve while only
    its path to the leader is down.
    """
    roster = _make_roster('a', 'b', 'c')
    assert set(_get_status(roster, 12).values()) == {'serving'}


def test_flapping_instance_is_held_back() -> None:
    """List an instance that restarts repeatedly as joining for a while."""
    roster = _make_roster('a')
    for start in range(2, 5):
        roster.accept_announcement(
            _make_changed('a', incarnation=start), 10 + start
        )
    assert _get_status(roster, 14) == {'a': 'joining'}
    roster.accept_announcement(_make_changed('a', incarnation=4), 24)
    assert _get_status(roster, 24.1) == {'a': 'serving'}


def test_simultaneous_restarts_are_not_held_back() -> None:
    """List 330 instances as serving after they restart together."""
    names = [f'enrol-{number}' for number in range(330)]
    roster = _make_roster(*names)
    for port, name in enumerate(names, start=1):
        announcement = _make_changed(name, incarnation=2, port=port)
        roster.accept_announcement(announcement, 11)
    changes = roster.publish_changes(11)
    assert (len(changes.changed), len(changes.removed_handles)) == (330, 330)
    assert set(_get_status(roster, 11).values()) == {'serving'}


def test_newest_announcement_of_an_address_wins() -> None:
    """Remove an instance whose address another one announces."""
    roster = _make_roster('a')
    other = make_announcement('b', port=1)
    roster.accept_announcement(other, 11)
    assert set(_get_status(roster, 11)) == {'b'}


def test_roster_is_bounded() -> None:
    """Reject instances beyond the maximum, and still update listed ones.

    A client that announces invented names must not exhaust the memory of the
    leader and the entries.
    """
    roster = _make_roster(*(f'n{number}' for number in range(5100)))
    assert len(roster.upstreams) == 5000
    assert roster.accept_announcement(
        _make_changed('n1', sequence=1, port=2), 11
    )


def test_incomplete_roster_removes_no_upstream() -> None:
    """Keep listed upstreams until a new leader's roster is complete."""
    view = RosterView()
    listed = (RosterUpstream(1, make_announcement('a')),)
    view.replace(listed, 0, is_complete=True)
    view.replace((), 1, is_complete=False)
    assert len(view.announcements) == 1
    view.replace((), 4, is_complete=True)
    assert not view.announcements


def test_announced_departure_overrides_the_leader() -> None:
    """Remove an upstream that announced its stop despite an older roster."""
    view = RosterView()
    listed = (RosterUpstream(1, make_announcement('a')),)
    view.replace(listed, 0, is_complete=True)
    view.accept_departure(
        _make_changed('a', status=UpstreamStatus.stopped, sequence=1), 1
    )
    view.replace(listed, 2, is_complete=True)
    assert not view.announcements


def test_handles_round_trip() -> None:
    """Decode encoded handles, which take one to three bytes each."""
    handles = [1, 5, 127, 128, 300, 100_000]
    encoded = encode_handles(reversed(handles))
    assert (decode_handles(encoded), len(encoded)) == (handles, 9)
