"""Orders to the platform's workers, over HTTP."""

import asyncio
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from sardinemast.conf import Address
from sardinemast.control import ControlEvent
from sardinemast.dispatch import (
    DispatchOutput,
    ListInstances,
    OrderMaintenance,
    OrderMove,
    OrderOutcome,
    PollWorker,
    RequestAdvice,
    StartAnswered,
    StartRun,
    StopRun,
    ThrottleRun,
    WorkerPolled,
)
from sardinemast.jobs import Worker
from sardinemast.membership import Announcement
from sardinemast.platform._http_client import (
    OrderReply,
    PlatformClient,
    classify_reply,
    make_attempt,
)
from sardinemast.platform._services import ServiceOrders
from sardinemast.platform._translate import make_worker_report


class PlatformGateway:
    """Carry the leader's orders, each in a task of its own."""

    def __init__(
        self,
        own_host: str,
        instances: Address | None,
        advice: Address | None = None,
    ) -> None:
        self._client = PlatformClient(own_host)
        self._services = ServiceOrders(self._client, instances, advice)
        self._tasks: set[asyncio.Task[None]] = set()
        # Each look-up of a dispatching method makes a new function.
        self._carry_order = self._carry

    async def run(self) -> None:
        """Close connections that have gone stale, until cancelled."""
        await self._client.run()

    def send(
        self,
        order: DispatchOutput,
        valid_until_s: float,
        put_event: Callable[[ControlEvent], None],
    ) -> None:
        """Send an order, and hand over what became of it."""
        task = asyncio.create_task(self._send(order, valid_until_s, put_event))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(
        self,
        order: DispatchOutput,
        valid_until_s: float,
        put_event: Callable[[ControlEvent], None],
    ) -> None:
        event = await self._carry_order(order, valid_until_s)
        if event is not None:
            put_event(event)

    @singledispatchmethod
    async def _carry(
        self,
        order: Any,
        valid_until_s: float,
    ) -> ControlEvent | None:
        raise TypeError(order)

    @_carry.register
    async def _carry_upkeep(
        self,
        order: OrderMaintenance,
        valid_until_s: float,
    ) -> ControlEvent:
        return await self._services.send_upkeep(order, valid_until_s)

    @_carry.register
    async def _carry_move(
        self,
        order: OrderMove,
        valid_until_s: float,
    ) -> ControlEvent:
        return await self._services.send_move(order, valid_until_s)

    @_carry.register
    async def _carry_question(
        self,
        order: RequestAdvice,
        valid_until_s: float,
    ) -> ControlEvent:
        return await self._services.ask(order, valid_until_s)

    @_carry.register
    async def _carry_list(
        self,
        order: ListInstances,
        valid_until_s: float,
    ) -> ControlEvent | None:
        return await self._services.list_instances(order, valid_until_s)

    @_carry.register
    async def _carry_look(
        self,
        order: PollWorker,
        valid_until_s: float,
    ) -> ControlEvent:
        body: dict[str, Any] = {
            'fence': order.fence,
            'last_seen': order.acked_position,
            'wait_ms': order.wait_ms,
        }
        if order.expires_ms is not None:
            body['expires_ms'] = order.expires_ms
        reply = await self._post(order, '/hold', body, valid_until_s)
        answer = None
        if reply.outcome is OrderOutcome.done and reply.body is not None:
            answer = make_worker_report(reply.body)
        return WorkerPolled(
            order.worker.name,
            order.fence,
            order.sent_s,
            reply.outcome,
            answer,
        )

    @_carry.register
    async def _carry_start(
        self,
        order: StartRun,
        valid_until_s: float,
    ) -> ControlEvent:
        body: dict[str, Any] = {
            'task': str(order.task),
            'run': order.number,
            'spec': order.spec,
            'expires_ms': order.expires_ms,
            'fence': order.fence,
        }
        if order.checkpoint:
            body['checkpoint'] = order.checkpoint
        if order.ticket:
            body['ticket'] = order.ticket
        reply = await self._post(order, '/run-start', body, valid_until_s)
        answered = reply.body or {}
        return StartAnswered(
            order.worker.name,
            order.task,
            order.number,
            reply.outcome,
            answered.get('reason', ''),
            answered.get('wall_ms', 0),
        )

    @_carry.register
    async def _carry_stop(
        self,
        order: StopRun,
        valid_until_s: float,
    ) -> None:
        body = {
            'task': str(order.task),
            'run': order.number,
            'fence': order.fence,
        }
        await self._post(order, '/run-stop', body, valid_until_s)

    @_carry.register
    async def _carry_pace(
        self,
        order: ThrottleRun,
        valid_until_s: float,
    ) -> None:
        body = {
            'task': str(order.task),
            'run': order.number,
            'percent': order.percent,
            'fence': order.fence,
        }
        await self._post(order, '/pace', body, valid_until_s)

    async def _post(
        self,
        order: PollWorker | StartRun | StopRun | ThrottleRun,
        path: str,
        body: dict[str, Any],
        valid_until_s: float,
    ) -> OrderReply:
        upstream = _make_announcement(order.worker)
        start = make_attempt(upstream, order.timeout_s, valid_until_s)
        expected = ('X-Expect-Instance', order.worker.name)
        return classify_reply(
            await self._client.post(start, path, body, expected)
        )


def _make_announcement(worker: Worker) -> Announcement:
    host, _, port = worker.address.rpartition(':')
    return Announcement(
        worker.name,
        worker.boot_ms,
        worker.pool,
        host,
        int(port),
        worker.data_centre,
        worker.rack,
    )
