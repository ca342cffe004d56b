"""HTTP client for workers and services of the platform."""

from http import HTTPStatus
from typing import Any, NamedTuple

import msgspec
from logbook import Logger

from sardinemast.dispatch import OrderOutcome
from sardinemast.membership import Announcement
from sardinemast.platform._decoding import DECODE_ERRORS
from sardinemast.platform._partial_bodies import decode_report
from sardinemast.platform._worker_bodies import WorkerReportBody
from sardinemast.routing import AttemptResult, StartAttempt
from sardinemast.shell import (
    Header,
    RawAttempt,
    UpstreamClient,
    encode_request,
)

_log = Logger('workers')
# Limits the open connections to one worker.
_CONNECTIONS_MAX = 64
_FINAL_RESULTS = frozenset((AttemptResult.answered, AttemptResult.failed))
_JSON_HEADER = ('Content-Type', 'application/json')


class OrderReply(NamedTuple):
    """Hold the outcome of an order and the response body, if any."""

    outcome: OrderOutcome
    body: WorkerReportBody | None = None
    is_invalid_request: bool = False


class PlatformClient:
    """Send each request at most once, over pooled connections."""

    def __init__(self, own_host: str) -> None:
        self.own_host = own_host
        self._client = UpstreamClient()

    async def run(self) -> None:
        """Close idle connections until cancelled."""
        await self._client.run()

    async def post(
        self,
        start: StartAttempt,
        path: str,
        body: dict[str, Any],
        *headers: Header,
    ) -> RawAttempt:
        """Send a POST request and return its response or failure."""
        request = encode_request(
            'POST',
            path,
            start.upstream,
            (_JSON_HEADER, *headers),
            msgspec.json.encode(body),
        )
        return await self._client.exchange(start, request)

    async def get(self, start: StartAttempt, path: str) -> RawAttempt:
        """Send a GET request and return its response or failure."""
        request = encode_request('GET', path, start.upstream, (), b'')
        return await self._client.exchange(start, request)


def make_attempt(
    upstream: Announcement,
    timeout_s: float,
    valid_until_s: float,
) -> StartAttempt:
    """Return the parameters of a request that must not be repeated."""
    return StartAttempt(
        0,
        upstream,
        timeout_s,
        is_repeatable=False,
        connection_limit=_CONNECTIONS_MAX,
        valid_until_s=valid_until_s,
    )


def classify_attempt(attempt: RawAttempt) -> OrderReply:
    """Return the outcome of an order from its HTTP attempt."""
    if attempt.attempt_result is AttemptResult.not_sent:
        return OrderReply(OrderOutcome.not_sent)
    if attempt.response is None or attempt.attempt_result not in _FINAL_RESULTS:
        return OrderReply(OrderOutcome.unknown)
    return _classify_response(attempt.response.code, attempt.response.body)


def _classify_response(code: int, body: bytes) -> OrderReply:
    if code == HTTPStatus.MISDIRECTED_REQUEST:
        return OrderReply(OrderOutcome.gone)
    try:
        report = decode_report(body) if body else None
    except DECODE_ERRORS as error:
        # Another program may answer at this address. An unreadable body says
        # nothing about the runs.
        _log.warning(
            'The body of a {} response cannot be decoded: {}.', code, error
        )
        return OrderReply(OrderOutcome.unknown)
    if code == HTTPStatus.OK:
        return OrderReply(OrderOutcome.done, report)
    is_invalid_request = code == HTTPStatus.BAD_REQUEST
    return OrderReply(OrderOutcome.refused, report, is_invalid_request)
