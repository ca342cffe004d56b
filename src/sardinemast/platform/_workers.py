"""Orders to the platform's workers, over HTTP."""

import asyncio
from collections.abc import Callable
from functools import singledispatchmethod
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import urlencode

import msgspec
from logbook import Logger
from tornado.httputil import HTTPHeaders

from sardinemast.conf import Address
from sardinemast.control import ControlEvent
from sardinemast.dispatch import (
    AdviceAnswered,
    AskAdvice,
    DispatchOutput,
    InstancesListed,
    ListedInstance,
    ListInstances,
    LookAtWorker,
    MoveAnswered,
    OrderMove,
    OrderOutcome,
    OrderUpkeep,
    PaceRun,
    RunAnswered,
    StartRun,
    StopRun,
    UpkeepAnswered,
    WorkerLooked,
)
from sardinemast.jobs import Worker
from sardinemast.membership import Announcement
from sardinemast.platform._translate import (
    make_instance,
    make_look_answer,
    make_tickets,
)
from sardinemast.platform._wire import DECODE_ERRORS, decode
from sardinemast.platform._worker_bodies import (
    GrantedBody,
    ListsBody,
    MachinesBody,
)
from sardinemast.routing import AttemptResult, StartAttempt
from sardinemast.shell import Attempt, CallerRequest, UpstreamClient

_log = Logger('workers')
# A worker takes this many connections at once.
_CONNECTIONS_MAX = 64
# A list that goes on beyond this is not believed: several times the fleet of
# about 1,900 that the system is meant for.
_INSTANCES_MAX = 10_000
_CERTAIN = frozenset((AttemptResult.answered, AttemptResult.failed))


class _Reply(NamedTuple):
    outcome: OrderOutcome
    body: ListsBody | None = None
    is_bad: bool = False


