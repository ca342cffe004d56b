"""Rates of teams, applied with each submission."""

from builders.shared_pools import SharedPool
from builders.workers import make_step
from sardinemast.jobs import JobsImage, Team, dump_state, load_state
from sardinemast.wire import dump_plain, load_plain

_TEAM = Team('t', jobs_per_s=10)


def _count_within_rate(pool: SharedPool) -> int:
    return sum(job.is_within_rate for job in pool.state.jobs.values())


def test_full_bucket_holds_two_seconds() -> None:
    """Guard against a burst within the allowance that is marked."""
    pool = SharedPool(_TEAM)
    pool.submit('t', 30)
    assert _count_within_rate(pool) == 20
    pool.now_ms += 500
    pool.submit('t', 30)
    assert _count_within_rate(pool) == 25


def test_small_rate_still_allows_four_jobs_at_once() -> None:
    """Guard against a small team whose pair of jobs exceeds its rate."""
    pool = SharedPool(Team('t', jobs_per_s=0.1))
    pool.submit('t', 6)
    assert _count_within_rate(pool) == 4


def test_clock_set_back_refills_nothing() -> None:
    """Guard against tokens from a leader whose clock is behind."""
    pool = SharedPool(_TEAM)
    pool.submit('t', 20)
    pool.now_ms -= 800
    pool.submit('t', 1)
    pool.now_ms += 800
    pool.submit('t', 1)
    assert _count_within_rate(pool) == 20


def test_some_jobs_need_no_token() -> None:
    """Guard against marked jobs of no team, no rate or long-running steps."""
    pool = SharedPool(_TEAM, Team('unlimited'))
    pool.submit('', 50)
    pool.submit('unlimited', 50)
    pool.submit('t', 50, make_step(is_long_running=True))
    pool.submit('t', 20)
    assert _count_within_rate(pool) == 170


def test_bucket_shrinks_with_a_lower_rate() -> None:
    """Guard against tokens of a rate that an operator has lowered."""
    pool = SharedPool(_TEAM)
    pool.submit('t', 1)
    pool.put_teams(Team('t', jobs_per_s=2.5))
    pool.submit('t', 10)
    assert _count_within_rate(pool) == 6
    pool.put_teams()
    assert not pool.state.teams.buckets


def test_snapshot_keeps_buckets_and_marks() -> None:
    """Guard against a restored replica that decides differently."""
    pool = SharedPool(_TEAM)
    pool.submit('t', 25)
    plain = dump_plain(dump_state(pool.state))
    copy = load_state(load_plain(JobsImage, plain))
    assert copy.teams.buckets == pool.state.teams.buckets
    assert not copy.jobs['job-24'].is_within_rate


def test_older_snapshot_loads() -> None:
    """Guard against snapshots without the new fields that do not load."""
    pool = SharedPool(_TEAM)
    pool.submit('t', 25)
    plain = dump_plain(dump_state(pool.state))
    older = plain[: JobsImage._fields.index('token_buckets')]
    catalog, live = older[0], older[2]
    catalog[3] = [team[:5] for team in catalog[3]]
    older[2] = [job[:11] for job in live]
    copy = load_state(load_plain(JobsImage, older))
    assert copy.jobs['job-24'].is_within_rate
    assert copy.catalog.teams == (Team('t'),)
