"""Requests of operators that a control process forwards to the leader."""

import asyncio

import pytest

from builders.odd_values import (
    LONE_SURROGATE,
    NUMBERS,
    make_nested,
)
from builders.platform_requests import FakeRelay, make_request
from sardinemast.metrics import ProcessMetrics
from sardinemast.platform._control_http import ControlHandler


def _send(method: str, path: str, body: bytes = b'') -> tuple[int, int]:
    """Return the status code and the number of calls to the leader."""
    relay = FakeRelay()
    handler = ControlHandler(relay, ProcessMetrics())  # type: ignore[arg-type]
    request = make_request(method, path, body=body)
    response = asyncio.run(handler.handle(request))
    return response.code, len(relay.calls)


def _begin_wave(deadline_s: str, cap: int = 1) -> tuple[int, int]:
    """Return the status code and the number of calls to the leader."""
    body = b'{"wave":1,"machines":["m-1"],"deadline_s":%b,"cap":%d}'
    return _send('POST', '/wave-start', body % (deadline_s.encode(), cap))


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


@pytest.mark.parametrize(
    ('field', 'odd'),
    [
        *(('wave', number) for number in NUMBERS if number != b'0'),
        *(('cap', number) for number in NUMBERS),
        ('machines', b'[%b""]' % (b'"",' * 9)),
        (
            'machines',
            b'["%b"]' % b'","'.join(b'%d' % one for one in range(10_001)),
        ),
        ('machines', b'[%b]' % LONE_SURROGATE),
        ('machines', make_nested(200_000)),
        ('odd', make_nested(10_000)),
    ],
)
def test_wave_with_odd_values_is_refused(field: str, odd: bytes) -> None:
    """Guard against a wave in the log that no leader can work on."""
    wave = {'wave': b'1', 'machines': b'["m"]', 'deadline_s': b'1', 'cap': b'1'}
    fields = {**wave, field: odd}
    body = b','.join(
        b'"%b":%b' % (key.encode(), one) for key, one in fields.items()
    )
    assert _send('POST', '/wave-start', b'{%b}' % body) == (400, 0)


@pytest.mark.parametrize('number', ['', '-1', '1_0', '+1', '9' * 400, '\xb2'])
def test_number_of_a_wave_has_only_digits(number: str) -> None:
    """Guard against numbers that no frame between processes can carry."""
    assert _send('GET', f'/wave-get/{number}') == (400, 0)
    assert _send('GET', '/wave-get/17') == (200, 1)


@pytest.mark.parametrize('odd', [b'"\xff"', b'"\xed\xa0\x80"', b'NaN', b'1,'])
def test_configuration_with_unreadable_bytes_is_refused(odd: bytes) -> None:
    """Guard against a stored configuration that operators cannot read."""
    config = b'{"version":1,"routes":[],"services":[],"odd":%b}'
    assert _send('PUT', '/config', config % odd) == (400, 0)
    assert _send('PUT', '/config', config % b'1') == (200, 1)
