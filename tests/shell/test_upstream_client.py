"""HTTP client for upstreams, with upstreams that misbehave."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import pytest

from builders.upstreams import (
    COMPLETE_RESPONSE,
    Script,
    answer_with,
    make_request,
    make_start,
    read_request,
    serve_script,
)
from sardinemast.routing import AttemptResult
from sardinemast.shell import _connection_pool
from sardinemast.shell._http_connection import MAX_RESPONSE_BYTES
from sardinemast.shell._upstream_client import (
    Attempt,
    UpstreamClient,
)

_HEAD = b'HTTP/1.1 200 OK\r\n'


def _run(coroutine: Coroutine[Any, Any, Any]) -> Any:
    return asyncio.run(coroutine)


def _send_once(script: Script, method: str = 'POST', **options: Any) -> Attempt:
    async def run() -> Attempt:
        client = UpstreamClient()
        async with serve_script(script) as upstream:
            start = make_start(upstream, **options)
            return await client.send(start, make_request(method))

    attempt: Attempt = _run(run())
    return attempt


@pytest.mark.parametrize(
    'answer',
    [
        _HEAD + b'Content-Length: 9\r\n\r\ncut',
        _HEAD + b'Transfer-Encoding: chunked\r\n\r\n3\r\ncut\r\n',
        _HEAD + b'Transfer-Encoding: chunked\r\n\r\nzz\r\ncut\r\n',
        _HEAD + b'Content-Length: 2\r\nContent-Length: 3\r\n\r\nokk',
        _HEAD
        + b'Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        _HEAD + b'\r\nends with the connection',
        _HEAD + b'X: ' + b'x' * 70_000 + b'\r\nContent-Length: 0\r\n\r\n',
        _HEAD + f'Content-Length: {MAX_RESPONSE_BYTES + 1}\r\n\r\n'.encode(),
        b'HTTP/1.1 100 Continue\r\n\r\n' * 50 + COMPLETE_RESPONSE,
        b'HTTP/1.1 101 Switching Protocols\r\n\r\nhello',
        b'no HTTP at all\r\n\r\n',
        b'',
    ],
)
def test_incomplete_response_is_rejected(answer: bytes) -> None:
    """Guard against forwarding truncated or contradictory responses."""
    attempt = _send_once(answer_with(answer))
    assert attempt == Attempt(AttemptResult.broken)


@pytest.mark.parametrize(
    ('method', 'answer', 'body'),
    [
        ('POST', COMPLETE_RESPONSE, b'ok'),
        ('POST', b'HTTP/1.1 100 Continue\r\n\r\n' + COMPLETE_RESPONSE, b'ok'),
        ('HEAD', _HEAD + b'Content-Length: 7\r\n\r\n', b''),
        ('GET', b'HTTP/1.1 204 No Content\r\n\r\n', b''),
        ('GET', b'HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n', b''),
        (
            'GET',
            _HEAD + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n',
            b'ok',
        ),
    ],
)
def test_complete_response_is_accepted(
    method: str,
    answer: bytes,
    body: bytes,
) -> None:
    """Accept each way in which HTTP delimits a response."""
    attempt = _send_once(answer_with(answer), method)
    assert attempt.response is not None
    assert attempt.response.body == body


def _send_twice(script: Script, *, pause_s: float = 0.05) -> list[Attempt]:
    async def run() -> list[Attempt]:
        client = UpstreamClient()
        async with serve_script(script) as upstream:
            first = await client.send(make_start(upstream), make_request())
            await asyncio.sleep(pause_s)
            second = await client.send(make_start(upstream), make_request())
            return [first, second]

    attempts: list[Attempt] = _run(run())
    return attempts


def _play_numbered(tail: bytes = b'', *, closes: bool = False) -> Script:
    """Respond with the connection's number, followed by extra bytes."""

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> None:
        while True:
            await read_request(reader)
            body = str(number).encode()
            writer.write(_HEAD + b'Content-Length: 1\r\n\r\n' + body + tail)
            if closes:
                return

    return script


def _get_bodies(attempts: list[Attempt]) -> list[bytes]:
    return [one.response.body if one.response else b'' for one in attempts]


def test_connection_is_reused() -> None:
    """Reuse a connection after a complete exchange."""
    assert _get_bodies(_send_twice(_play_numbered())) == [b'1', b'1']


def test_unexpected_response_is_discarded() -> None:
    """Guard against a surplus response that reaches the next caller."""
    surplus = _HEAD + b'Content-Length: 1\r\n\r\nX'
    assert _get_bodies(_send_twice(_play_numbered(surplus))) == [b'1', b'2']


def test_connection_closed_by_upstream_is_not_reused() -> None:
    """Guard against sending on a connection that the upstream closed."""
    attempts = _send_twice(_play_numbered(closes=True))
    assert _get_bodies(attempts) == [b'1', b'2']


