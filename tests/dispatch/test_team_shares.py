"""Shares of teams in a pool that lacks capacity."""

import pytest

from builders.shared_pools import POOL, SLOTS, SharedPool, make_teams
from builders.workers import make_step
from sardinemast.dispatch import (
    Dispatcher,
    DispatchSettings,
    LogDecision,
    TeamShares,
)
from sardinemast.jobs import JobRequest, Size, Team
from sardinemast.jobs.commands import SubmitJob
from sardinemast.model import REGISTRY_DAY, FleetSimulation, LoadBurst, Period

_ALLOWED_MS = 1600
_MIN_SERVED = 0.95


def test_team_at_eight_times_its_load_leaves_others_theirs() -> None:
    """Guard against a flood of early jobs that takes all teams' capacity."""
    pool = SharedPool(*make_teams(20))
    pool.submit('t-0', 16 * SLOTS)
    pool.now_ms += 100
    for number in range(1, 20):
        pool.submit(f't-{number}', 2)
    assert pool.count_starts() == {f't-{number}': 2 for number in range(20)}


def test_two_teams_with_excess_share_what_others_leave() -> None:
    """Guard against the larger of two floods getting more."""
    pool = SharedPool(*make_teams(4))
    pool.submit('t-0', 4 * SLOTS)
    pool.submit('t-1', 2 * SLOTS)
    pool.submit('t-2', 3)
    pool.submit('t-3', 3)
    assert pool.count_starts() == {'t-0': 17, 't-1': 17, 't-2': 3, 't-3': 3}


def test_free_capacity_goes_to_the_only_team() -> None:
    """Guard against capacity that stays idle because a rate is exceeded."""
    pool = SharedPool(*make_teams(20, jobs_per_s=1))
    pool.submit('t-0', 8 * SLOTS)
    assert pool.count_starts() == {'t-0': SLOTS}


def test_freed_capacity_goes_to_teams_below_their_share() -> None:
    """Guard against a team that keeps what it took while it was alone."""
    pool = SharedPool(*make_teams(2))
    pool.submit('t-0', 8 * SLOTS)
    starts = pool.plan()
    pool.submit('t-1', 8 * SLOTS)
    pool.end(starts[:30])
    assert pool.count_starts() == {'t-0': 10, 't-1': 20}


def test_changed_weights_apply_from_the_next_plan() -> None:
    """Guard against shares by the weights of an older catalog."""
    pool = SharedPool(*make_teams(2))
    pool.submit('t-0', 8 * SLOTS)
    pool.submit('t-1', 8 * SLOTS)
    starts = pool.plan()
    assert pool.count_running() == {'t-0': 20, 't-1': 20}
    pool.put_teams(Team('t-0'), Team('t-1', weight=3))
    pool.end(starts)
    assert pool.count_starts() == {'t-0': 10, 't-1': 30}


def test_shares_and_rates_survive_a_leader_change() -> None:
    """Guard against a new leader that orders a burst as if it were owed."""
    pool = SharedPool(*make_teams(2, jobs_per_s=2))
    pool.submit('t-0', 8 * SLOTS)
    starts = pool.plan()
    pool.restore()
    pool.submit('t-1', 4)
    pool.submit('t-0', 1)
    pool.end(starts[:4])
    assert pool.count_starts() == {'t-1': 4}
    assert not pool.state.jobs['job-324'].is_within_rate


@pytest.mark.parametrize('cap', [1, 7])
def test_caps_are_kept(cap: int) -> None:
    """Guard against a share that lets a team exceed its cap."""
    pool = SharedPool(*make_teams(2, cap=Size(cap * 1000, 0)))
    pool.submit('t-0', 8 * SLOTS)
    pool.submit('t-1', 8 * SLOTS)
    pool.plan()
    pool.plan()
    assert pool.count_running() == {'t-0': cap, 't-1': cap}


