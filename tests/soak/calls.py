"""Send HTTP requests as callers, workers and operators do."""

import asyncio
import json
import time
from http.client import HTTPConnection, HTTPException
from typing import Any, NamedTuple

from sardinemast.conf import Address

NO_ANSWER = 0
_TIMEOUT_S = 1.5


class Answer(NamedTuple):
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
    ) -> Answer:
        """Send one request, and return its response or ``NO_ANSWER``."""
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
    ) -> Answer:
        connection = self._open.pop(address, None) or HTTPConnection(
            *address, timeout=_TIMEOUT_S
        )
        headers = {'Host': 'h.example', 'X-Api-Key': key}
        content = None if body is None else json.dumps(body).encode()
        sent_s = time.monotonic()
        try:
            connection.request(method, path, content, headers)
            answer = connection.getresponse()
            found = answer.read()
        except (OSError, HTTPException):
            connection.close()
            return Answer(NO_ANSWER, None, sent_s)
        if answer.will_close:
            connection.close()
        else:
            self._open[address] = connection
        return Answer(answer.status, json.loads(found or b'null'), sent_s)
