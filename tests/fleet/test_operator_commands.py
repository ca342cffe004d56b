"""Commands of operators: ids, versions, history and checks."""

from builders import make_document, make_fleet
from builders.fleets import KEY_DIGEST
from sardinemast.fleet import (
    COMMAND_RETENTION_DAYS,
    AdvanceTime,
    ApplyDocument,
    FleetDocument,
    FleetState,
    GrantKey,
    RestoreVersion,
    Team,
    WithdrawKey,
    apply_command,
    diff_versions,
    dump_state,
    find_team_by_key,
    load_state,
)

_DAY_S = 86_400


def test_loser_of_a_race_sees_what_the_winner_changed() -> None:
    """Tell the second of two operators what differs now.

    Both start from version 1. Without the difference, the second would take
    the new version number, send its file again and undo the first change.
    """
    state = make_fleet()
    apply_command(state, ApplyDocument('a', 1, make_document(limit=5)), 4)
    lost = apply_command(state, ApplyDocument('b', 1, make_document()), 5)
    assert (lost.code, lost.version) == ('fleet.E002', 2)
    assert lost.changes == (('teams.petits-pixels.limit', '3', '5'),)


def test_resend_gets_the_first_answer_after_a_snapshot() -> None:
    """Know a command id also in a state that was loaded from a snapshot."""
    state = make_fleet()
    sent = ApplyDocument('a', 1, make_document(limit=5))
    first = apply_command(state, sent, 4)
    loaded = load_state(dump_state(state))
    assert apply_command(loaded, sent._replace(based_on=2), 5) == first
    assert loaded.version == 2


def test_id_of_another_command_is_refused() -> None:
    """Refuse a command whose id stands for another one."""
    state = make_fleet()
    apply_command(state, WithdrawKey('w', 'k1'), 4)
    other = apply_command(state, WithdrawKey('w', 'k2'), 5)
    assert other.code == 'fleet.E001'


def test_commands_are_forgotten_by_the_time_of_the_log() -> None:
    """Keep an answer for the stated days and no longer."""
    state = FleetState()
    apply_command(state, AdvanceTime(_DAY_S), 1)
    apply_command(state, WithdrawKey('w', 'k1'), 2)
    apply_command(state, AdvanceTime((1 + COMMAND_RETENTION_DAYS) * _DAY_S), 3)
    assert 'w' in state.recent_commands
    apply_command(state, AdvanceTime((2 + COMMAND_RETENTION_DAYS) * _DAY_S), 4)
    assert 'w' not in state.recent_commands


def test_time_of_the_log_never_goes_back() -> None:
    """Ignore a leader whose clock is behind."""
    state = FleetState()
    apply_command(state, AdvanceTime(_DAY_S), 1)
    apply_command(state, AdvanceTime(1), 2)
    assert state.wall_s == _DAY_S


def test_going_back_is_a_new_version() -> None:
    """Put an earlier document in place under the next number."""
    state = make_fleet()
    apply_command(state, ApplyDocument('a', 1, make_document(limit=5)), 4)
    outcome = apply_command(state, RestoreVersion('b', 2, 1), 5)
    assert outcome.version == 3
    assert state.document == make_document()
    assert diff_versions(state, 1, 3) == ()


def test_history_is_bounded() -> None:
    """Keep the latest versions and refuse to go back to a lost one."""
    state = make_fleet()
    for version in range(1, 50):
        document = make_document(limit=version)
        apply_command(state, ApplyDocument('', version, document), version)
    outcome = apply_command(state, RestoreVersion('b', state.version, 2), 99)
    assert outcome.code == 'fleet.E007'


def test_document_is_checked_whole() -> None:
    """Refuse a document with all its findings, and change nothing.

    A file loses a team whose key still works and a pool that still has an
    instance. Taken as it is, callers and the instance would belong nowhere.
    """
    state = make_fleet()
    broken = FleetDocument({}, {}, {'a': Team('b', 0, 1)}, {'here': {}})
    outcome = apply_command(state, ApplyDocument('a', 1, broken), 4)
    assert [one.code for one in outcome.findings] == [
        'fleet.E011',
        'fleet.E012',
        'fleet.E014',
        'fleet.E016',
        'fleet.E017',
    ]
    assert state.version == 1


def test_key_of_a_team_that_is_gone_stops() -> None:
    """Take no key whose team is not declared."""
    state = make_fleet()
    state.document = make_document()._replace(teams={})
    assert find_team_by_key(state, KEY_DIGEST) is None


def test_no_text_shows_a_digest() -> None:
    """Keep digests out of whatever shows a record or an image."""
    state = make_fleet()
    command = GrantKey('c', 'k2', 'petits-pixels', b'secret-digest')
    texts = f'{command!r} {dump_state(state).keys!r}'
    assert 'secret-digest' not in texts
    assert repr(KEY_DIGEST) not in texts
