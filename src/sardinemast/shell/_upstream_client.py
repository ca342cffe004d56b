"""Requests to upstreams."""

from typing import NamedTuple

from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)
from tornado.httputil import HTTPHeaders, HTTPServerRequest
from tornado.simple_httpclient import HTTPTimeoutError

from sardinemast.entry import AttemptResult
from sardinemast.membership import Announcement

_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'host',
        'content-length',
        'authorization',
    ),
)


class Attempt(NamedTuple):
    """Hold how an attempt ended, and the whole answer where there is one."""

    attempt_result: AttemptResult
    response: HTTPResponse | None = None


async def send_request(
    client: AsyncHTTPClient,
    request: HTTPServerRequest,
    upstream: Announcement,
    timeout_s: float,
) -> Attempt:
    """Send a request once, and give the whole answer or what is known."""
    body = request.body or None
    outgoing = HTTPRequest(
        f'http://{upstream.host}:{upstream.port}{request.uri}',
        method=request.method or 'GET',
        headers=filter_headers(request.headers),
        body=body,
        allow_nonstandard_methods=True,
        follow_redirects=False,
        decompress_response=False,
        request_timeout=timeout_s,
        connect_timeout=timeout_s,
    )
    try:
        response = await client.fetch(outgoing, raise_error=False)
    except ConnectionRefusedError:
        return Attempt(AttemptResult.not_sent)
    except HTTPTimeoutError:
        return Attempt(AttemptResult.timed_out)
    except (OSError, HTTPClientError):
        return Attempt(AttemptResult.broken)
    return Attempt(AttemptResult.answered, response)


def filter_headers(headers: HTTPHeaders) -> HTTPHeaders:
    """Leave out what belongs to one connection, and the caller's key."""
    kept = HTTPHeaders()
    for name, header in headers.get_all():
        if name.lower() not in _HOP_BY_HOP:
            kept.add(name, header)
    return kept
