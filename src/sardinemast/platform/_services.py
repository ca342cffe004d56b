"""Client of the platform's instance service and policy service."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec
from logbook import Logger

from sardinemast.conf import Address
from sardinemast.dispatch import (
    AdviceAnswered,
    InstancesListed,
    ListedInstance,
    ListInstances,
    MaintenanceAnswered,
    MoveAnswered,
    OrderMaintenance,
    OrderMove,
    OrderOutcome,
    RequestAdvice,
)
from sardinemast.membership import Announcement
from sardinemast.platform._decoding import DECODE_ERRORS, decode
from sardinemast.platform._http_client import (
    OrderReply,
    PlatformClient,
    classify_attempt,
    make_attempt,
)
from sardinemast.platform._partial_bodies import (
    decode_granted,
    decode_instances,
)
from sardinemast.platform._translate import make_instance, make_tickets
from sardinemast.platform._worker_bodies import InstanceBody
from sardinemast.routing import StartAttempt
from sardinemast.shell import RawAttempt

_log = Logger('services')
# Rejects an endless list; several times the largest supported fleet of about
# 1,900 workers.
_INSTANCES_MAX = 10_000
_PAGES_MAX = 1_000
_LIST_PATH = '/machines'
_Body = TypeVar('_Body')


class ServiceClient:
    """Order and list instances, and request start tickets.

    Orders for instances carry this process's host as lease holder and a
    fencing token.
    """

    def __init__(
        self,
        client: PlatformClient,
        instances: Address | None,
        advice: Address | None,
    ) -> None:
        self._client = client
        self._instances = instances
        self._advice = advice

    async def send_maintenance(
        self,
        order: OrderMaintenance,
        valid_until_s: float,
    ) -> MaintenanceAnswered:
        """Order the maintenance of an instance."""
        body = {'machine': order.instance, 'wave': order.wave}
        reply = await self._order_instance(
            order,
            '/machine-upkeep',
            body,
            valid_until_s,
        )
        return MaintenanceAnswered(
            order.instance,
            order.wave,
            order.boot_ms,
            reply.outcome,
            reply.is_invalid_request,
            (reply.body or {}).get('reason', ''),
        )

    async def send_move(
        self,
        order: OrderMove,
        valid_until_s: float,
    ) -> MoveAnswered:
        """Order the move of an instance to another pool."""
        body = {'machine': order.instance, 'pool': order.pool}
        reply = await self._order_instance(
            order,
            '/machine-move',
            body,
            valid_until_s,
        )
        return MoveAnswered(order.instance, order.pool, reply.outcome)

    async def request_advice(
        self,
        order: RequestAdvice,
        valid_until_s: float,
    ) -> AdviceAnswered:
        """Request tickets for the workers that may run a step."""
        unanswered = AdviceAnswered(order.step, is_answered=False)
        if self._advice is None:
            return unanswered
        body = {
            'step': str(order.step),
            'workers': [worker.name for worker in order.workers],
        }
        start = _make_start(self._advice, order.timeout_s, valid_until_s)
        attempt = await self._client.post(start, '/advise', body)
        granted = _read_body(attempt, decode_granted)
        if granted is None:
            return unanswered
        return AdviceAnswered(order.step, make_tickets(granted))

    async def list_instances(
        self,
        order: ListInstances,
        valid_until_s: float,
    ) -> InstancesListed | None:
        """Return all instances, or ``None`` if the list is incomplete."""
        if self._instances is None:
            return None
        start = _make_start(self._instances, order.timeout_s, valid_until_s)
        entries: list[msgspec.Raw] = []
        tokens = ['']
        while len(entries) <= _INSTANCES_MAX and len(tokens) <= _PAGES_MAX:
            path = _make_list_path(tokens[-1])
            attempt = await self._client.get(start, path)
            page = _read_body(attempt, decode_instances)
            if page is None:
                result = attempt.attempt_result
                _log.warning('Listing instances failed: {}.', result)
                return None
            entries.extend(page.get('machines', []))
            token = page.get('next_token') or ''
            if not token:
                return InstancesListed(_read_instances(entries), order.asked_s)
            if token in tokens:
                break
            tokens.append(token)
        _log.warning('The list of instances has no end.')
        return None

    async def _order_instance(
        self,
        order: OrderMaintenance | OrderMove,
        path: str,
        body: dict[str, Any],
        valid_until_s: float,
    ) -> OrderReply:
        if self._instances is None:
            return OrderReply(OrderOutcome.not_sent)
        start = _make_start(self._instances, order.timeout_s, valid_until_s)
        attempt = await self._client.post(
            start,
            path,
            body,
            ('X-Lease-Holder', self._client.own_host),
            ('X-Fence-Token', str(order.token)),
        )
        return classify_attempt(attempt)


def _make_start(
    address: Address,
    timeout_s: float,
    valid_until_s: float,
) -> StartAttempt:
    # Connections are pooled by name, so each service needs its own.
    name = f'{address.host}:{address.port}'
    service = Announcement(name, 0, '', *address, '', '')
    return make_attempt(service, timeout_s, valid_until_s)


def _make_list_path(token: str) -> str:
    if not token:
        return _LIST_PATH
    query = urlencode({'page_token': token})
    return f'{_LIST_PATH}?{query}'


def _read_body(
    attempt: RawAttempt, read: Callable[[bytes], _Body]
) -> _Body | None:
    if attempt.response is None or attempt.response.code != HTTPStatus.OK:
        return None
    try:
        return read(attempt.response.body)
    except DECODE_ERRORS as error:
        _log.warning('A response cannot be decoded: {}.', error)
        return None


def _read_instances(entries: list[msgspec.Raw]) -> tuple[ListedInstance, ...]:
    """Return the instances of a list, without entries that are invalid."""
    instances: list[ListedInstance] = []
    for entry in entries:
        try:
            instances.append(make_instance(decode(entry, InstanceBody)))
        except DECODE_ERRORS as error:
            last_error = error
    if len(instances) < len(entries):
        _log.warning(
            '{} of {} listed instances cannot be decoded, the last one: {}.',
            len(entries) - len(instances),
            len(entries),
            last_error,
        )
    return tuple(instances)
