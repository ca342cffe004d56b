"""Idempotency keys of requests, and responses to duplicates."""

import hashlib
from http import HTTPStatus

from tornado.httputil import HTTPHeaders

from sardinemast.admission import (
    Refusal,
    RunOutcome,
    refuse_not_run,
    refuse_unknown,
)
from sardinemast.idempotency import (
    ClaimDecided,
    ClaimOutcome,
    ClaimVerdict,
    RequestEnded,
    StoredAnswer,
)
from sardinemast.shell._upstream_client import CallerRequest, UpstreamResponse

_MAX_DEADLINE_S = 120.0
_REPLAYED_HEADER = 'Idempotent-Replayed'
_MAX_KEY_LENGTH = 255
_RETRY_AFTER_S = 1.0


def parse_key(headers: HTTPHeaders, name: str) -> str | Refusal | None:
    """Return the key of a request, ``None`` without one, or refuse it."""
    found = headers.get_list(name)
    if not found:
        return None
    key = found[0].strip()
    if len(found) == 1 and 0 < len(key) <= _MAX_KEY_LENGTH and key.isascii():
        return key
    return refuse_not_run(
        'idempotency.E001',
        HTTPStatus.BAD_REQUEST,
        f'Send one {name} header of 1 to {_MAX_KEY_LENGTH} ASCII characters.',
    )


def digest_parts(*parts: str | bytes) -> bytes:
    """Return a digest of length-prefixed parts."""
    digest = hashlib.sha256()
    for part in parts:
        encoded = part.encode() if isinstance(part, str) else part
        digest.update(f'{len(encoded)}:'.encode() + encoded)
    return digest.digest()


def digest_request(request: CallerRequest) -> bytes:
    """Return the digest of method, URI and body."""
    return digest_parts(request.method, request.uri, request.body)


def cap_deadline(requested_s: float | None, default_s: float) -> float:
    """Return the time left, bounded to end before the claim expires.

    Otherwise a resend could run while the first request is still running.
    """
    remaining_s = default_s if requested_s is None else requested_s
    return min(remaining_s, _MAX_DEADLINE_S)


def make_request_ended(
    request_id: int,
    response: UpstreamResponse | Refusal,
) -> RequestEnded:
    """Make the event that tells the holders of the key about the outcome."""
    if isinstance(response, UpstreamResponse):
        stored = StoredAnswer(
            response.code,
            response.reason,
            tuple(response.headers.get_all()),
            response.body,
        )
        return RequestEnded(request_id, ClaimOutcome.answered, stored)
    if response.outcome is RunOutcome.not_run:
        return RequestEnded(request_id, ClaimOutcome.released)
    return RequestEnded(request_id, ClaimOutcome.unknown)


def answer_duplicate(decided: ClaimDecided) -> UpstreamResponse | Refusal:
    """Return the response to a request whose key was not granted.

    All refusals but the mismatch have the outcome "unknown": an earlier
    request with the key may have run, and after "not run" a caller could
    resend it with a new key.
    """
    if decided.answer is not None:
        return _replay(decided.answer)
    if decided.verdict is ClaimVerdict.mismatch:
        return refuse_not_run(
            'idempotency.E002',
            HTTPStatus.UNPROCESSABLE_ENTITY,
            'The key was used for a different request. Use a new key.',
        )
    if decided.verdict is ClaimVerdict.in_progress:
        return refuse_unknown(
            'idempotency.E003',
            HTTPStatus.CONFLICT,
            'A request with this key is running. Retry later.',
        )._replace(retry_after_s=_RETRY_AFTER_S)
    if decided.verdict is ClaimVerdict.unavailable:
        return refuse_unknown(
            'idempotency.E004',
            HTTPStatus.SERVICE_UNAVAILABLE,
            'The key cannot be checked at the moment. Retry later.',
        )._replace(retry_after_s=_RETRY_AFTER_S)
    if decided.verdict is ClaimVerdict.answered:
        return refuse_unknown(
            'idempotency.E005',
            HTTPStatus.CONFLICT,
            'The request has run; its response is not kept. Query the result.',
        )
    return refuse_unknown(
        'idempotency.E006',
        HTTPStatus.CONFLICT,
        'A request with this key may have run. Query the result.',
    )


def _replay(stored: StoredAnswer) -> UpstreamResponse:
    headers = HTTPHeaders()
    for name, header in stored.headers:
        headers.add(name, header)
    headers[_REPLAYED_HEADER] = 'true'
    return UpstreamResponse(stored.code, stored.reason, headers, stored.body)
