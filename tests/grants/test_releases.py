"""Tests of the release of grants whose holder has ended."""

from builders.teams import (
    TEAM,
    Controls,
    make_limit_document,
    make_setup_commands,
)
from sardinemast import control
from sardinemast.grants import RunBoundTracker
from sardinemast.protocol import LeaseGranted, RenewLease, TeamDemand

_DEMANDS = (TeamDemand(TEAM, 1, 0),)


def test_no_lease_while_grants_are_released() -> None:
    """Guard against a lease between proposal and commit of a release.

    The entry would start work on a grant that is about to be released.
    """
    controls = Controls()
    now_s: float = 0
    while not controls.get_leader(now_s):
        now_s += 1
        controls.tick(now_s)
    leader = controls.get_leader(now_s)
    for command in make_setup_commands(1):
        controls.step(leader, control.CommandRequested(0, command), now_s)
    connected = control.EntryConnected(1, 'entry-1', 1)
    controls.step(leader, connected, now_s)
    renewal = control.EntryMessageReceived(
        1, RenewLease(now_s, 0, _DEMANDS, ())
    )
    controls.step(leader, renewal, now_s)
    controls.step(leader, renewal, now_s)
    assert controls.cores[leader].state.grants
    for _ in range(7):
        now_s += 1
        controls.tick(now_s)
    controls.holds_messages = True
    controls.tick(now_s + 1)
    controls.sent_to_entries.clear()
    controls.step(leader, renewal, now_s + 1.1)
    messages = [sent.message for sent in controls.sent_to_entries]
    assert not any(isinstance(one, LeaseGranted) for one in messages)
    controls.holds_messages = False
    controls.deliver(now_s + 1.2)
    controls.tick(now_s + 2.2)
    assert not controls.cores[leader].state.grants


def test_replaced_run_bound_counts_until_its_runs_end() -> None:
    """Guard against a release while runs of the old bound continue."""
    bounds = RunBoundTracker(lease_s=3)
    bounds.record_document(make_limit_document(1, run_bound_s=30))
    bounds.get_longest_run_s(0)
    bounds.record_document(make_limit_document(1, run_bound_s=2))
    assert bounds.get_longest_run_s(10) == 30
    assert bounds.get_longest_run_s(42) == 30
    assert bounds.get_longest_run_s(43.1) == 2
