"""HTTP server of an entry for callers and upstreams."""

import json
from http import HTTPStatus
from ipaddress import ip_address
from typing import Any, Protocol

from prometheus_client import CONTENT_TYPE_LATEST
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream
from tornado.web import Application, RequestHandler

from sardinemast import entry
from sardinemast.conf import Address
from sardinemast.membership import Announcement, is_valid_announcement
from sardinemast.shell._caller_exchange import CallerExchange, CallerHandler
from sardinemast.shell._entry_metrics import EntryMetrics
from sardinemast.shell._headers import OUTCOME_HEADER
from sardinemast.shell._http_connection import MAX_HEAD_BYTES
from sardinemast.shell._identity import Identity
from sardinemast.shell._operator_http import TimelineHandler
from sardinemast.shell._request_heads import encode_refusal, refuse_malformed
from sardinemast.wire import WireError, load_plain

_INTERNAL_PATH_PREFIX = '/-/'
_IDLE_TIMEOUT_S = 60.0
_BODY_TIMEOUT_S = 30.0
_KIB_BYTES = 1024
_MAX_BODY_BYTES = _KIB_BYTES**4
_MAX_ANNOUNCEMENT_BYTES = _KIB_BYTES**2
_READ_CHUNK_BYTES = 16384
_TORNADO_BAD_REQUEST = b'HTTP/1.1 400 Bad Request\r\n\r\n'
_BAD_REQUEST_HEAD = (
    'HTTP/1.1 400 Bad Request\r\n'
    'Content-Type: application/json\r\n'
    f'{OUTCOME_HEADER}: not run\r\n'
    'Connection: close\r\n'
    'Content-Length: {length}\r\n\r\n'
)
_ANNOUNCEMENT_ERRORS = (
    ValueError,
    AttributeError,
    RecursionError,
    WireError,
)


class _EntryServer(CallerHandler, Protocol):
    identity: Identity
    loop: Any
    metrics: EntryMetrics

    def is_ready(self) -> bool:
        """Check whether the entry is ready to serve requests."""

    def holds_keys(self) -> bool:
        """Check whether the entry has received the keys of other holders."""


class _InternalHandler(RequestHandler):
    """Base class for the endpoints of the entry itself."""

    def initialize(self, entry_server: _EntryServer) -> None:
        """Store the entry that is served."""
        self._entry_server = entry_server


class AnnounceHandler(_InternalHandler):
    """Accept announcements of upstreams."""

    def post(self) -> None:
        """Validate an announcement and deliver it to the core."""
        try:
            announcement = _read_announcement(self.request.body)
        except _ANNOUNCEMENT_ERRORS:
            self.set_status(HTTPStatus.BAD_REQUEST)
            self.finish(
                {
                    'code': 'membership.E001',
                    'text': 'Send a JSON object with the fields '
                    f'{", ".join(Announcement._fields)}; host is an IP '
                    'address, incarnation and port are integers.',
                },
            )
            return
        self._entry_server.loop.put(entry.UpstreamAnnounced(announcement))
        self.finish({'status': 'heard'})


class MetricsHandler(_InternalHandler):
    """Serve the metrics of this entry in the Prometheus format."""

    def get(self) -> None:
        """Return all metrics as text."""
        is_ready = self._entry_server.is_ready()
        self.set_header('Content-Type', CONTENT_TYPE_LATEST)
        self.finish(self._entry_server.metrics.render(is_ready=is_ready))


class LatenciesHandler(_InternalHandler):
    """Serve latency histograms that can be merged across entries."""

    def get(self) -> None:
        """Return the encoded histograms."""
        self.finish(
            {'latencies': self._entry_server.metrics.encode_latencies()}
        )


class HealthHandler(_InternalHandler):
    """Serve the health check of the load balancer."""

    def get(self) -> None:
        """Return 200 if the entry is ready to serve, else 503.

        ``holds_keys`` does not affect the status, because the other holders
        suffice. While it is false, no further entry should be stopped.
        """
        is_ready = self._entry_server.is_ready()
        if not is_ready:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        self.finish(
            {
                'is_ready': is_ready,
                'holds_keys': self._entry_server.holds_keys(),
            },
        )


