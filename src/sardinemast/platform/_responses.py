"""Turn the leader's answers into the platform's codes."""

from http import HTTPStatus
from types import MappingProxyType

from sardinemast.platform._http_server import HttpResponse
from sardinemast.protocol import CallAnswer, CallOutcome

# A leader that is lost is replaced within about a second.
_RETRY_AFTER_S = 1
_CODES = MappingProxyType(
    {
        CallOutcome.done: HTTPStatus.OK,
        # Callers take this to mean that nothing ran, which is true.
        CallOutcome.refused: HTTPStatus.SERVICE_UNAVAILABLE,
        # After this one they send the same again, at any entry.
        CallOutcome.uncertain: HTTPStatus.GATEWAY_TIMEOUT,
        CallOutcome.invalid: HTTPStatus.BAD_REQUEST,
        CallOutcome.unknown_queue: HTTPStatus.NOT_FOUND,
        CallOutcome.unknown_key: HTTPStatus.UNAUTHORIZED,
        CallOutcome.unknown_job: HTTPStatus.GONE,
    }
)


def make_response(answer: CallAnswer, body: bytes = b'') -> HttpResponse:
    """Give the HTTP answer."""
    retry_after_s = 0
    if answer.outcome in {CallOutcome.refused, CallOutcome.uncertain}:
        retry_after_s = _RETRY_AFTER_S
    return HttpResponse(_CODES[answer.outcome], body, retry_after_s)
