"""Answers of the platform's instance service."""

import asyncio

import logbook
import msgspec
import pytest

from builders.odd_values import LONE_SURROGATE, make_nested
from sardinemast.conf import Address
from sardinemast.dispatch import InstancesListed, ListedInstance, ListInstances
from sardinemast.platform._services import ServiceClient
from sardinemast.routing import AttemptResult, StartAttempt
from sardinemast.shell import RawAttempt
from sardinemast.shell._http_connection import RawResponse

_DIGITS = b'1' * 5000
_VALID = b'{"machine":"m-1","pool":"booking","state":"up","zone":"rennes"}'


class FakeClient:
    """Answer each request with the same body."""

    own_host = '10.0.0.1'

    def __init__(self, body: bytes) -> None:
        self.calls = 0
        self._body = body

    async def get(self, start: StartAttempt, path: str) -> RawAttempt:
        """Return the body with status 200."""
        self.calls += 1
        response = RawResponse(200, 'OK', (), self._body)
        return RawAttempt(AttemptResult.answered, response)


def _list_instances(
    body: bytes, client: FakeClient | None = None
) -> InstancesListed | None:
    services = ServiceClient(
        client or FakeClient(body),  # type: ignore[arg-type]
        Address('10.0.0.2', 80),
        None,
    )
    return asyncio.run(services.list_instances(ListInstances(1, 7), 0))


@pytest.mark.parametrize(
    'entry',
    [
        b'{"machine":"m-2","pool":"booking"}',
        b'{"machine":17,"pool":"booking","state":"up"}',
        b'{"machine":"\xff","pool":"booking","state":"up"}',
        b'[]',
        b'null',
        make_nested(10_000),
        make_nested(200_000),
        b'{"machine":"m-2","pool":"booking","state":%b}' % make_nested(2000),
        b'{"machine":"m-2","pool":"booking","state":"up","zone":%b}' % _DIGITS,
        b'{"machine":%b,"pool":"booking","state":"up"}' % LONE_SURROGATE,
        b'{"machine":"a\nb","pool":"booking","state":"up"}',
        b'NaN',
        b'1e400',
        b'',
    ],
)
def test_valid_instances_beside_an_invalid_one_are_listed(
    entry: bytes,
) -> None:
    """Guard against one invalid entry that makes every list unusable.

    Without a list, no instance of the standby pool is switched on, and a wave
    does not notice that an instance is lost or back.
    """
    listed = _list_instances(b'{"machines":[%b,%b]}' % (entry, _VALID))
    instance = ListedInstance('m-1', 'booking', True, False, 'rennes')
    assert listed == InstancesListed((instance,), 7)


def test_unreadable_list_is_discarded() -> None:
    """Guard against a list that counts all instances as missing."""
    assert _list_instances(b'{"machines":{}}') is None
    assert _list_instances(msgspec.json.encode([])) is None


def test_list_of_many_unreadable_entries_is_followed() -> None:
    """Guard against log lines for each entry, which stop the process."""
    with logbook.TestHandler() as handler:
        listed = _list_instances(b'{"machines":[%b1]}' % (b'1,' * 9000))
    assert listed == InstancesListed((), 7)
    assert len(handler.records) == 1


@pytest.mark.parametrize('entries', [b'', _VALID])
def test_list_without_end_is_discarded(entries: bytes) -> None:
    """Guard against requests without end for a list that repeats its token."""
    client = FakeClient(b'{"machines":[%b],"next_token":"t"}' % entries)
    assert _list_instances(b'', client) is None
    assert client.calls == 2
