"""Faulty behaviours of a stand-in upstream: slow, broken, wrong responses."""

import asyncio
import socket
import struct
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from types import MappingProxyType

from tornado.iostream import IOStream
from tornado.web import RequestHandler

_HEADERS = b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
_COMPLETE_RESPONSE = b'%sContent-Length: 5\r\n\r\nwhole' % _HEADERS
_UNREQUESTED_RESPONSE = b'%sContent-Length: 5\r\n\r\nstray' % _HEADERS
# SO_LINGER with a timeout of 0 makes close() send a reset.
_LINGER_ZERO = struct.pack('ii', 1, 0)
_SLOW_DELAY_S = 1.0
_SILENCE_S = 3600.0

Behaviour = Callable[[RequestHandler], Awaitable[None]]


class RequestCountsHandler(RequestHandler):
    """Serve the number of requests received for each path."""

    def initialize(self, counts: Counter[str]) -> None:
        """Store the counts to serve."""
        self._counts = counts

    def get(self) -> None:
        """Send the counts as JSON."""
        self.finish(dict(self._counts))


async def _respond_slowly(handler: RequestHandler) -> None:
    await asyncio.sleep(_SLOW_DELAY_S)
    handler.finish(b'slow')


async def _never_respond(handler: RequestHandler) -> None:
    await asyncio.sleep(_SILENCE_S)


async def _respond_with_error(handler: RequestHandler) -> None:
    handler.set_status(HTTPStatus.INTERNAL_SERVER_ERROR)
    handler.finish(b'failed')


async def _reset_connection(handler: RequestHandler) -> None:
    stream: IOStream = handler.detach()
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    stream.close()


def _make_write_and_close(response: bytes) -> Behaviour:
    async def write(handler: RequestHandler) -> None:
        stream: IOStream = handler.detach()
        await stream.write(response)
        stream.close()

    return write


def _make_write_and_keep_open(response: bytes) -> Behaviour:
    async def write(handler: RequestHandler) -> None:
        stream: IOStream = handler.detach()
        await stream.write(response)
        await asyncio.sleep(_SILENCE_S)

    return write


FAULTY_BEHAVIOURS: Mapping[str, Behaviour] = MappingProxyType(
    {
        'slow': _respond_slowly,
        'silent': _never_respond,
        'failing': _respond_with_error,
        'reset': _reset_connection,
        'truncated': _make_write_and_close(_COMPLETE_RESPONSE[:-2]),
        'crossed': _make_write_and_keep_open(
            _COMPLETE_RESPONSE + _UNREQUESTED_RESPONSE
        ),
        'overlong': _make_write_and_keep_open(
            b'%s and more' % _COMPLETE_RESPONSE
        ),
        'lengths': _make_write_and_close(
            b'%sContent-Length: 4\r\nContent-Length: 5\r\n\r\nwhole' % _HEADERS,
        ),
    },
)
