"""Deadlines of callers that an entry forwards to the leader."""

import asyncio

import pytest

from builders.platform_requests import FakeRelay, make_request
from sardinemast.metrics import ProcessMetrics
from sardinemast.platform._caller_http import CallerHandler


def _get_timeout_s(deadline: str) -> float:
    relay = FakeRelay()
    handler = CallerHandler(relay, ProcessMetrics())  # type: ignore[arg-type]
    request = make_request('GET', '/seats/', {'X-Deadline-Ms': deadline})
    asyncio.run(handler.handle(request))
    return relay.timeouts_s[0]


@pytest.mark.parametrize(
    'deadline',
    ['', '-5', 'soon', '\N{SUPERSCRIPT TWO}', '9' * 5000],
)
def test_unreadable_deadline_is_ignored(deadline: str) -> None:
    """Guard against a deadline that fails the request of its caller."""
    assert _get_timeout_s(deadline) == _get_timeout_s('10000')


def test_deadline_of_a_caller_bounds_the_call() -> None:
    """Guard against answers that arrive after the caller has given up."""
    assert _get_timeout_s('1000') < 1
