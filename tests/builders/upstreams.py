"""Scripted upstreams that control each byte of a response."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager, suppress

from tornado.httputil import HTTPHeaders

from builders.fleets import make_announcement
from sardinemast.membership import Announcement
from sardinemast.routing import StartAttempt
from sardinemast.shell._upstream_client import CallerRequest

Script = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter, int],
    Awaitable[None],
]

COMPLETE_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


@asynccontextmanager
async def serve_script(script: Script) -> AsyncIterator[Announcement]:
    """Serve each connection by a script, called with its number."""
    count = 0

    async def accept(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        nonlocal count
        count += 1
        with suppress(asyncio.IncompleteReadError, OSError):
            await script(reader, writer, count)
        writer.close()

    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield make_announcement()._replace(port=port)
    finally:
        server.close()


def answer_with(*answers: bytes) -> Script:
    """Return a script that sends the responses in turn, then closes."""

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> None:
        for answer in answers:
            await read_request(reader)
            writer.write(answer)
            await writer.drain()

    return script


async def read_request(reader: asyncio.StreamReader) -> bytes:
    """Read and return one whole request."""
    head = await reader.readuntil(b'\r\n\r\n')
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return head + await reader.readexactly(int(line.split(b':')[1]))
    return head


def make_request(
    method: str = 'POST',
    body: bytes = b'seat',
    headers: Mapping[str, str] | None = None,
) -> CallerRequest:
    """Return a caller's request."""
    return CallerRequest(
        method,
        '/enrolment/book',
        HTTPHeaders({'Host': 'entry', **(headers or {})}),
        body,
        '192.0.2.7',
    )


def make_start(
    upstream: Announcement,
    timeout_s: float = 5,
    *,
    is_repeatable: bool = False,
    connection_limit: int = 64,
) -> StartAttempt:
    """Return an output that starts an attempt."""
    return StartAttempt(1, upstream, timeout_s, is_repeatable, connection_limit)
