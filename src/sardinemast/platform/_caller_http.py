"""HTTP handlers of an entry: jobs, queues and readiness."""

import time
from http import HTTPStatus
from types import MappingProxyType

import msgspec
from logbook import Logger
from tornado.httputil import HTTPServerRequest

from sardinemast.metrics import ProcessMetrics
from sardinemast.platform._decoding import DECODE_ERRORS, decode, is_number
from sardinemast.platform._http_server import HttpResponse
from sardinemast.platform._job_bodies import JobBody
from sardinemast.platform._responses import make_response
from sardinemast.platform._translate import make_request
from sardinemast.protocol import (
    CallAnswer,
    CallOutcome,
    JobAction,
    JobCall,
)
from sardinemast.shell import LeaderRelay

_log = Logger('front')
_ACTIONS_BY_METHOD = MappingProxyType(
    {
        'POST': JobAction.submit,
        'GET': JobAction.read,
        'DELETE': JobAction.cancel,
    }
)
_MS = 1000
# For callers without a deadline; the platform's clients wait 3 s.
_TIMEOUT_S = 2.5
# Left to return the response before a stopping entry closes its connections.
_ANSWER_S = 0.2
# Leaves time to return the response before the caller's deadline.
_DEADLINE_SHARE = 0.8


class CallerHandler:
    """Forward callers' requests to the leader."""

    def __init__(self, relay: LeaderRelay, metrics: ProcessMetrics) -> None:
        self._stops_at_s: float | None = None
        self._relay = relay
        self._metrics = metrics

    def start_stopping(self, delay_s: float) -> None:
        """Report not ready, and answer all requests within the delay."""
        self._stops_at_s = time.monotonic() + delay_s

    async def handle(self, request: HTTPServerRequest) -> HttpResponse:
        """Return the response to a caller."""
        action = _ACTIONS_BY_METHOD.get(request.method or '')
        if action is None:
            return HttpResponse(HTTPStatus.METHOD_NOT_ALLOWED)
        job = None
        if action is JobAction.submit:
            try:
                job = make_request(decode(request.body, JobBody))
            except DECODE_ERRORS as error:
                _log.info('Job {} is invalid: {}.', request.path, error)
                return HttpResponse(HTTPStatus.BAD_REQUEST)
        call = JobCall(
            action,
            request.host.partition(':')[0],
            request.path,
            request.headers.get('X-Api-Key', ''),
            job,
        )
        started_s = time.monotonic()
        answer = await self._call(call, _get_timeout_s(request))
        elapsed_s = time.monotonic() - started_s
        outcome = answer.outcome.value
        self._metrics.record_call(action.value, outcome, elapsed_s)
        _log.info(
            '{} {}: {} {}',
            request.method,
            request.path,
            answer.outcome.value,
            answer.status or answer.text,
        )
        body = b''
        if answer.outcome is CallOutcome.done and action is JobAction.read:
            body = _encode_status(answer.status, answer.waiting)
        return make_response(answer, body)

    async def handle_ready(self, request: HTTPServerRequest) -> HttpResponse:
        """Answer the load balancer's readiness probe."""
        is_ready = self._relay.is_connected and self._stops_at_s is None
        if is_ready:
            return HttpResponse(HTTPStatus.OK)
        return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE)

    async def _call(self, call: JobCall, timeout_s: float) -> CallAnswer:
        if self._stops_at_s is not None:
            left_s = self._stops_at_s - time.monotonic() - _ANSWER_S
            timeout_s = min(timeout_s, left_s)
        if timeout_s <= 0:
            return CallAnswer(CallOutcome.refused, text='No time is left.')
        return await self._relay.call(call, timeout_s)


def _encode_status(status: str, waiting: int) -> bytes:
    if status:
        return msgspec.json.encode({'state': status})
    return msgspec.json.encode({'pending': waiting})


def _get_timeout_s(request: HTTPServerRequest) -> float:
    deadline_header = request.headers.get('X-Deadline-Ms', '')
    if not is_number(deadline_header):
        return _TIMEOUT_S
    return min(int(deadline_header) / _MS * _DEADLINE_SHARE, _TIMEOUT_S)