class PlatformGateway:
    """Carry the leader's orders, each in a task of its own.

    Orders for instances go to the platform's service for them, under the
    name of this process as their holder, questions about workers to that for
    advice.
    """

    def __init__(
        self,
        own_host: str,
        instances: Address | None,
        advice: Address | None = None,
    ) -> None:
        self._client = UpstreamClient()
        self._own_host = own_host
        self._instances = instances
        self._advice = advice
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Close connections that have gone stale, until cancelled."""
        await self._client.run()

    def send(
        self,
        order: DispatchOutput,
        valid_until_s: float,
        take: Callable[[ControlEvent], None],
    ) -> None:
        """Send an order, and hand over what became of it."""
        task = asyncio.create_task(self._send(order, valid_until_s, take))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @singledispatchmethod
    async def _send(
        self,
        order: Any,
        valid_until_s: float,
        take: Callable[[ControlEvent], None],
    ) -> None:
        raise TypeError(order)

    @_send.register
    async def _send_look(
        self,
        order: LookAtWorker,
        valid_until_s: float,
        take: Callable[[ControlEvent], None],
    ) -> None:
        body: dict[str, Any] = {
            'fence': order.fence,
            'last_seen': order.seen,
            'wait_ms': order.wait_ms,
        }
        if order.expires_ms is not None:
            body['expires_ms'] = order.expires_ms
        reply = await self._post(order, '/hold', body, valid_until_s)
        answer = None
        if reply.outcome is OrderOutcome.done and reply.body is not None:
            answer = make_look_answer(reply.body)
        take(
            WorkerLooked(
                order.worker.name,
                order.fence,
                order.sent_s,
                reply.outcome,
                answer,
            ),
        )

    @_send.register
    async def _send_start(
        self,
        order: StartRun,
        valid_until_s: float,
        take: Callable[[ControlEvent], None],
    ) -> None:
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
        take(
            RunAnswered(
                order.worker.name,
                order.task,
                order.number,
                reply.outcome,
                answered.get('reason', ''),
                answered.get('wall_ms', 0),
            ),
        )

    @_send.register
    async def _send_stop(
        self,
        order: StopRun,
        valid_until_s: float,
        take: Callable[[ControlEvent], None],
    ) -> None:
        body = {
            'task': str(order.task),
            'run': order.number,
            'fence': order.fence,
        }
        await self._post(order, '/run-stop', body, valid_until_s)

    @_send.register
    async def _send_pace(
        self,
        order: PaceRun,
        valid_until_s: float,
        take: Callable[[ControlEvent], None],
    ) -> None:
        body = {
            'task': str(order.task),
            'run': order.number,
            'percent': order.percent,
            'fence': order.fence,
        }
        await self._post(order, '/pace', body, valid_until_s)

    @_send.register
    async def _send_upkeep(
        self,
        order: OrderUpkeep,
        valid_until_s: float,
        take: Callable[[ControlEvent], None],
    ) -> None:
        body = {'machine': order.instance, 'wave': order.wave}
        reply = await self._order_instance(
            order,
            '/machine-upkeep',
            body,
            valid_until_s,
        )
        take(
            UpkeepAnswered(
                order.instance,
                order.wave,
                order.boot_ms,
                reply.outcome,
                reply.is_bad,
                (reply.body or {}).get('reason', ''),
            ),
        )

    @_send.register
    async def _send_move(
        self,
        order: OrderMove,
        valid_until_s: float,
        take: Callable[[ControlEvent], None],
    ) -> None:
        body = {'machine': order.instance, 'pool': order.pool}
        reply = await self._order_instance(
            order,
            '/machine-move',
            body,
            valid_until_s,
        )
        take(MoveAnswered(order.instance, order.pool, reply.outcome))

    @_send.register
    async def _send_question(
        self,
        order: AskAdvice,
        valid_until_s: float,
        take: Callable[[ControlEvent], None],
    ) -> None:
        if self._advice is None:
            take(AdviceAnswered(order.step, is_answered=False))
            return
        body = {
            'step': str(order.step),
            'workers': [worker.name for worker in order.workers],
        }
        attempt = await self._client.send(
            _make_attempt(
                _make_service(self._advice),
                order.timeout_s,
                valid_until_s,
            ),
            self._make_post('/advise', {}, body),
        )
        granted = _read_granted(attempt)
        if granted is None:
            take(AdviceAnswered(order.step, is_answered=False))
            return
        take(AdviceAnswered(order.step, make_tickets(granted)))

    @_send.register
    async def _send_list(
        self,
        order: ListInstances,
        valid_until_s: float,
        take: Callable[[ControlEvent], None],
    ) -> None:
        listed: list[ListedInstance] = []
        page = await self._read_page(order, '', valid_until_s)
        while page is not None and len(listed) < _INSTANCES_MAX:
            listed.extend(map(make_instance, page.get('machines', [])))
            token = page.get('next_token') or ''
            if not token:
                take(InstancesListed(tuple(listed)))
                return
            page = await self._read_page(order, token, valid_until_s)

    async def _read_page(
        self,
        order: ListInstances,
        token: str,
        valid_until_s: float,
    ) -> MachinesBody | None:
        if self._instances is None:
            return None
        path = '/machines'
        if token:
            query = urlencode({'page_token': token})
            path = f'{path}?{query}'
        attempt = await self._client.send(
            _make_attempt(
                _make_service(self._instances),
                order.timeout_s,
                valid_until_s,
            ),
            CallerRequest('GET', path, HTTPHeaders(), b'', self._own_host),
        )
        if attempt.answer is None or attempt.answer.code != HTTPStatus.OK:
            return None
        try:
            return decode(attempt.answer.body, MachinesBody)  # type: ignore[no-any-return]
        except DECODE_ERRORS as error:
            _log.warning('The list of instances is unreadable: {}.', error)
            return None

    async def _order_instance(
        self,
        order: OrderUpkeep | OrderMove,
        path: str,
        body: dict[str, Any],
        valid_until_s: float,
    ) -> _Reply:
        if self._instances is None:
            return _Reply(OrderOutcome.not_sent)
        headers = {
            'X-Lease-Holder': self._own_host,
            'X-Fence-Token': str(order.token),
        }
        return await self._exchange(
            _make_attempt(
                _make_service(self._instances),
                order.timeout_s,
                valid_until_s,
            ),
            self._make_post(path, headers, body),
        )

    async def _post(
        self,
        order: LookAtWorker | StartRun | StopRun | PaceRun,
        path: str,
        body: dict[str, Any],
        valid_until_s: float,
    ) -> _Reply:
        headers = {'X-Expect-Instance': order.worker.name}
        upstream = _make_announcement(order.worker)
        return await self._exchange(
            _make_attempt(upstream, order.timeout_s, valid_until_s),
            self._make_post(path, headers, body),
        )

    def _make_post(
        self,
        path: str,
        headers: dict[str, str],
        body: dict[str, Any],
    ) -> CallerRequest:
        return CallerRequest(
            'POST',
            path,
            HTTPHeaders({'Content-Type': 'application/json', **headers}),
            msgspec.json.encode(body),
            self._own_host,
        )

    async def _exchange(
        self,
        start: StartAttempt,
        request: CallerRequest,
    ) -> _Reply:
        attempt = await self._client.send(start, request)
        if attempt.attempt_result is AttemptResult.not_sent:
            return _Reply(OrderOutcome.not_sent)
        if attempt.answer is None or attempt.attempt_result not in _CERTAIN:
            return _Reply(OrderOutcome.unknown)
        return _read_reply(attempt.answer.code, attempt.answer.body)


def _make_service(address: Address) -> Announcement:
    # Connections are kept by name; two services must not share one.
    name = f'{address.host}:{address.port}'
    return Announcement(name, 0, '', *address, '', '')


def _make_attempt(
    upstream: Announcement,
    timeout_s: float,
    valid_until_s: float,
) -> StartAttempt:
    return StartAttempt(
        0,
        upstream,
        timeout_s,
        is_repeatable=False,
        connection_limit=_CONNECTIONS_MAX,
        valid_until_s=valid_until_s,
    )


def _read_reply(code: int, body: bytes) -> _Reply:
    if code == HTTPStatus.MISDIRECTED_REQUEST:
        return _Reply(OrderOutcome.gone)
    try:
        found = decode(body, ListsBody) if body else None
    except DECODE_ERRORS as error:
        # Another program may answer at the address. Without its lists
        # nothing is known of the runs, which is what unknown says.
        _log.warning('A worker answered {} unreadably: {}.', code, error)
        return _Reply(OrderOutcome.unknown)
    if code == HTTPStatus.OK:
        return _Reply(OrderOutcome.done, found)
    is_bad = code == HTTPStatus.BAD_REQUEST
    return _Reply(OrderOutcome.refused, found, is_bad)


def _read_granted(attempt: Attempt) -> GrantedBody | None:
    if attempt.answer is None or attempt.answer.code != HTTPStatus.OK:
        return None
    try:
        return decode(attempt.answer.body, GrantedBody)  # type: ignore[no-any-return]
    except DECODE_ERRORS as error:
        _log.warning('The answer to a question is unreadable: {}.', error)
        return None


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
