"""HTTP responses to callers."""

from sardinemast.platform._responses import make_response
from sardinemast.protocol import CallAnswer, CallOutcome


def test_each_outcome_has_a_response() -> None:
    """Guard against a call that ends in an error of the entry."""
    for outcome in CallOutcome:
        assert make_response(CallAnswer(outcome)).code


def test_overloaded_callers_are_told_when_to_retry() -> None:
    """Guard against retries before capacity is expected."""
    answer = CallAnswer(CallOutcome.overloaded, retry_after_s=9)
    response = make_response(answer)
    assert (response.code, response.retry_after_s) == (429, 9)
    refused = make_response(CallAnswer(CallOutcome.refused))
    assert (refused.code, refused.retry_after_s) == (503, 1)
