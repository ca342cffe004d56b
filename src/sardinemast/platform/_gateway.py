"""Gateway that sends orders to the platform over HTTP."""

import asyncio
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from logbook import Logger

from sardinemast.conf import Address
from sardinemast.control import ControlEvent, make_failed_event
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
    classify_attempt,
    make_attempt,
)
from sardinemast.platform._reports import make_worker_report
from sardinemast.platform._services import ServiceClient

_log = Logger('gateway')


class PlatformGateway:
    """Send the leader's orders, each in an asyncio task of its own."""

    def __init__(
        self,
        own_host: str,
        instances: Address | None,
        advice: Address | None = None,
    ) -> None:
        self._client = PlatformClient(own_host)
        self._services = ServiceClient(self._client, instances, advice)
        self._tasks: set[asyncio.Task[None]] = set()
        # Bound once: each access to a singledispatchmethod makes a function.
        self._execute_order = self._execute

    async def run(self) -> None:
        """Close idle connections until cancelled."""
        await self._client.run()

    def send(
        self,
        order: DispatchOutput,
        valid_until_s: float,
        put_event: Callable[[ControlEvent], None],
    ) -> None:
        """Send an order, and pass its outcome to ``put_event``."""
        task = asyncio.create_task(self._send(order, valid_until_s, put_event))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(
        self,
        order: DispatchOutput,
        valid_until_s: float,
        put_event: Callable[[ControlEvent], None],
    ) -> None:
        try:
            event = await self._execute_order(order, valid_until_s)
        except Exception:
            # Without an outcome, the dispatcher would wait for it until the
            # end of the term. The order may have been sent.
            _log.exception('{} failed.', type(order).__name__)
            event = make_failed_event(order, OrderOutcome.unknown)
        if event is not None:
            put_event(event)

    @singledispatchmethod
    async def _execute(
        self,
        order: Any,
        valid_until_s: float,
    ) -> ControlEvent | None:
        raise TypeError(order)

    @_execute.register
    async def _execute_maintenance(
        self,
        order: OrderMaintenance,
        valid_until_s: float,
    ) -> ControlEvent:
        return await self._services.send_maintenance(order, valid_until_s)

    @_execute.register
    async def _execute_move(
        self,
        order: OrderMove,
        valid_until_s: float,
    ) -> ControlEvent:
        return await self._services.send_move(order, valid_until_s)

    @_execute.register
    async def _execute_advice_request(
        self,
        order: RequestAdvice,
        valid_until_s: float,
    ) -> ControlEvent:
        return await self._services.request_advice(order, valid_until_s)

    @_execute.register
    async def _execute_listing(
        self,
        order: ListInstances,
        valid_until_s: float,
    ) -> ControlEvent | None:
        return await self._services.list_instances(order, valid_until_s)

    @_execute.register
    async def _execute_poll(
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
        report = None
        if reply.outcome is OrderOutcome.done and reply.body is not None:
            report = make_worker_report(reply.body)
        return WorkerPolled(
            order.worker.name,
            order.fence,
            order.sent_s,
            reply.outcome,
            report,
        )

    @_execute.register
    async def _execute_start(
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
        reply_body = reply.body or {}
        return StartAnswered(
            order.worker.name,
            order.task,
            order.number,
            reply.outcome,
            reply_body.get('reason', ''),
            reply_body.get('wall_ms', 0),
        )

    @_execute.register
    async def _execute_stop(
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

    @_execute.register
    async def _execute_throttle(
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
        return classify_attempt(
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
