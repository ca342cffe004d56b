"""Exchanges with workers and services of the platform, over HTTP."""

from http import HTTPStatus
from typing import Any, NamedTuple

import msgspec
from logbook import Logger

from sardinemast.dispatch import OrderOutcome
from sardinemast.membership import Announcement
from sardinemast.platform._decoding import DECODE_ERRORS, decode
from sardinemast.platform._worker_bodies import ListsBody
from sardinemast.routing import AttemptResult, StartAttempt
from sardinemast.shell import (
    Header,
    RawAttempt,
    UpstreamClient,
    encode_request,
)

_log = Logger('workers')
# A worker takes this many connections at once.
_CONNECTIONS_MAX = 64
_CERTAIN = frozenset((AttemptResult.answered, AttemptResult.failed))
_JSON_HEADER = ('Content-Type', 'application/json')


class OrderReply(NamedTuple):
    """Hold what became of an order, and the body where there is one."""

    outcome: OrderOutcome
    body: ListsBody | None = None
    is_invalid_request: bool = False


class PlatformClient:
    """Send requests of this process, each at most once."""

    def __init__(self, own_host: str) -> None:
        self.own_host = own_host
        self._client = UpstreamClient()

    async def run(self) -> None:
        """Close connections that have gone stale, until cancelled."""
        await self._client.run()

    async def post(
        self,
        start: StartAttempt,
        path: str,
        body: dict[str, Any],
        *headers: Header,
    ) -> RawAttempt:
        """Post a body, and give the answer or what is known."""
        request = encode_request(
            'POST',
            path,
            start.upstream,
            (_JSON_HEADER, *headers),
            msgspec.json.encode(body),
        )
        return await self._client.exchange(start, request)

    async def get(self, start: StartAttempt, path: str) -> RawAttempt:
        """Read a path, and give the answer or what is known."""
        request = encode_request('GET', path, start.upstream, (), b'')
        return await self._client.exchange(start, request)


def make_attempt(
    upstream: Announcement,
    timeout_s: float,
    valid_until_s: float,
) -> StartAttempt:
    """Describe a request that must not be sent twice."""
    return StartAttempt(
        0,
        upstream,
        timeout_s,
        is_repeatable=False,
        connection_limit=_CONNECTIONS_MAX,
        valid_until_s=valid_until_s,
    )


def classify_reply(attempt: RawAttempt) -> OrderReply:
    """Tell what became of an order by how its request ended."""
    if attempt.attempt_result is AttemptResult.not_sent:
        return OrderReply(OrderOutcome.not_sent)
    if attempt.response is None or attempt.attempt_result not in _CERTAIN:
        return OrderReply(OrderOutcome.unknown)
    return _read_reply(attempt.response.code, attempt.response.body)


def _read_reply(code: int, body: bytes) -> OrderReply:
    if code == HTTPStatus.MISDIRECTED_REQUEST:
        return OrderReply(OrderOutcome.gone)
    try:
        found = decode(body, ListsBody) if body else None
    except DECODE_ERRORS as error:
        # Another program may answer at the address. Without its lists
        # nothing is known of the runs, which is what unknown says.
        _log.warning('A worker answered {} unreadably: {}.', code, error)
        return OrderReply(OrderOutcome.unknown)
    if code == HTTPStatus.OK:
        return OrderReply(OrderOutcome.done, found)
    is_invalid_request = code == HTTPStatus.BAD_REQUEST
    return OrderReply(OrderOutcome.refused, found, is_invalid_request)