class _CallerDelegate(HTTPServerConnectionDelegate):
    """Route requests to the entry's endpoints or to upstreams.

    Requests for upstreams bypass Tornado's request handlers to reduce their
    cost; see docs/design/upstream-client.md.
    """

    def __init__(
        self, entry_server: _EntryServer, application: Application
    ) -> None:
        self._entry_server = entry_server
        self._application = application

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Create the delegate for the next request of a connection."""
        return _RoutingDelegate(
            self._entry_server, self._application, server_conn, request_conn
        )


class _RoutingDelegate(HTTPMessageDelegate):
    def __init__(
        self,
        entry_server: _EntryServer,
        application: Application,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> None:
        self._entry_server = entry_server
        self._application = application
        self._server_conn = server_conn
        self._request_conn = request_conn
        self._delegate: HTTPMessageDelegate | None = None

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Any:
        self._delegate = self._select_delegate(start_line)
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Any:
        if self._delegate is not None:
            return self._delegate.data_received(chunk)
        return None

    def finish(self) -> None:
        if self._delegate is not None:
            self._delegate.finish()

    def on_connection_close(self) -> None:
        if self._delegate is not None:
            self._delegate.on_connection_close()

    def _select_delegate(
        self,
        start_line: RequestStartLine | ResponseStartLine,
    ) -> HTTPMessageDelegate:
        connection = self._request_conn
        if not isinstance(connection, HTTP1Connection):
            raise TypeError(connection)
        if isinstance(
            start_line, RequestStartLine
        ) and start_line.path.startswith(_INTERNAL_PATH_PREFIX):
            connection.set_max_body_size(_MAX_ANNOUNCEMENT_BYTES)
            return self._application.start_request(
                self._server_conn, connection
            )
        remote_ip = getattr(connection.context, 'remote_ip', '')
        return CallerExchange(self._entry_server, connection, remote_ip)


class _CallerIOStream(IOStream):
    """Replace Tornado's bare 400 response by one with a refusal."""

    def write(self, data: bytes | memoryview) -> Any:
        if data == _TORNADO_BAD_REQUEST:
            encoded = encode_refusal(refuse_malformed())
            head = _BAD_REQUEST_HEAD.format(length=len(encoded))
            data = head.encode() + encoded
        return super().write(data)


class _CallerHttpServer(HTTPServer):
    def handle_stream(self, stream: IOStream, address: Any) -> None:
        wrapped = _CallerIOStream(
            stream.socket, read_chunk_size=_READ_CHUNK_BYTES
        )
        super().handle_stream(wrapped, address)


def listen_for_callers(
    entry_server: _EntryServer, address: Address
) -> HTTPServer:
    """Start the HTTP server for callers and upstreams."""
    options = {'entry_server': entry_server}
    application = Application(
        [
            ('/-/announce', AnnounceHandler, options),
            ('/-/health', HealthHandler, options),
            ('/-/metrics', MetricsHandler, options),
            ('/-/latencies', LatenciesHandler, options),
            (
                '/-/timeline',
                TimelineHandler,
                {'identity': entry_server.identity},
            ),
        ],
        log_function=_log_nothing,
    )
    server = _CallerHttpServer(
        _CallerDelegate(entry_server, application),
        max_header_size=MAX_HEAD_BYTES,
        # CallerExchange enforces the limit of each pool.
        max_body_size=_MAX_BODY_BYTES,
        idle_connection_timeout=_IDLE_TIMEOUT_S,
        body_timeout=_BODY_TIMEOUT_S,
    )
    server.listen(address.port, address.host)
    return server


def _read_announcement(body: bytes) -> Announcement:
    plain = json.loads(body)
    fields = [
        plain.get(name, Announcement._field_defaults.get(name))
        for name in Announcement._fields
    ]
    announcement: Announcement = load_plain(Announcement, fields)
    ip_address(announcement.host)
    if not is_valid_announcement(announcement):
        raise WireError('membership.E001', 'A field is out of range.')
    return announcement


def _log_nothing(handler: RequestHandler) -> None:
    """Disable Tornado's access log; the timeline records requests."""
