"""Callers' and upstreams' HTTP at an entry."""

import json
import math
from collections.abc import Awaitable
from http import HTTPStatus
from typing import Any, Protocol

from tornado.httpclient import HTTPResponse
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest
from tornado.web import Application, RequestHandler

from sardinemast import entry
from sardinemast.admission import Arrival, Refusal, refuse_not_run
from sardinemast.conf import Address
from sardinemast.fleet import digest_key
from sardinemast.membership import Announcement
from sardinemast.shell._identity import Identity
from sardinemast.shell._operator_http import TimelineHandler
from sardinemast.shell._upstream_client import filter_headers
from sardinemast.wire import WireError, load_plain

DEADLINE_HEADER = 'Sardinemast-Deadline-S'
OUTCOME_HEADER = 'Sardinemast-Outcome'
PRIORITY_HEADER = 'Sardinemast-Priority'
_URGENT = 'urgent'
_REPEATABLE = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))
_BEARER = 'Bearer '
_MIB_BYTES = 1024 * 1024
_BODY_LIMIT_BYTES = 8 * _MIB_BYTES

CallerAnswer = HTTPResponse | Refusal


class _Shell(Protocol):
    identity: Identity
    loop: Any

    def is_ready(self) -> bool:
        """Tell whether the entry may serve."""

    def serve_request(
        self,
        request: HTTPServerRequest,
        arrival: Arrival,
    ) -> Awaitable[CallerAnswer]:
        """Run a request."""


class CallerHandler(RequestHandler):
    """Take a caller's request and give the whole answer."""

    def initialize(self, shell: _Shell) -> None:
        """Take the entry's shell."""
        self._shell = shell

    async def prepare(self) -> None:
        """Serve every method alike."""
        arrival = _read_arrival(self.request)
        if isinstance(arrival, Refusal):
            self._write_refusal(arrival)
            return
        answer = await self._shell.serve_request(self.request, arrival)
        if isinstance(answer, Refusal):
            self._write_refusal(answer)
        else:
            self._write_response(answer)

    def _write_response(self, response: HTTPResponse) -> None:
        self.clear()
        self.set_status(response.code, response.reason)
        for name, header in filter_headers(response.headers).get_all():
            self.add_header(name, header)
        self.finish(response.body)

    def _write_refusal(self, refusal: Refusal) -> None:
        self.set_status(refusal.status)
        self.set_header(OUTCOME_HEADER, str(refusal.outcome))
        if refusal.retry_after_s is not None:
            # Rounded up: zero would bring the caller back at once.
            retry_after_s = math.ceil(refusal.retry_after_s)
            self.set_header('Retry-After', str(retry_after_s))
        self.finish(refusal._asdict())


class AnnounceHandler(RequestHandler):
    """Take an upstream's announcement."""

    def initialize(self, shell: _Shell) -> None:
        """Take the entry's shell."""
        self._shell = shell

    def post(self) -> None:
        """Pass the announcement on."""
        try:
            plain = json.loads(self.request.body)
            fields = [
                plain.get(name, 'serving' if name == 'status' else None)
                for name in Announcement._fields
            ]
            announcement = load_plain(Announcement, fields)
        except (ValueError, AttributeError, WireError):
            self.set_status(HTTPStatus.BAD_REQUEST)
            self.finish(
                {
                    'code': 'membership.E001',
                    'text': 'Send a JSON map with the fields '
                    f'{", ".join(Announcement._fields)}.',
                },
            )
            return
        self._shell.loop.put(entry.UpstreamAnnounced(announcement))
        self.finish({'status': 'heard'})


class HealthHandler(RequestHandler):
    """Tell the balancer whether to send requests here."""

    def initialize(self, shell: _Shell) -> None:
        """Take the entry's shell."""
        self._shell = shell

    def get(self) -> None:
        """Answer 200 with a lease and 503 without."""
        is_ready = self._shell.is_ready()
        if not is_ready:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        self.finish({'is_ready': is_ready})


def listen_for_callers(shell: _Shell, address: Address) -> HTTPServer:
    """Open the callers' port."""
    options = {'shell': shell}
    application = Application(
        [
            ('/-/announce', AnnounceHandler, options),
            ('/-/health', HealthHandler, options),
            ('/-/timeline', TimelineHandler, {'identity': shell.identity}),
            ('/.*', CallerHandler, options),
        ],
        log_function=_skip_log,
    )
    server = HTTPServer(application, max_body_size=_BODY_LIMIT_BYTES)
    server.listen(address.port, address.host)
    return server


def _read_arrival(request: HTTPServerRequest) -> Arrival | Refusal:
    deadline_text = request.headers.get(DEADLINE_HEADER)
    try:
        deadline_s = None if deadline_text is None else float(deadline_text)
    except ValueError:
        return refuse_not_run(
            'admission.E009',
            HTTPStatus.BAD_REQUEST,
            f'{DEADLINE_HEADER} is the time left in seconds, such as 2.5.',
        )
    pool = request.path.lstrip('/').partition('/')[0]
    credentials = request.headers.get('Authorization', '')
    key = credentials.removeprefix(_BEARER).strip()
    return Arrival(
        request_id=0,
        pool=pool,
        key_digest=digest_key(key) if key else b'',
        is_repeatable=request.method in _REPEATABLE,
        deadline_s=deadline_s,
        body_bytes=len(request.body),
        is_urgent=request.headers.get(PRIORITY_HEADER) == _URGENT,
    )


def _skip_log(handler: RequestHandler) -> None:
    """Leave the access log to the time line."""
