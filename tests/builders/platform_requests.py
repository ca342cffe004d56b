"""Requests to the platform's HTTP handlers, and a leader that answers them."""

from typing import Any

from tornado.httputil import HTTPHeaders, HTTPServerRequest, RequestStartLine

from sardinemast.protocol import Call, CallAnswer, CallOutcome


class FakeRelay:
    """Record each call and its timeout, and answer that it is done."""

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.timeouts_s: list[float] = []

    async def call(self, call: Call, timeout_s: float) -> CallAnswer:
        """Answer at once."""
        self.calls.append(call)
        self.timeouts_s.append(timeout_s)
        return CallAnswer(CallOutcome.done)


def make_request(
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    **fields: Any,
) -> HTTPServerRequest:
    """Return a request as the HTTP server passes it to a handler."""
    return HTTPServerRequest(
        headers=HTTPHeaders({'Host': 'h', **(headers or {})}),
        start_line=RequestStartLine(method, path, 'HTTP/1.1'),
        **fields,
    )
