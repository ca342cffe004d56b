"""Requests with an idempotency key: what is claimed, and what is answered."""

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
    """Give the key of a request, nothing without one, or refuse it."""
    found = headers.get_list(name)
    if not found:
        return None
    key = found[0].strip()
    if len(found) == 1 and 0 < len(key) <= _MAX_KEY_LENGTH and key.isascii():
        return key
    return refuse_not_run(
        'idempotency.E001',
        HTTPStatus.BAD_REQUEST,
        f'Send one {name} of 1 to {_MAX_KEY_LENGTH} ASCII characters.',
    )


def digest_parts(*parts: str | bytes) -> bytes:
    """Give a digest that no other parts have."""
    digest = hashlib.sha256()
    for part in parts:
        encoded = part.encode() if isinstance(part, str) else part
        digest.update(f'{len(encoded)}:'.encode() + encoded)
    return digest.digest()


def digest_request(request: CallerRequest) -> bytes:
    """Give the digest of what a request asks for."""
    return digest_parts(request.method, request.uri, request.body)


def cap_deadline(requested_s: float | None, default_s: float) -> float:
    """Give the time left, so that a request ends before its key is forgotten.

    Holders forget a claim some minutes after it. If the request still ran
    then, a resend would run beside it.
    """
    remaining_s = default_s if requested_s is None else requested_s
    return min(remaining_s, _MAX_DEADLINE_S)


def make_request_ended(
    request_id: int,
    answer: UpstreamResponse | Refusal,
) -> RequestEnded:
    """Give what holders of the key should know of an answer."""
    if isinstance(answer, UpstreamResponse):
        stored = StoredAnswer(
            answer.code,
            answer.reason,
            tuple(answer.headers.get_all()),
            answer.body,
        )
        return RequestEnded(request_id, ClaimOutcome.answered, stored)
    if answer.outcome is RunOutcome.not_run:
        return RequestEnded(request_id, ClaimOutcome.released)
    return RequestEnded(request_id, ClaimOutcome.unknown)


def answer_duplicate(decided: ClaimDecided) -> UpstreamResponse | Refusal:
    """Give the answer to a request that may not run.

    All but the mismatch say "unknown": an earlier request with the key may
    have run, and a caller that reads "not run" would send it under a new one.
    """
    if decided.answer is not None:
        return _replay(decided.answer)
    if decided.verdict is ClaimVerdict.mismatch:
        return refuse_not_run(
            'idempotency.E002',
            HTTPStatus.UNPROCESSABLE_ENTITY,
            'This key stands for another request. Send a new key.',
        )
    if decided.verdict is ClaimVerdict.in_progress:
        return refuse_unknown(
            'idempotency.E003',
            HTTPStatus.CONFLICT,
            'A request with this key is running. Send it again later.',
        )._replace(retry_after_s=_RETRY_AFTER_S)
    if decided.verdict is ClaimVerdict.unavailable:
        return refuse_unknown(
            'idempotency.E004',
            HTTPStatus.SERVICE_UNAVAILABLE,
            'The key cannot be checked now. Send it again later.',
        )._replace(retry_after_s=_RETRY_AFTER_S)
    if decided.verdict is ClaimVerdict.answered:
        return refuse_unknown(
            'idempotency.E005',
            HTTPStatus.CONFLICT,
            'This has run, and its answer is not kept. Ask for the result.',
        )
    return refuse_unknown(
        'idempotency.E006',
        HTTPStatus.CONFLICT,
        'A request with this key may have run. Ask for the result.',
    )


def _replay(stored: StoredAnswer) -> UpstreamResponse:
    headers = HTTPHeaders()
    for name, header in stored.headers:
        headers.add(name, header)
    headers[_REPLAYED_HEADER] = 'true'
    return UpstreamResponse(stored.code, stored.reason, headers, stored.body)
