"""Weighted fair queueing of teams in a pool by actual service time."""

from collections.abc import Iterable
from typing import NamedTuple

from sardinemast.admission._request_queue import QueueKey
from sardinemast.admission._usage import TeamUsage
from sardinemast.protocol import PoolAllotment

_DEFAULT_ALLOTMENT_SLOTS = 1.0
_MIN_ALLOTMENT_SLOTS = 0.02


class _Account(NamedTuple):
    used_s: float
    virtual_s: float


class FairOrder:
    """Order a pool's queues by virtual time: service time over weight.

    The weight of a team is its allotment of this entry's slots, which the
    leader computes over the whole fleet. A queue that was empty starts at
    the virtual time of the queue served last, so that an idle team accrues
    no credit.
    """

    def __init__(self, usage: TeamUsage) -> None:
        self._usage = usage
        self._allotments: dict[QueueKey, float] = {}
        self._accounts: dict[QueueKey, _Account] = {}
        self._last_served_s: dict[str, float] = {}

    def replace_allotments(self, pools: Iterable[PoolAllotment]) -> None:
        """Replace the teams' allotments by the leader's latest ones."""
        self._allotments = {
            (pool.pool, allotment.team): allotment.slots
            for pool in pools
            for allotment in pool.teams
        }

    def get_allotment(self, queue_key: QueueKey) -> float:
        """Return a team's allotment of this entry's slots in a pool."""
        allotment = self._allotments.get(queue_key, _DEFAULT_ALLOTMENT_SLOTS)
        return max(allotment, _MIN_ALLOTMENT_SLOTS)

    def activate(self, queue_key: QueueKey, now_s: float) -> None:
        """Advance a queue that was empty to the current virtual time."""
        account = self._charge(queue_key, now_s)
        self._accounts[queue_key] = account._replace(
            virtual_s=max(
                account.virtual_s,
                self._last_served_s.get(queue_key[0], 0),
            ),
        )

    def rank(
        self, queue_key: QueueKey, service_s: float, now_s: float
    ) -> float:
        """Return the virtual time, with ``service_s`` per running request."""
        account = self._charge(queue_key, now_s)
        self._accounts[queue_key] = account
        expected_s = self._usage.count_running(queue_key) * service_s
        return account.virtual_s + expected_s / self.get_allotment(queue_key)

    def record_start(self, queue_key: QueueKey) -> None:
        """Record the virtual time of the queue that was served."""
        pool = queue_key[0]
        self._last_served_s[pool] = max(
            self._last_served_s.get(pool, 0),
            self._accounts[queue_key].virtual_s,
        )

    def _charge(self, queue_key: QueueKey, now_s: float) -> _Account:
        used_s = self._usage.get_used_s(queue_key, now_s)
        account = self._accounts.get(queue_key, _Account(used_s, 0))
        new_s = used_s - account.used_s
        return _Account(
            used_s,
            account.virtual_s + new_s / self.get_allotment(queue_key),
        )
