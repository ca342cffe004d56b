"""Commands of operators: resends, versions, history and validation."""

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


def test_conflicting_change_is_refused_with_the_differences() -> None:
    """The second of two operators must see what the first changed.

    Otherwise it would send its file again and undo the change.
    """
    state = make_fleet()
    apply_command(state, ApplyDocument('a', 1, make_document(limit=5)), 4)
    lost = apply_command(state, ApplyDocument('b', 1, make_document()), 5)
    assert (lost.code, lost.version) == ('fleet.E002', 2)
    assert lost.changes == (('teams.petits-pixels.limit', '3', '5'),)


def test_resend_gets_the_first_outcome_after_a_restore() -> None:
    """A replica restored from a snapshot must recognise resends."""
    state = make_fleet()
    sent = ApplyDocument('a', 1, make_document(limit=5))
    first = apply_command(state, sent, 4)
    loaded = load_state(dump_state(state))
    assert apply_command(loaded, sent._replace(based_on=2), 5) == first
    assert loaded.version == 2


def test_reused_command_id_is_refused() -> None:
    """A command must not get the outcome of another one with its id."""
    state = make_fleet()
    apply_command(state, WithdrawKey('w', 'k1'), 4)
    other = apply_command(state, WithdrawKey('w', 'k2'), 5)
    assert other.code == 'fleet.E001'


def test_commands_expire_by_the_time_of_the_log() -> None:
    """An outcome must be kept for the retention time and no longer."""
    state = FleetState()
    apply_command(state, AdvanceTime(_DAY_S), 1)
    apply_command(state, WithdrawKey('w', 'k1'), 2)
    apply_command(state, AdvanceTime((1 + COMMAND_RETENTION_DAYS) * _DAY_S), 3)
    assert 'w' in state.recent_commands
    apply_command(state, AdvanceTime((2 + COMMAND_RETENTION_DAYS) * _DAY_S), 4)
    assert 'w' not in state.recent_commands


def test_time_of_the_log_never_goes_back() -> None:
    """The clock of a new leader may be behind."""
    state = FleetState()
    apply_command(state, AdvanceTime(_DAY_S), 1)
    apply_command(state, AdvanceTime(1), 2)
    assert state.wall_s == _DAY_S


def test_restored_version_is_a_new_version() -> None:
    """A restored document must get the next version number."""
    state = make_fleet()
    apply_command(state, ApplyDocument('a', 1, make_document(limit=5)), 4)
    outcome = apply_command(state, RestoreVersion('b', 2, 1), 5)
    assert outcome.version == 3
    assert state.document == make_document()
    assert diff_versions(state, 1, 3) == ()


def test_history_is_bounded() -> None:
    """A version that was dropped must not be restored."""
    state = make_fleet()
    for version in range(1, 50):
        document = make_document(limit=version)
        apply_command(state, ApplyDocument('', version, document), version)
    outcome = apply_command(state, RestoreVersion('b', state.version, 2), 99)
    assert outcome.code == 'fleet.E007'


def test_invalid_document_is_refused_with_all_findings() -> None:
    """A document must not remove a team with keys or a pool with instances.

    All findings must be reported at once, and the state must not change.
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


def test_key_of_a_missing_team_is_rejected() -> None:
    """A key must not work without its team."""
    state = make_fleet()
    state.document = make_document()._replace(teams={})
    assert find_team_by_key(state, KEY_DIGEST) is None


def test_repr_omits_digests() -> None:
    """Digests of keys must not reach logs or errors."""
    state = make_fleet()
    command = GrantKey('c', 'k2', 'petits-pixels', b'secret-digest')
    texts = f'{command!r} {dump_state(state).keys!r}'
    assert 'secret-digest' not in texts
    assert repr(KEY_DIGEST) not in texts
