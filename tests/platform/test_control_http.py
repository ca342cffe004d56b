"""Requests of operators that a control process forwards to the leader."""

import asyncio

import pytest

from builders.platform_requests import FakeRelay, make_request
from sardinemast.metrics import ProcessMetrics
from sardinemast.platform._control_http import ControlHandler


def _begin_wave(deadline_s: str, cap: int = 1) -> tuple[int, int]:
    """Return the status code and the number of calls to the leader."""
    relay = FakeRelay()
    handler = ControlHandler(relay, ProcessMetrics())  # type: ignore[arg-type]
    request = make_request(
        'POST',
        '/wave-start',
        body=b'{"wave":1,"machines":["m-1"],"deadline_s":%b,"cap":%d}'
        % (deadline_s.encode(), cap),
    )
    response = asyncio.run(handler.handle(request))
    return response.code, len(relay.calls)


def test_wave_is_forwarded_to_the_leader() -> None:
    """Guard against valid waves that are refused."""
    assert _begin_wave('20') == (200, 1)
    assert _begin_wave('0.5') == (200, 1)


@pytest.mark.parametrize('deadline_s', ['1e306', '-1'])
def test_wave_with_an_invalid_deadline_is_refused(deadline_s: str) -> None:
    """Guard against a wave that ends each leader that computes its due time.

    The call is sent to the next leader again.
    """
    assert _begin_wave(deadline_s) == (400, 0)
