"""HTTP handlers for operators: list and repair replicas of the log."""

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
    """Submit repair requests to the core and wait for its answers."""

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
        """Return the routes of the handlers."""
        options = {'service': self}
        return [
            ('/v1/replicas', ReplicasHandler, options),
            ('/v1/replicas/([^/]+)/repair', RepairHandler, options),
        ]

    async def ask(self, name: str) -> control.AnswerRepair:
        """Request the repair of a replica and wait for the answer."""
        request_id = next(self._request_ids)
        answer = asyncio.get_running_loop().create_future()
        self._pending[request_id] = answer
        self._put(control.RepairRequested(request_id, name))
        try:
            return await asyncio.wait_for(answer, _ANSWER_TIMEOUT_S)
        finally:
            self._pending.pop(request_id, None)

    def answer(self, output: control.AnswerRepair) -> None:
        """Resolve the pending request of an answer."""
        pending = self._pending.get(output.request_id)
        if pending is not None and not pending.done():
            pending.set_result(output)


class ReplicasHandler(LeaderHandler):
    """Serve the replicas as known to the leader."""

    def get(self) -> None:
        """Return each member and its progress."""
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
    """Accept requests to replace a replica's data folder."""

    async def post(self, name: str) -> None:
        """Make the replica rejoin empty if the others form a majority."""
        answer = await self.service.ask(name)
        if answer.is_accepted:
            self.finish({'is_accepted': True, 'replica': name})
        else:
            self.refuse(
                HTTPStatus.CONFLICT,
                'control.E004',
                'The other replicas are not a majority, the name is unknown '
                'or that of the leader, or a change is in progress.',
            )
