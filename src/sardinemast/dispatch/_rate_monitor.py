"""Log when teams begin to submit more jobs than they are owed."""

from sardinemast.dispatch._state import DispatchState
from sardinemast.jobs.commands import SubmitJob

# A team at its rate gets tokens in between, so that a period of excess only
# ends when none of its jobs has lacked a token for this long.
_EXCESS_END_S = 5.0


class RateMonitor:
    """Log each period in which a team exceeds its rate, once."""

    def __init__(self, state: DispatchState) -> None:
        self._state = state
        self._last_excess_s: dict[str, float] = {}

    def handle_submitted(self, command: SubmitJob, now_s: float) -> None:
        """Log the start of an excess if this job is beyond the rate."""
        if not self._state.settings.team_shares.enabled:
            return
        job = self._state.jobs.jobs.get(command.name)
        if job is None or job.is_within_rate:
            return
        last_s = self._last_excess_s.get(job.team, float('-inf'))
        self._last_excess_s[job.team] = now_s
        team = self._state.jobs.teams.get(job.team)
        if now_s >= last_s + _EXCESS_END_S and team is not None:
            self._state.log(
                'team.over_rate',
                team.name,
                jobs_per_s=team.jobs_per_s,
                job=job.name,
            )
