"""Teams of the catalog, and the rates at which they submit jobs."""

from typing import TYPE_CHECKING, NamedTuple

from sardinemast.jobs._records import Team

if TYPE_CHECKING:
    from sardinemast.jobs._state import JobState

_MS = 1000
# A bucket holds what a team is owed in this time, so that callers that submit
# several jobs at once stay within their rate.
_BUCKET_S = 2.0
_BUCKET_MIN_TOKENS = 4.0


class TokenBucket(NamedTuple):
    """Hold the tokens of a team, as of a Unix time."""

    tokens: float
    refilled_ms: int


class Teams:
    """Hold the teams of the catalog and the token bucket of each.

    A team that has submitted nothing yet has no bucket, which counts as full.
    """

    def __init__(self) -> None:
        self.buckets: dict[str, TokenBucket] = {}
        self._by_name: dict[str, Team] = {}
        self._by_key: dict[str, Team] = {}

    def replace(self, teams: tuple[Team, ...]) -> None:
        """Replace all teams; those that stay keep their tokens."""
        self._by_name = {team.name: team for team in teams}
        self._by_key = {key: team for team in teams for key in team.keys}
        self.buckets = {
            name: bucket
            for name, bucket in self.buckets.items()
            if name in self._by_name
        }

    def get(self, name: str) -> Team | None:
        """Return a team, or None if it is unknown."""
        return self._by_name.get(name)

    def find_by_key(self, key: str) -> Team | None:
        """Return the team that owns the key, or None."""
        return self._by_key.get(key)

    def take_token(self, job: 'JobState') -> bool:
        """Take a token for a new job; return whether there was one.

        A job needs no token if its team has no rate, or if one of its steps is
        long-running.
        """
        team = self._by_name.get(job.team)
        if team is None or team.jobs_per_s <= 0:
            return True
        if any(step.is_long_running for step in job.request.steps):
            return True
        bucket = self._refill(team, job.submitted_ms)
        has_token = bucket.tokens >= 1
        if has_token:
            bucket = bucket._replace(tokens=bucket.tokens - 1)
        self.buckets[team.name] = bucket
        return has_token

    def _refill(self, team: Team, now_ms: int) -> TokenBucket:
        size = max(team.jobs_per_s * _BUCKET_S, _BUCKET_MIN_TOKENS)
        bucket = self.buckets.get(team.name)
        if bucket is None:
            return TokenBucket(size, now_ms)
        # The clock of a new leader may be behind that of the last one.
        elapsed_ms = max(now_ms - bucket.refilled_ms, 0)
        refilled = bucket.tokens + team.jobs_per_s * elapsed_ms / _MS
        return TokenBucket(min(refilled, size), max(now_ms, bucket.refilled_ms))
