"""HTTP handlers of control processes, for workers and operators."""

import time
from http import HTTPStatus
from urllib.parse import unquote

import msgspec
from logbook import Logger
from tornado.httputil import HTTPServerRequest

from sardinemast.metrics import ProcessMetrics
from sardinemast.platform._decoding import (
    DECODE_ERRORS,
    check_numbers,
    decode,
    is_number,
)
from sardinemast.platform._http_server import HttpResponse
from sardinemast.platform._job_bodies import ConfigBody
from sardinemast.platform._responses import make_response
from sardinemast.platform._translate import make_catalog, make_worker
from sardinemast.platform._worker_bodies import HeartbeatBody, WaveBody
from sardinemast.protocol import (
    AnnounceWorker,
    BeginWave,
    Call,
    CallOutcome,
    ChangeEvacuation,
    ReadCatalog,
    ReadWave,
    ReplaceCatalog,
    WorkerLeft,
)
from sardinemast.shell import LeaderRelay

_log = Logger('control-http')
_WORKERS_PATH = '/instances/'
_WAVE_PATH = '/wave-get/'
_EVACUATION_PATH = '/evacuate/'
# Callers time out after 1 s, and later for a large body.
_TIMEOUT_S = 0.9
_LARGE_BODY_TIMEOUT_S = 2.5
_LARGE_BODY_BYTES = 16_384
# About 30 years. The due time in milliseconds must be a valid integer.
_DEADLINE_MAX_S = 1_000_000_000
# Several times the largest supported fleet. A leader goes through all instances
# of a wave at each tick.
_INSTANCES_MAX = 10_000


class ControlHandler:
    """Forward requests of workers and operators to the leader."""

    def __init__(
        self,
        relay: LeaderRelay,
        metrics: ProcessMetrics,
    ) -> None:
        self._relay = relay
        self._metrics = metrics

    async def handle(self, request: HTTPServerRequest) -> HttpResponse:
        """Return the response to a worker or an operator."""
        try:
            call = _read_call(request)
        except DECODE_ERRORS as error:
            _log.info(
                '{} {} is invalid: {}.', request.method, request.path, error
            )
            return HttpResponse(HTTPStatus.BAD_REQUEST)
        if call is None:
            return HttpResponse(HTTPStatus.NOT_FOUND)
        timeout_s = _TIMEOUT_S
        if len(request.body) > _LARGE_BODY_BYTES:
            timeout_s = _LARGE_BODY_TIMEOUT_S
        started_s = time.monotonic()
        answer = await self._relay.call(call, timeout_s)
        elapsed_s = time.monotonic() - started_s
        action = type(call).__name__
        self._metrics.record_call(action, answer.outcome.value, elapsed_s)
        if not isinstance(call, AnnounceWorker):
            _log.info(
                '{} {}: {} {}',
                request.method,
                request.path,
                answer.outcome.value,
                answer.status or answer.text,
            )
        body = b''
        if answer.outcome is CallOutcome.done:
            body = _make_body(call, answer.status, answer.source)
        return make_response(answer, body)


def _make_body(call: Call, status: str, source: bytes) -> bytes:
    if isinstance(call, AnnounceWorker):
        # Without a redirect to the leader, workers keep sending heartbeats to
        # any control process. The heartbeats of hundreds of workers would take
        # a tenth of the leader's time.
        return b'{}'
    if isinstance(call, ReadWave):
        return msgspec.json.encode({'state': status})
    return source


def _read_call(request: HTTPServerRequest) -> Call | None:
    method, path = request.method, request.path
    if path.startswith(_WORKERS_PATH):
        return _read_worker_call(request, path[len(_WORKERS_PATH) :])
    if path == '/config':
        return _read_catalog_call(request)
    if path == '/wave-start' and method == 'POST':
        return _make_wave(decode(request.body, WaveBody))
    if path.startswith(_WAVE_PATH) and method == 'GET':
        return _read_wave(path[len(_WAVE_PATH) :])
    if path.startswith(_EVACUATION_PATH) and method in {'POST', 'DELETE'}:
        name = unquote(path[len(_EVACUATION_PATH) :])
        return ChangeEvacuation(name, is_evacuated=method == 'POST')
    return None


def _read_wave(number: str) -> ReadWave:
    if not is_number(number):
        raise ValueError('A wave has a number.')
    return ReadWave(int(number))


def _make_wave(body: WaveBody) -> BeginWave:
    """Return the call for a wave, or raise ``ValueError``."""
    if not 0 <= body['deadline_s'] <= _DEADLINE_MAX_S:
        raise ValueError('The deadline of the wave is out of range.')
    check_numbers(body['wave'], body['cap'])
    if body['cap'] < 1:
        raise ValueError('The cap of the wave is less than 1.')
    # An instance that is named twice has its maintenance once.
    instances = tuple(dict.fromkeys(body['machines']))
    if len(instances) > _INSTANCES_MAX or not all(instances):
        raise ValueError('The wave has too many instances, or an empty name.')
    return BeginWave(
        body['wave'],
        instances,
        body['cap'],
        body['deadline_s'],
    )


def _read_catalog_call(request: HTTPServerRequest) -> Call | None:
    if request.method == 'GET':
        return ReadCatalog()
    if request.method == 'PUT':
        # The decoder skips the text of unknown fields, but operators read the
        # whole configuration again.
        request.body.decode()
        catalog = make_catalog(decode(request.body, ConfigBody))
        return ReplaceCatalog(catalog, request.body)
    return None


def _read_worker_call(request: HTTPServerRequest, name: str) -> Call | None:
    if request.method == 'PUT':
        heartbeat = decode(request.body, HeartbeatBody)
        return AnnounceWorker(
            make_worker(name, heartbeat),
            heartbeat['seq'],
            heartbeat.get('wall_ms', 0),
        )
    if request.method == 'DELETE':
        return WorkerLeft(name)
    return None
