"""Streams between our processes: CBOR frames over websockets."""

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from types import MappingProxyType
from typing import Any

from logbook import Logger
from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from sardinemast.conf import Address
from sardinemast.shell._identity import Identity, decode_frame, encode_frame
from sardinemast.shell._security import Access, CertificateUnit
from sardinemast.wire import MAX_FRAME_BYTES, Envelope, WireError

_log = Logger('link')
_MAX_QUEUED_MESSAGES = 1024
_RECONNECT_DELAY_S = 0.2
_PING_INTERVAL_S = 1.0
CALLS_PATH = '/calls'
FORWARD_PATH = '/pass'

WEBSOCKET_OPTIONS: Mapping[str, Any] = MappingProxyType(
    {
        'compression': None,
        'max_size': MAX_FRAME_BYTES,
        'ping_interval': _PING_INTERVAL_S,
        'ping_timeout': 2 * _PING_INTERVAL_S,
        'close_timeout': _PING_INTERVAL_S,
    }
)
CONNECTION_ERRORS = (OSError, TimeoutError, ConnectionClosed, InvalidHandshake)


@asynccontextmanager
async def open_websocket(
    address: Address,
    path: str,
    access: Access,
    open_timeout_s: float = _PING_INTERVAL_S,
) -> AsyncIterator[ClientConnection]:
    """Connect to another process."""
    context = access.create_client_context()
    scheme = 'wss' if context else 'ws'
    url = f'{scheme}://{address.host}:{address.port}{path}'
    options = dict(WEBSOCKET_OPTIONS)
    if access.source_host:
        options['local_addr'] = (access.source_host, 0)
    async with connect(
        url,
        open_timeout=open_timeout_s,
        proxy=None,
        ssl=context,
        **options,
    ) as websocket:
        yield websocket


def decode_frame_from(
    websocket: Connection,
    frame: Any,
    identity: Identity,
    access: Access,
) -> Envelope:
    """Read a frame of a process that proved its name.

    Raises ``WireError`` for what is no frame, and ``wire.E006`` where the
    sender's name is not that of the certificate.
    """
    envelope = decode_frame(identity, frame)
    tls = websocket.transport.get_extra_info('ssl_object')
    if not access.is_allowed(tls, CertificateUnit.process, envelope.sender):
        raise WireError(
            'wire.E006',
            f'The certificate is not that of {envelope.sender!r}.',
        )
    return envelope


class PeerSender:
    """Send messages to one peer, in order, over a stream that comes back.

    Messages that find no stream are dropped: the log's protocol repeats what
    matters, and old heartbeats would only delay new ones.
    """

    def __init__(
        self,
        identity: Identity,
        address: Address,
        access: Access,
    ) -> None:
        self._identity = identity
        self._address = address
        self._access = access
        self._outbox: asyncio.Queue[Any] = asyncio.Queue(_MAX_QUEUED_MESSAGES)

    def send(self, body: Any) -> None:
        """Queue a message, or drop it where the queue is full."""
        if not self._outbox.full():
            self._outbox.put_nowait(body)

    async def run(self) -> None:
        """Hold the stream until cancelled."""
        while True:
            try:
                await self._send_queued()
            except CONNECTION_ERRORS as error:
                _log.debug('Link to {} is down: {}.', self._address, error)
            self._discard_queued()
            await asyncio.sleep(_RECONNECT_DELAY_S)

    async def _send_queued(self) -> None:
        async with open_websocket(
            self._address, '/peer', self._access
        ) as websocket:
            while True:
                body = await self._outbox.get()
                await websocket.send(encode_frame(self._identity, body))

    def _discard_queued(self) -> None:
        while not self._outbox.empty():
            self._outbox.get_nowait()


class Outbox:
    """Send frames on a stream from a task of its own."""

    def __init__(
        self,
        send: Callable[[bytes], Any],
        identity: Identity,
    ) -> None:
        self._send = send
        self._identity = identity
        self._queue: asyncio.Queue[Any] = asyncio.Queue()

    def put(self, body: Any) -> None:
        """Queue a message."""
        self._queue.put_nowait(body)

    async def run(self) -> None:
        """Send until the stream ends."""
        while True:
            body = await self._queue.get()
            await self._send(encode_frame(self._identity, body))
