"""Send HTTP requests as callers, workers and operators do."""

import asyncio
import json
import time
from http.client import HTTPConnection, HTTPException
from typing import Any, NamedTuple

from sardinemast.conf import Address

NO_RESPONSE = 0
_TIMEOUT_S = 1.5


class Response(NamedTuple):
    """Store a response's status code, or 0 for none, its body and send time."""

    code: int
    body: Any
    sent_s: float


class Caller:
    """Send requests, and keep one open connection per address."""

    def __init__(self) -> None:
        self._open: dict[Address, HTTPConnection] = {}

    async def call(
        self,
        address: Address,
        method: str,
        path: str,
        body: Any = None,
        key: str = '',
    ) -> Response:
        """Send a request; without a response the code is ``NO_RESPONSE``."""
        return await asyncio.to_thread(
            self._call, address, method, path, body, key
        )

    def close(self) -> None:
        """Close all connections."""
        for connection in self._open.values():
            connection.close()

    def _call(
        self,
        address: Address,
        method: str,
        path: str,
        body: Any,
        key: str,
    ) -> Response:
        connection = self._open.pop(address, None) or HTTPConnection(
            *address, timeout=_TIMEOUT_S
        )
        headers = {'Host': 'h.example', 'X-Api-Key': key}
        content = None if body is None else json.dumps(body).encode()
        sent_s = time.monotonic()
        try:
            connection.request(method, path, content, headers)
            response = connection.getresponse()
            response_body = response.read()
        except (OSError, HTTPException):
            connection.close()
            return Response(NO_RESPONSE, None, sent_s)
        if response.will_close:
            connection.close()
        else:
            self._open[address] = connection
        return Response(
            response.status, json.loads(response_body or b'null'), sent_s
        )
