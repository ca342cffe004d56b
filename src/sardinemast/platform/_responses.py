"""Translate the leader's answers to HTTP responses."""

from http import HTTPStatus
from types import MappingProxyType

from sardinemast.platform._http_server import HttpResponse
from sardinemast.protocol import CallAnswer, CallOutcome

# A lost leader is usually replaced within a second.
_RETRY_AFTER_S = 1
_STATUS_CODES = MappingProxyType(
    {
        CallOutcome.done: HTTPStatus.OK,
        # Tells callers that nothing was executed.
        CallOutcome.refused: HTTPStatus.SERVICE_UNAVAILABLE,
        # Tells callers to repeat the same request, at any entry.
        CallOutcome.uncertain: HTTPStatus.GATEWAY_TIMEOUT,
        CallOutcome.invalid: HTTPStatus.BAD_REQUEST,
        CallOutcome.unknown_queue: HTTPStatus.NOT_FOUND,
        CallOutcome.unknown_key: HTTPStatus.UNAUTHORIZED,
        CallOutcome.unknown_job: HTTPStatus.GONE,
        CallOutcome.overloaded: HTTPStatus.TOO_MANY_REQUESTS,
    }
)
_TO_REPEAT = frozenset(
    (CallOutcome.refused, CallOutcome.uncertain, CallOutcome.overloaded)
)


def make_response(answer: CallAnswer, body: bytes = b'') -> HttpResponse:
    """Return the HTTP response for an answer of the leader."""
    retry_after_s = 0
    if answer.outcome in _TO_REPEAT:
        retry_after_s = answer.retry_after_s or _RETRY_AFTER_S
    return HttpResponse(_STATUS_CODES[answer.outcome], body, retry_after_s)
