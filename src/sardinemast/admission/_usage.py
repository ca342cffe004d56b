"""What each team has running through this entry."""

from itertools import count


class TeamUsage:
    """Count running requests by team.

    A request counts as running until its end at the upstream is known. After
    a timeout the upstream may go on, so the place is held until the longest
    permitted run has passed; freeing it sooner would let the team pass its
    limit while nobody sees it.
    """

    def __init__(self) -> None:
        self._running: dict[int, str] = {}
        self._held_until_s: dict[int, float] = {}
        # Ids of requests count up from 1.
        self._former_ids = count(-1, -1)

    def start(self, request_id: int, team: str) -> None:
        """Count a request as running."""
        self._running[request_id] = team

    def end(self, request_id: int) -> None:
        """Free the place of a request whose end is known."""
        self._running.pop(request_id, None)
        self._held_until_s.pop(request_id, None)

    def hold(self, request_id: int, until_s: float) -> None:
        """Keep the place of a request whose end is not known."""
        if request_id in self._running:
            self._held_until_s[request_id] = until_s

    def leave_held(self, request_id: int, until_s: float) -> None:
        """Hold a second place, for a former attempt of a request.

        It may still run at one upstream while another one gets it; counted
        once, the team would pass its limit.
        """
        team = self._running.get(request_id)
        if team is not None:
            place = next(self._former_ids)
            self._running[place] = team
            self._held_until_s[place] = until_s

    def release_held(self, now_s: float) -> None:
        """Free the places whose longest permitted run has passed."""
        ended = [
            request_id
            for request_id, until_s in self._held_until_s.items()
            if until_s <= now_s
        ]
        for request_id in ended:
            self.end(request_id)

    def count(self, team: str) -> int:
        """Count what runs for a team."""
        return sum(one == team for one in self._running.values())

    def get_teams(self) -> set[str]:
        """Give the teams that have something running."""
        return set(self._running.values())
