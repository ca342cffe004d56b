"""Callers' HTTP at an entry: jobs and queues, and readiness."""

import time
from http import HTTPStatus
from types import MappingProxyType

import msgspec
from logbook import Logger
from tornado.httputil import HTTPServerRequest

from sardinemast.metrics import ProcessMetrics
from sardinemast.platform._decoding import DECODE_ERRORS, decode
from sardinemast.platform._http_server import HttpResponse
from sardinemast.platform._job_bodies import JobBody
from sardinemast.platform._responses import make_response
from sardinemast.platform._translate import make_request
from sardinemast.protocol import CallOutcome, JobAction, JobCall
from sardinemast.shell import LeaderRelay

_log = Logger('front')
_ACTIONS = MappingProxyType(
    {
        'POST': JobAction.submit,
        'GET': JobAction.read,
        'DELETE': JobAction.cancel,
    }
)
_MS = 1000
# Callers that name no deadline wait so long; the platform's own wait 3 s.
_TIMEOUT_S = 2.5
# A part of the caller's time is left for the answer's way back.
_USED_SHARE = 0.8


class Front:
    """Pass callers' requests on to the leader."""

    def __init__(self, relay: LeaderRelay, metrics: ProcessMetrics) -> None:
        self.is_stopping = False
        self._relay = relay
        self._metrics = metrics

    async def handle(self, request: HTTPServerRequest) -> HttpResponse:
        """Answer a caller."""
        action = _ACTIONS.get(request.method or '')
        if action is None:
            return HttpResponse(HTTPStatus.METHOD_NOT_ALLOWED)
        job = None
        if action is JobAction.submit:
            try:
                job = make_request(decode(request.body, JobBody))
            except DECODE_ERRORS as error:
                _log.info('Job refused: {} {}.', request.path, error)
                return HttpResponse(HTTPStatus.BAD_REQUEST)
        call = JobCall(
            action,
            request.host.partition(':')[0],
            request.path,
            request.headers.get('X-Api-Key', ''),
            job,
        )
        begun_s = time.monotonic()
        answer = await self._relay.call(call, _get_timeout_s(request))
        elapsed_s = time.monotonic() - begun_s
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
            body = _encode_reading(answer.status, answer.waiting)
        return make_response(answer, body)

    async def handle_ready(self, request: HTTPServerRequest) -> HttpResponse:
        """Tell the balancer whether to send callers here."""
        is_ready = self._relay.is_connected and not self.is_stopping
        if is_ready:
            return HttpResponse(HTTPStatus.OK)
        return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE)


def _encode_reading(status: str, waiting: int) -> bytes:
    if status:
        return msgspec.json.encode({'state': status})
    return msgspec.json.encode({'pending': waiting})


def _get_timeout_s(request: HTTPServerRequest) -> float:
    named = request.headers.get('X-Deadline-Ms', '')
    if not named.isdigit():
        return _TIMEOUT_S
    return min(int(named) / _MS * _USED_SHARE, _TIMEOUT_S)
