"""Calls to the leader while control processes stand still or change."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

from websockets.asyncio.server import ServerConnection, serve

from builders.processes import find_ports
from sardinemast.conf import Cluster, get_control_address
from sardinemast.protocol import (
    LEADER_MESSAGES,
    CallAnswer,
    CallOutcome,
    JobAction,
    JobCall,
    LeaderBeat,
    NotLeader,
    PassAnswer,
    unpack_call,
)
from sardinemast.shell import Access, CallRoute, LeaderRelay, create_identity
from sardinemast.shell._identity import Identity, decode_frame, encode_frame

_FIRST = '127.0.0.2'
_SECOND = '127.0.0.3'
_CALL = JobCall(JobAction.read, 'h', '/q/1', 'k')
_SOON_S = 0.8
# A seed that leaves the two processes in their order.
_FIRST_BEFORE_SECOND = 0
Test = Callable[[int, LeaderRelay], Awaitable[None]]


def _run(test: Test, way: CallRoute = CallRoute.direct) -> None:
    asyncio.run(_run_test(test, way))


async def _run_test(test: Test, way: CallRoute) -> None:
    port = find_ports(1)[0]
    identity = create_identity('entry-1')
    founders = tuple(
        get_control_address(host, port) for host in (_FIRST, _SECOND)
    )
    own = get_control_address('127.0.0.1', port)
    cluster = Cluster(own, 1, may_found=True)
    relay = LeaderRelay(
        identity,
        founders,
        cluster,
        Access(None),
        way,
        Random(_FIRST_BEFORE_SECOND),
    )
    running = asyncio.create_task(relay.run())
    try:
        await test(port, relay)
    finally:
        running.cancel()


def _lead(host: str, outcomes: list[CallOutcome]) -> Any:
    """Give a handler that leads, and answers each call by an outcome."""
    identity = create_identity(host)

    async def handle(websocket: ServerConnection) -> None:
        beating = asyncio.create_task(_beat(websocket, identity))
        try:
            async for frame in websocket:
                passed = unpack_call(decode_frame(identity, frame).body)
                answer = CallAnswer(outcomes.pop(0))
                await _send(
                    websocket, identity, PassAnswer(passed.call_id, answer)
                )
        finally:
            beating.cancel()

    return handle


async def _beat(websocket: ServerConnection, identity: Identity) -> None:
    while True:
        beat = LeaderBeat(identity.name, (_FIRST, _SECOND))
        await _send(websocket, identity, beat)
        await asyncio.sleep(0.1)


async def _send(
    websocket: ServerConnection, identity: Identity, message: Any
) -> None:
    await websocket.send(encode_frame(identity, LEADER_MESSAGES.pack(message)))


async def _wait_connected(relay: LeaderRelay) -> None:
    while not relay.is_connected:
        await asyncio.sleep(0.02)


def test_process_that_stands_still_does_not_hold_up_the_search() -> None:
    """The leader froze; its system still takes connections.

    The next process leads within a second. Entries that wait for the frozen
    one's first word refuse callers for a second more than they must.
    """

    async def test(port: int, relay: LeaderRelay) -> None:
        with socket.create_server((_FIRST, port)):
            async with serve(_lead(_SECOND, []), _SECOND, port):
                async with asyncio.timeout(_SOON_S):
                    await _wait_connected(relay)

    _run(test)


def test_call_that_a_leader_leaves_open_goes_to_the_next() -> None:
    """A leader ends its term while a call waits for the log.

    It cannot tell what becomes of the call. The next leader can, and the
    caller need not send it again.
    """

    async def test(port: int, relay: LeaderRelay) -> None:
        first = _lead(_FIRST, [CallOutcome.uncertain])
        async with serve(first, _FIRST, port) as server:
            await _wait_connected(relay)
            calling = asyncio.create_task(relay.call(_CALL, 5))
            await asyncio.sleep(0.3)
            assert not calling.done()
            server.close()
        async with serve(_lead(_SECOND, [CallOutcome.done]), _SECOND, port):
            answer = await calling
        assert answer.outcome is CallOutcome.done

    _run(test)


def test_call_without_a_leader_is_refused_soon_and_truly() -> None:
    """No process leads; nothing of the call may be on its way anywhere."""

    async def test(port: int, relay: LeaderRelay) -> None:
        identity = create_identity(_FIRST)

        async def send_on(websocket: ServerConnection) -> None:
            await _send(websocket, identity, NotLeader(''))

        async with serve(send_on, _FIRST, port):
            async with asyncio.timeout(0.5):
                answer = await relay.call(_CALL, 5)
        assert answer.outcome is CallOutcome.refused

    _run(test)


def test_entry_stays_with_a_process_that_awaits_the_next_leader() -> None:
    """All control processes have lost power, and elect a leader just now.

    Each of a hundred entries asked them in turn, twenty times a second. They
    had no time left for each other's votes and heartbeats, and five leaders
    in a row lost their terms.
    """
    identity = create_identity(_FIRST)
    opened = 0

    async def elect(websocket: ServerConnection) -> None:
        nonlocal opened
        opened += 1
        for _ in range(4):
            await _send(websocket, identity, NotLeader(''))
            await asyncio.sleep(0.2)
        await _beat(websocket, identity)

    async def test(port: int, relay: LeaderRelay) -> None:
        async with serve(elect, _FIRST, port), serve(elect, _SECOND, port):
            async with asyncio.timeout(5):
                await _wait_connected(relay)
            assert opened == 1

    _run(test, CallRoute.forwarded)


def test_entry_leaves_a_process_that_never_hears_of_a_leader() -> None:
    """Its control process is cut off from the others, which have elected."""
    identity = create_identity(_FIRST)

    async def be_cut_off(websocket: ServerConnection) -> None:
        while True:
            await _send(websocket, identity, NotLeader(''))
            await asyncio.sleep(0.1)

    async def test(port: int, relay: LeaderRelay) -> None:
        async with (
            serve(be_cut_off, _FIRST, port),
            serve(_lead(_SECOND, []), _SECOND, port),
            asyncio.timeout(5),
        ):
            await _wait_connected(relay)

    _run(test, CallRoute.forwarded)


def test_refusal_of_a_call_that_went_another_way_before_is_not_told() -> None:
    """A process passes a booking on, and its stream to the entry breaks.

    The next process knows of no leader and refuses. Told that nothing was
    done, the family books again, and both bookings run.
    """

    async def take_and_break(websocket: ServerConnection) -> None:
        identity = create_identity(_FIRST)
        beating = asyncio.create_task(_beat(websocket, identity))
        await websocket.recv()
        beating.cancel()

    async def test(port: int, relay: LeaderRelay) -> None:
        second = _lead(_SECOND, [CallOutcome.refused])
        async with serve(take_and_break, _FIRST, port):
            await _wait_connected(relay)
            async with serve(second, _SECOND, port):
                answer = await relay.call(_CALL, 2)
        assert answer.outcome is CallOutcome.uncertain

    _run(test, CallRoute.forwarded)