def test_share_below_one_task_starts_one_task() -> None:
    """Guard against a small team that waits for what a large one leaves."""
    teams = (Team('t-0', weight=100), Team('t-1', weight=0.01))
    pool = SharedPool(*teams)
    pool.submit('t-0', 8 * SLOTS)
    pool.submit('t-1', 8)
    assert pool.count_starts() == {'t-0': SLOTS - 1, 't-1': 1}


def test_teams_within_their_rates_keep_the_usual_order() -> None:
    """Guard against shares that delay jobs while no team exceeds its rate."""
    teams = make_teams(2, jobs_per_s=25)
    pool = SharedPool(*teams, needs_excess=True)
    pool.submit('t-0', 45)
    pool.submit('t-1', 45)
    assert pool.count_starts() == {'t-0': SLOTS}
    pool.submit('t-0', 45)
    pool.end(pool.list_running())
    # Ten jobs of the first team are within its rate.
    assert pool.count_starts() == {'t-0': 10, 't-1': 30}


def test_late_work_gets_a_bounded_part() -> None:
    """Guard against late work that waits until it is of no use."""
    pool = SharedPool(Team('t-0'), late_share=0.1)
    pool.submit('t-0', SLOTS)
    pool.now_ms += _ALLOWED_MS
    pool.submit('t-0', 2 * SLOTS)
    late = {f'job-{number}' for number in range(SLOTS)}
    assert len(late & {start.task.job for start in pool.plan()}) == 4


def test_useless_work_comes_last_and_takes_no_share() -> None:
    """Guard against a backlog of no use that reduces others' shares."""
    pool = SharedPool(*make_teams(2))
    pool.submit('t-0', 8 * SLOTS)
    pool.now_ms += 3 * _ALLOWED_MS
    pool.submit('t-1', 2 * SLOTS)
    assert pool.count_starts() == {'t-1': SLOTS}


def test_excess_is_logged_once_and_shares_are_shown() -> None:
    """Guard against a line for each job of a burst, and missing gauges."""
    pool = SharedPool(Team('t-0', jobs_per_s=1))
    shares = TeamShares(enabled=True)
    dispatcher = Dispatcher(DispatchSettings(team_shares=shares))
    dispatcher.start_term(pool.state, 1, 0)
    events: list[str] = []
    for number in range(60):
        request = JobRequest('', (make_step(),))
        command = SubmitJob(f'job-{number}', 'seats', 't-0', request, 1000)
        pool.apply(command)
        for output in dispatcher.handle_applied(command, number / 60, 1000):
            if isinstance(output, LogDecision):
                events.append(f'{output.event} {output.subject}')
    assert events == ['team.over_rate t-0']
    assert dispatcher.list_gauges()['team_share_millicores'] == {}
    assert POOL in {worker.pool for worker in pool.state.workers.values()}


def test_largest_jobs_and_small_teams_are_served_in_a_burst() -> None:
    """Guard against shares that starve large jobs or small teams."""
    day = REGISTRY_DAY._replace(
        team_weights=(4, 2, 1, 1, 0.5, 0.25),
        team_rate_factor=1,
        bursts=(LoadBurst(Period(5, 12), 8, 0),),
    )
    shares = TeamShares(enabled=True)
    with_shares = FleetSimulation(
        day, DispatchSettings(team_shares=shares), 1
    ).run()
    without = FleetSimulation(day, DispatchSettings(), 1).run()
    assert with_shares.owed.on_time > without.owed.on_time
    assert with_shares.owed.worst_team >= _MIN_SERVED
    assert 2 * with_shares.largest_jobs >= with_shares.on_time


def test_day_without_rates_is_the_same_with_shares() -> None:
    """Guard against another order while no team exceeds its rate."""
    shares = TeamShares(enabled=True)
    day = REGISTRY_DAY._replace(duration_s=20)
    with_shares = FleetSimulation(
        day, DispatchSettings(team_shares=shares), 2
    ).run()
    assert with_shares == FleetSimulation(day, DispatchSettings(), 2).run()
