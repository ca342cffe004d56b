"""Upstreams that come, fall silent, flap and leave."""

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
        one.announcement.instance: one.announcement.status
        for one in roster.get_published()
    }


def _change(name: str, **fields: Any) -> Announcement:
    return make_announcement(name)._replace(**fields)


def test_late_announcement_does_not_revert_draining() -> None:
    """Keep an upstream draining when an earlier word arrives.

    An entry was slow to pass on that the upstream serves; another has passed
    on that it drains. Taken in the order of arrival, the upstream would get
    new work while it waits to stop.
    """
    roster = _make_roster('a')
    draining = _change('a', status=UpstreamStatus.draining, sequence=2)
    roster.accept_announcement(draining, 11)
    assert not roster.accept_announcement(_change('a', sequence=1), 11)
    assert _get_status(roster, 11) == {'a': 'draining'}


def test_late_announcement_does_not_bring_back_a_stopped_one() -> None:
    """Keep a stopped upstream away after its record is gone.

    An entry that was frozen for an hour passes on what it heard before.
    """
    roster = _make_roster('a')
    roster.accept_announcement(
        _change('a', status=UpstreamStatus.stopped, sequence=3), 11
    )
    roster.expire(3600)
    for sequence in (1, 2, 3):
        roster.accept_announcement(_change('a', sequence=sequence), 3600)
    assert _get_status(roster, 3600) == {}


def test_silence_is_suspicion_and_then_the_end() -> None:
    """Suspect one that is silent, and drop it after its lease."""
    roster = _make_roster('a', 'b', 'c')
    for name in ('b', 'c'):
        roster.accept_announcement(make_announcement(name), 12)
    assert _get_status(roster, 11.6)['a'] == 'suspected'
    roster.expire(13.1)
    assert 'a' not in _get_status(roster, 13.1)


def test_silent_pool_is_not_suspected() -> None:
    """Suspect nobody when all of a pool fall silent at once.

    The way to the leader is broken, not the pool. If all were suspected, the
    entries would refuse requests that the upstreams could serve.
    """
    roster = _make_roster('a', 'b', 'c')
    assert set(_get_status(roster, 12).values()) == {'serving'}


def test_flapping_instance_is_held_back() -> None:
    """Give no work to an instance that starts again and again."""
    roster = _make_roster('a')
    for start in range(2, 5):
        roster.accept_announcement(_change('a', incarnation=start), 10 + start)
    assert _get_status(roster, 14) == {'a': 'joining'}
    roster.accept_announcement(_change('a', incarnation=4), 24)
    assert _get_status(roster, 24.1) == {'a': 'serving'}


def test_wave_of_restarts_holds_nobody_back() -> None:
    """Let 330 instances serve again that restart together."""
    names = [f'enrol-{number}' for number in range(330)]
    roster = _make_roster(*names)
    for port, name in enumerate(names, start=1):
        fresh = _change(name, incarnation=2, port=port)
        roster.accept_announcement(fresh, 11)
    changes = roster.publish_changes(11)
    assert (len(changes.changed), len(changes.removed_handles)) == (330, 330)
    assert set(_get_status(roster, 11).values()) == {'serving'}


def test_address_belongs_to_whoever_announced_it_last() -> None:
    """Drop an instance whose address another one announces."""
    roster = _make_roster('a')
    other = make_announcement('b', port=1)
    roster.accept_announcement(other, 11)
    assert set(_get_status(roster, 11)) == {'b'}


def test_roster_is_bounded() -> None:
    """Take no more instances than the bound, and keep those known.

    Somebody announces made-up names without end. Without a bound, the leader
    would run out of memory and every entry with it.
    """
    roster = _make_roster(*(f'n{number}' for number in range(5100)))
    assert len(roster.upstreams) == 5000
    assert roster.accept_announcement(_change('n1', sequence=1, port=2), 11)


def test_incomplete_list_drops_nobody() -> None:
    """Keep serving by what is known until a new leader has heard all."""
    view = RosterView()
    known = (RosterUpstream(1, make_announcement('a')),)
    view.replace(known, 0, is_complete=True)
    view.replace((), 1, is_complete=False)
    assert len(view.announcements) == 1
    view.replace((), 4, is_complete=True)
    assert not view.announcements


def test_view_takes_a_leaving_upstream_at_its_word() -> None:
    """Stop at once what announces its end here, whatever the leader says."""
    view = RosterView()
    known = (RosterUpstream(1, make_announcement('a')),)
    view.replace(known, 0, is_complete=True)
    view.accept_departure(
        _change('a', status=UpstreamStatus.stopped, sequence=1), 1
    )
    view.replace(known, 2, is_complete=True)
    assert not view.announcements


def test_handles_survive_their_encoding() -> None:
    """Read the handles that were written, in a byte or two each."""
    handles = [1, 5, 127, 128, 300, 100_000]
    encoded = encode_handles(reversed(handles))
    assert (decode_handles(encoded), len(encoded)) == (handles, 9)
