"""Ways in which a stand-in upstream breaks its answers, chosen by option."""

import asyncio
import socket
import struct
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from types import MappingProxyType

from tornado.iostream import IOStream
from tornado.web import RequestHandler

_HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
_WHOLE = b'%sContent-Length: 5\r\n\r\nwhole' % _HEAD
_STRAY = b'%sContent-Length: 5\r\n\r\nstray' % _HEAD
_RESET_AT_CLOSE = struct.pack('ii', 1, 0)
_SLOW_S = 1.0
_NEVER_S = 3600.0

Misbehave = Callable[[RequestHandler], Awaitable[None]]


class RunsHandler(RequestHandler):
    """Tell how often each path was run here."""

    def initialize(self, runs: Counter[str]) -> None:
        """Take the counts."""
        self._runs = runs

    def get(self) -> None:
        """Give the counts."""
        self.finish(dict(self._runs))


async def _be_slow(handler: RequestHandler) -> None:
    await asyncio.sleep(_SLOW_S)
    handler.finish(b'slow')


async def _be_silent(handler: RequestHandler) -> None:
    await asyncio.sleep(_NEVER_S)


async def _fail(handler: RequestHandler) -> None:
    handler.set_status(HTTPStatus.INTERNAL_SERVER_ERROR)
    handler.finish(b'failed')


async def _reset(handler: RequestHandler) -> None:
    stream: IOStream = handler.detach()
    stream.socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE
    )
    stream.close()


def _write_and_close(sent: bytes) -> Misbehave:
    async def write(handler: RequestHandler) -> None:
        stream: IOStream = handler.detach()
        await stream.write(sent)
        stream.close()

    return write


def _write_and_stay(sent: bytes) -> Misbehave:
    async def write(handler: RequestHandler) -> None:
        stream: IOStream = handler.detach()
        await stream.write(sent)
        await asyncio.sleep(_NEVER_S)

    return write


MISBEHAVIOURS: Mapping[str, Misbehave] = MappingProxyType(
    {
        'slow': _be_slow,
        'silent': _be_silent,
        'failing': _fail,
        'reset': _reset,
        'truncated': _write_and_close(_WHOLE[:-2]),
        'crossed': _write_and_stay(_WHOLE + _STRAY),
        'overlong': _write_and_stay(b'%s and more' % _WHOLE),
        'lengths': _write_and_close(
            b'%sContent-Length: 4\r\nContent-Length: 5\r\n\r\nwhole' % _HEAD,
        ),
    },
)