def test_long_idle_connection_is_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a connection that a firewall or NAT has dropped."""
    monkeypatch.setattr(_connection_pool, 'MAX_IDLE_S', 0.01)
    assert _get_bodies(_send_twice(_play_numbered())) == [b'1', b'2']


async def _stop_responding(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    number: int,
) -> None:
    await read_request(reader)
    writer.write(_HEAD + b'Content-Length: 1\r\n\r\n1')
    if number == 1:
        await reader.read()
    await read_request(reader)


def test_unresponsive_reused_connection_is_reported_as_silent() -> None:
    """Guard against blaming the upstream for a dropped connection.

    Half of the time to the deadline is left for a new connection.
    """

    async def run() -> list[Attempt]:
        client = UpstreamClient()
        request = make_request('GET', b'')
        async with serve_script(_stop_responding) as upstream:
            # Only the attempt on the silent connection needs a short deadline.
            # With one on the others, a busy machine fails to connect in time.
            starts = [
                make_start(upstream, timeout_s, is_repeatable=True)
                for timeout_s in (5, 0.3, 5)
            ]
            return [await client.send(start, request) for start in starts]

    results = [attempt.attempt_result for attempt in _run(run())]
    assert results == [
        AttemptResult.answered,
        AttemptResult.silent,
        AttemptResult.answered,
    ]


def test_late_response_is_discarded() -> None:
    """Guard against a late response that is read as the next one."""

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> None:
        await read_request(reader)
        await asyncio.sleep(0.1 if number == 1 else 0)
        writer.write(_HEAD + b'Content-Length: 1\r\n\r\n%d' % number)

    async def run() -> list[Attempt]:
        client = UpstreamClient()
        async with serve_script(script) as upstream:
            late = await client.send(make_start(upstream, 0.05), make_request())
            await asyncio.sleep(0.1)
            return [
                late,
                await client.send(make_start(upstream), make_request()),
            ]

    late, second = _run(run())
    assert late == Attempt(AttemptResult.timed_out)
    assert _get_bodies([second]) == [b'2']


def test_response_during_the_upload_is_rejected() -> None:
    """Guard against a response to an incomplete request."""

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(COMPLETE_RESPONSE)
        await asyncio.sleep(5)

    async def run() -> Attempt:
        client = UpstreamClient()
        async with serve_script(script) as upstream:
            request = make_request(body=b'x' * 30_000_000)
            return await client.send(make_start(upstream), request)

    assert _run(run()) == Attempt(AttemptResult.broken)


def test_refused_connection_is_not_sent() -> None:
    """Report a refused connection as not sent."""

    async def run() -> Attempt:
        client = UpstreamClient()
        async with serve_script(answer_with(COMPLETE_RESPONSE)) as upstream:
            start = make_start(upstream)
        return await client.send(start, make_request())

    assert _run(run()) == Attempt(AttemptResult.not_sent)


def test_attempt_is_not_sent_after_the_lease() -> None:
    """Guard against sending after the lease has ended during a suspension."""

    async def run() -> Attempt:
        client = UpstreamClient()
        async with serve_script(answer_with(COMPLETE_RESPONSE)) as upstream:
            start = make_start(upstream)._replace(valid_until_s=0)
            return await client.send(start, make_request())

    assert _run(run()) == Attempt(AttemptResult.not_sent)


def test_connection_limit_is_enforced() -> None:
    """Guard against more connections than the limit."""

    async def run() -> list[Attempt]:
        client = UpstreamClient()
        async with serve_script(_play_numbered()) as upstream:
            start = make_start(upstream, connection_limit=1)
            return list(
                await asyncio.gather(
                    client.send(start, make_request()),
                    client.send(start, make_request()),
                )
            )

    results = [attempt.attempt_result for attempt in _run(run())]
    assert results == [AttemptResult.answered, AttemptResult.not_sent]


def test_new_incarnation_gets_new_connections() -> None:
    """Guard against connections to an earlier start of the upstream."""

    async def run() -> list[Attempt]:
        client = UpstreamClient()
        async with serve_script(_play_numbered()) as upstream:
            fresh = upstream._replace(incarnation=2)
            return [
                await client.send(make_start(one), make_request())
                for one in (upstream, fresh)
            ]

    assert _get_bodies(_run(run())) == [b'1', b'2']


def test_key_and_hop_headers_are_not_forwarded() -> None:
    """Guard against forwarding the key or hop-by-hop headers."""
    seen: list[bytes] = []

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> None:
        seen.append(await read_request(reader))
        writer.write(COMPLETE_RESPONSE)

    async def run() -> None:
        headers = {
            'Authorization': 'Bearer secret',
            'Connection': 'X-Hop',
            'X-Hop': 'hidden',
            'Transfer-Encoding': 'chunked',
            'X-Kept': 'kept',
        }
        async with serve_script(script) as upstream:
            await UpstreamClient().send(
                make_start(upstream), make_request(headers=headers)
            )

    _run(run())
    assert b'secret' not in seen[0]
    assert b'hidden' not in seen[0]
    assert b'chunked' not in seen[0]
    assert b'X-Kept: kept\r\n' in seen[0]
    assert b'X-Forwarded-For: 192.0.2.7\r\n' in seen[0]
