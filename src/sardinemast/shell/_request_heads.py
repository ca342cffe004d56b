"""Parsing and validation of the heads of callers' requests."""

import json
import math
from http import HTTPStatus

from tornado.httputil import HTTPHeaders, RequestStartLine

from sardinemast.admission import Arrival, Refusal, refuse_not_run
from sardinemast.fleet import digest_key
from sardinemast.shell._headers import (
    DEADLINE_HEADER,
    KEY_HEADER,
    PRIORITY_HEADER,
)

_URGENT = 'urgent'
_REPEATABLE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))
_BEARER = 'bearer '


def parse_arrival(
    start_line: RequestStartLine,
    headers: HTTPHeaders,
    body_bytes: int,
) -> Arrival | Refusal:
    """Return what the entry needs to know about a request, or refuse it."""
    deadline_text = headers.get(DEADLINE_HEADER)
    deadline_s = None
    if deadline_text is not None:
        deadline_s = _parse_seconds(deadline_text)
        if deadline_s is None:
            return refuse_not_run(
                'admission.E009',
                HTTPStatus.BAD_REQUEST,
                f'{DEADLINE_HEADER} must be the time left in seconds, '
                'such as 2.5.',
            )
    key = _parse_bearer_key(headers.get(KEY_HEADER, ''))
    path = start_line.path.partition('?')[0]
    return Arrival(
        request_id=0,
        pool=path.lstrip('/').partition('/')[0],
        key_digest=digest_key(key) if key else b'',
        is_repeatable=start_line.method in _REPEATABLE_METHODS,
        deadline_s=deadline_s,
        body_bytes=body_bytes,
        is_urgent=headers.get(PRIORITY_HEADER) == _URGENT,
    )


def _parse_seconds(text: str) -> float | None:
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) else None


def _parse_bearer_key(credentials: str) -> str:
    is_bearer = credentials[: len(_BEARER)].lower() == _BEARER
    return credentials[len(_BEARER) :].strip() if is_bearer else ''


def refuse_malformed() -> Refusal:
    """Return the refusal of a malformed or ambiguous HTTP request."""
    return refuse_not_run(
        'shell.E001',
        HTTPStatus.BAD_REQUEST,
        'Invalid HTTP/1.1 request. Send one Host header and one body length: '
        'either Content-Length or Transfer-Encoding: chunked.',
    )


def encode_refusal(refusal: Refusal) -> bytes:
    """Encode a refusal as JSON."""
    return json.dumps(refusal._asdict()).encode()


def is_unambiguous(start_line: RequestStartLine, headers: HTTPHeaders) -> bool:
    """Check whether all HTTP servers interpret a request alike."""
    # Prevents request smuggling, which would bypass the check of the key.
    if start_line.version != 'HTTP/1.1':
        return 'Transfer-Encoding' not in headers
    return len(headers.get_list('Host')) == 1


def refuse_large_body(limit_bytes: int) -> Refusal:
    """Return the refusal of a body over the limit."""
    return refuse_not_run(
        'admission.E004',
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        f'The body exceeds the limit of {limit_bytes} bytes.',
    )
