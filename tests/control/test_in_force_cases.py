"""When an operator is told that a change is in force."""

import pytest

from builders import make_document
from builders.fleets import KEY_DIGEST
from builders.operators import Cluster, Process, get_answer
from sardinemast.fleet import ApplyDocument, GrantKey, WithdrawKey


@pytest.fixture
def cluster() -> Cluster:
    """Return a leader and two serving entries."""
    made = Cluster()
    made.add(Process('entry-1', 1))
    made.add(Process('entry-2', 1))
    made.advance(2)
    made.ask(1, ApplyDocument('c1', 0, make_document()))
    made.ask(2, GrantKey('c2', 'k1', 'petits-pixels', KEY_DIGEST))
    made.advance(0.5)
    return made


def test_healthy_entries_acknowledge_at_once(cluster: Cluster) -> None:
    """All entries have the change within two ticks."""
    cluster.ask(3, WithdrawKey('c3', 'k1'))
    cluster.advance(0.2)
    answer = get_answer(cluster, 3)
    assert (answer.entries_in_force, answer.entries_total) == (2, 2)


def test_frozen_former_incarnation_is_counted(cluster: Cluster) -> None:
    """The answer waits for the lease of a frozen former incarnation.

    Guards against a process that wakes up and accepts a key after the
    operator was told that it is withdrawn.
    """
    old = cluster.processes[0]
    old.is_frozen = True
    cluster.add(Process('entry-1', 2))
    cluster.advance(0.5)
    cluster.ask(3, WithdrawKey('c3', 'k1'))
    cluster.advance(1)
    assert old.is_serving(cluster.now_s)
    assert get_answer(cluster, 3) is None


def test_new_leader_counts_a_former_incarnation(cluster: Cluster) -> None:
    """A new leader waits for leases that only its predecessor granted.

    Guards against ignoring a former incarnation that the new leader knows
    from the log alone.
    """
    old = cluster.processes[0]
    old.is_frozen = True
    cluster.add(Process('entry-1', 2))
    cluster.advance(0.5)
    cluster.replace_leader()
    cluster.advance(1.5)
    cluster.ask(3, WithdrawKey('c3', 'k1'))
    cluster.advance(0.5)
    assert old.is_serving(cluster.now_s)
    assert get_answer(cluster, 3) is None


def test_frozen_entry_delays_by_one_lease(cluster: Cluster) -> None:
    """The answer comes once the lease of a frozen entry has expired."""
    cluster.processes[0].is_frozen = True
    cluster.ask(3, WithdrawKey('c3', 'k1'))
    cluster.advance(2.5)
    assert get_answer(cluster, 3) is None
    cluster.advance(1)
    assert get_answer(cluster, 3).entries_in_force == 2


def test_entry_that_does_not_apply_gets_no_lease(cluster: Cluster) -> None:
    """An entry that lags behind the log gets no lease.

    Guards against an operator who waits forever for an entry that renews its
    lease but does not apply commands.
    """
    cluster.processes[0].is_slow = True
    cluster.ask(3, WithdrawKey('c3', 'k1'))
    cluster.advance(4.5)
    assert get_answer(cluster, 3).entries_in_force == 2
    assert not cluster.processes[0].is_serving(cluster.now_s)


def test_reconnected_entry_serves_the_new_state(cluster: Cluster) -> None:
    """An entry that reconnects after an hour serves only the new state."""
    away = cluster.processes[0]
    away.is_cut = True
    cluster.ask(3, WithdrawKey('c3', 'k1'))
    cluster.advance(3600, tick_s=60)
    assert not away.is_serving(cluster.now_s)
    away.is_cut = False
    cluster.cut(away)
    cluster.advance(0.5)
    assert away.is_serving(cluster.now_s)
    assert away.core.state.keys_by_id == {}


def test_resend_changes_no_entry(cluster: Cluster) -> None:
    """A resent command is not forwarded to entries.

    Guards against a resent withdrawal that removes a key which has since been
    granted again under the same id.
    """
    cluster.ask(3, WithdrawKey('c3', 'k1'))
    cluster.ask(4, GrantKey('c4', 'k1', 'petits-pixels', KEY_DIGEST))
    cluster.ask(5, WithdrawKey('c3', 'k1'))
    cluster.advance(0.5)
    assert get_answer(cluster, 5).outcome == get_answer(cluster, 3).outcome
    for process in cluster.processes:
        assert 'k1' in process.core.state.keys_by_id


def test_entry_that_missed_a_message_recovers(cluster: Cluster) -> None:
    """The whole state is sent again to an entry that lags.

    Guards against an entry that misses the last message of its stream and
    gets no lease until the next change.
    """
    process = cluster.processes[0]
    process.is_slow = True
    cluster.ask(3, WithdrawKey('c3', 'k1'))
    process.to_entry.clear()
    process.is_slow = False
    cluster.advance(4)
    assert process.is_serving(cluster.now_s)
    assert process.core.state.keys_by_id == {}


def test_gap_in_the_stream_is_detected(cluster: Cluster) -> None:
    """An entry applies no command after a lost message.

    Guards against an entry that has the latest index but still accepts a
    withdrawn key.
    """
    process = cluster.processes[0]
    process.is_slow = True
    cluster.ask(3, WithdrawKey('c3', 'k1'))
    process.to_entry.clear()
    process.is_slow = False
    cluster.ask(4, GrantKey('c4', 'k2', 'petits-pixels', b'other'))
    cluster.advance(0.5)
    assert set(process.core.state.keys_by_id) == {'k2'}
