"""Operators' HTTP for the replicas of the log."""

import asyncio
import time
from collections.abc import Callable
from http import HTTPStatus
from itertools import count
from typing import Any

from sardinemast import control
from sardinemast.shell._base_handlers import LeaderHandler
from sardinemast.shell._security import Access

_ANSWER_TIMEOUT_S = 10.0


class ReplicaService:
    """Pair requests for repair with the answers of the core."""

    def __init__(
        self,
        core: control.ControlCore,
        put: Callable[[control.ControlEvent], None],
        access: Access,
    ) -> None:
        self.core = core
        self.access = access
        self._put = put
        self._request_ids = count(1)
        self._pending: dict[int, asyncio.Future[control.AnswerRepair]] = {}

    def get_routes(self) -> list[Any]:
        """Give the handlers by their paths."""
        options = {'service': self}
        return [
            ('/v1/replicas', ReplicasHandler, options),
            ('/v1/replicas/([^/]+)/repair', RepairHandler, options),
        ]

    async def ask(self, name: str) -> control.AnswerRepair:
        """Ask for a replica's folder to be replaced, and wait."""
        request_id = next(self._request_ids)
        answer = asyncio.get_running_loop().create_future()
        self._pending[request_id] = answer
        self._put(control.RepairRequested(request_id, name))
        try:
            return await asyncio.wait_for(answer, _ANSWER_TIMEOUT_S)
        finally:
            self._pending.pop(request_id, None)

    def answer(self, output: control.AnswerRepair) -> None:
        """Pass the answer to whoever waits for it."""
        pending = self._pending.get(output.request_id)
        if pending is not None and not pending.done():
            pending.set_result(output)


class ReplicasHandler(LeaderHandler):
    """Show the replicas as the leader has them."""

    def get(self) -> None:
        """Give each member with how far it is."""
        replica = self.service.core.replica
        self.finish(
            {
                'commit_index': replica.commit_index,
                'leader': replica.leader,
                'replicas': [
                    {**member._asdict(), 'is_heard': is_heard}
                    for member, is_heard in replica.get_members(
                        time.monotonic(),
                    )
                ],
            },
        )


class RepairHandler(LeaderHandler):
    """Have a replica's data folder replaced."""

    async def post(self, name: str) -> None:
        """Tell the replica to join anew, where the others are a majority."""
        answer = await self.service.ask(name)
        if answer.is_accepted:
            self.finish({'is_accepted': True, 'replica': name})
        else:
            self.refuse(
                HTTPStatus.CONFLICT,
                'control.E004',
                'The others are no majority, or the name is the leader or '
                'unknown, or a change is under way.',
            )
