"""Streams between processes: CBOR frames over websockets."""

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
    """Open a websocket to another process."""
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
    """Decode a frame and check the sender against its certificate.

    Raise ``WireError`` for an invalid frame, with the code ``wire.E006`` if
    the sender's name differs from the name in the certificate.
    """
    envelope = decode_frame(identity, frame)
    tls = websocket.transport.get_extra_info('ssl_object')
    if not access.is_allowed(tls, CertificateUnit.process, envelope.sender):
        raise WireError(
            'wire.E006',
            f'The certificate was not issued to {envelope.sender!r}.',
        )
    return envelope


class PeerSender:
    """Send messages to one peer in order, and reconnect after errors.

    Messages are dropped while disconnected. The protocols above resend what
    matters, and stale heartbeats would only delay new ones.
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
        """Queue a message, or drop it if the queue is full."""
        if not self._outbox.full():
            self._outbox.put_nowait(body)

    async def run(self) -> None:
        """Keep the stream open until cancelled."""
        while True:
            try:
                await self._send_queued()
            except CONNECTION_ERRORS as error:
                _log.debug('Stream to {} failed: {}.', self._address, error)
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
    """Queue messages for a stream and send them from a separate task."""

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
        """Send queued messages until the stream ends."""
        while True:
            body = await self._queue.get()
            await self._send(encode_frame(self._identity, body))
