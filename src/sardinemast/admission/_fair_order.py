"""Fair queueing of teams in a pool, by the service time really used."""

from collections.abc import Iterable
from typing import NamedTuple

from sardinemast.admission._request_queue import Line
from sardinemast.admission._usage import TeamUsage
from sardinemast.protocol import PoolAllotment

_UNKNOWN_PART_SLOTS = 1.0
_MIN_PART_SLOTS = 0.02


class _Account(NamedTuple):
    used_s: float
    virtual_s: float


class FairOrder:
    """Order the lines of a pool by weighted service time.

    The weight of a team is its fair part of this entry's slots, as the
    leader last computed it over the whole fleet. A line that was empty
    starts no further back than the line served last, so that an idle team
    saves up nothing.
    """

    def __init__(self, usage: TeamUsage) -> None:
        self._usage = usage
        self._parts: dict[Line, float] = {}
        self._accounts: dict[Line, _Account] = {}
        self._served_s: dict[str, float] = {}

    def replace_allotments(self, pools: Iterable[PoolAllotment]) -> None:
        """Take the fair parts that the leader computed."""
        self._parts = {
            (pool.pool, part.team): part.slots
            for pool in pools
            for part in pool.teams
        }

    def get_part(self, line: Line) -> float:
        """Give a team's fair part of this entry's slots in a pool."""
        part = self._parts.get(line, _UNKNOWN_PART_SLOTS)
        return max(part, _MIN_PART_SLOTS)

    def activate(self, line: Line, now_s: float) -> None:
        """Bring a line that was empty up to the others."""
        account = self._charge(line, now_s)
        self._accounts[line] = account._replace(
            virtual_s=max(
                account.virtual_s,
                self._served_s.get(line[0], 0),
            ),
        )

    def rank(self, line: Line, service_s: float, now_s: float) -> float:
        """Give the weighted time used; what runs counts with its mean rest."""
        account = self._charge(line, now_s)
        self._accounts[line] = account
        rest_s = self._usage.count_line(line) * service_s
        return account.virtual_s + rest_s / self.get_part(line)

    def note_start(self, line: Line) -> None:
        """Note which line was served last."""
        pool = line[0]
        self._served_s[pool] = max(
            self._served_s.get(pool, 0),
            self._accounts[line].virtual_s,
        )

    def _charge(self, line: Line, now_s: float) -> _Account:
        used_s = self._usage.get_used_s(line, now_s)
        account = self._accounts.get(line, _Account(used_s, 0))
        fresh_s = used_s - account.used_s
        return _Account(
            used_s,
            account.virtual_s + fresh_s / self.get_part(line),
        )
