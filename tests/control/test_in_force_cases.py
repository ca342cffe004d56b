"""What an operator is told about a change being in force."""

import pytest

from builders import make_document
from builders.fleets import KEY_DIGEST
from builders.operators import Cluster, Process, get_answer
from sardinemast.fleet import ApplyDocument, GrantKey, WithdrawKey


@pytest.fixture
def cluster() -> Cluster:
    """Make a leader and two entries that serve."""
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


def test_old_incarnation_that_lives_on_is_counted(cluster: Cluster) -> None:
    """Wait for the lease of an entry that was started a second time.

    An entry freezes and the platform starts it again under the same name. If
    only the new process is counted, the operator is told that the key is
    withdrawn; the old one wakes and still takes it.
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
    """Wait for a lease that only the former leader knows of.

    The entry is started again, then the leader dies. The next leader never
    saw the old process; it knows from the log that it may have a lease.
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
    """Answer once the lease of a frozen entry has surely ended."""
    cluster.processes[0].is_frozen = True
    cluster.ask(3, WithdrawKey('c3', 'k1'))
    cluster.advance(2.5)
    assert get_answer(cluster, 3) is None
    cluster.advance(1)
    assert get_answer(cluster, 3).entries_in_force == 2


def test_entry_that_does_not_apply_gets_no_lease(cluster: Cluster) -> None:
    """Refuse the renewal of an entry that stays behind.

    An entry takes in messages too slowly, but its renewals come through. If
    it got its lease, the operator would wait for ever.
    """
    cluster.processes[0].is_slow = True
    cluster.ask(3, WithdrawKey('c3', 'k1'))
    cluster.advance(4.5)
    assert get_answer(cluster, 3).entries_in_force == 2
    assert not cluster.processes[0].is_serving(cluster.now_s)


def test_cut_off_entry_comes_back_without_reverting(cluster: Cluster) -> None:
    """Let an entry that was away for an hour serve by the new state only."""
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
    """Send entries nothing for a command that is only repeated.

    A key is withdrawn and granted again under the same id. Then the lost
    withdrawal is sent once more; at the entries, which remember no commands,
    it would take the new key away.
    """
    cluster.ask(3, WithdrawKey('c3', 'k1'))
    cluster.ask(4, GrantKey('c4', 'k1', 'petits-pixels', KEY_DIGEST))
    cluster.ask(5, WithdrawKey('c3', 'k1'))
    cluster.advance(0.5)
    assert get_answer(cluster, 5).outcome == get_answer(cluster, 3).outcome
    for process in cluster.processes:
        assert 'k1' in process.core.state.keys_by_id


def test_entry_that_missed_a_message_recovers(cluster: Cluster) -> None:
    """Send the whole state to an entry that stays behind.

    One message of a stream is lost and nothing follows it. The entry does not
    know, gets no lease any more, and would refuse all callers until the next
    change.
    """
    process = cluster.processes[0]
    process.is_slow = True
    cluster.ask(3, WithdrawKey('c3', 'k1'))
    process.down.clear()
    process.is_slow = False
    cluster.advance(4)
    assert process.is_serving(cluster.now_s)
    assert process.core.state.keys_by_id == {}


def test_gap_is_noticed(cluster: Cluster) -> None:
    """Apply nothing after a message that was lost.

    The entry would have the right index and still take the key.
    """
    process = cluster.processes[0]
    process.is_slow = True
    cluster.ask(3, WithdrawKey('c3', 'k1'))
    process.down.clear()
    process.is_slow = False
    cluster.ask(4, GrantKey('c4', 'k2', 'petits-pixels', b'other'))
    cluster.advance(0.5)
    assert set(process.core.state.keys_by_id) == {'k2'}
