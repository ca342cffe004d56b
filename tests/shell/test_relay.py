"""Calls to the leader while control processes freeze, fail or change."""

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
_SEARCH_TIMEOUT_S = 0.8
# Seed that keeps the order of the two processes.
_SEED = 0
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
        Random(_SEED),
    )
    run_task = asyncio.create_task(relay.run())
    try:
        await test(port, relay)
    finally:
        run_task.cancel()


def _make_leader_handler(host: str, outcomes: list[CallOutcome]) -> Any:
    """Return a handler that acts as leader and answers with outcomes."""
    identity = create_identity(host)

    async def handle(websocket: ServerConnection) -> None:
        beat_task = asyncio.create_task(_beat(websocket, identity))
        try:
            async for frame in websocket:
                passed = unpack_call(decode_frame(identity, frame).body)
                answer = CallAnswer(outcomes.pop(0))
                await _send(
                    websocket, identity, PassAnswer(passed.call_id, answer)
                )
        finally:
            beat_task.cancel()

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


def test_frozen_process_does_not_delay_the_search_for_a_leader() -> None:
    """Guard against waiting for a frozen process that accepts connections."""

    async def test(port: int, relay: LeaderRelay) -> None:
        with socket.create_server((_FIRST, port)):
            async with serve(_make_leader_handler(_SECOND, []), _SECOND, port):
                async with asyncio.timeout(_SEARCH_TIMEOUT_S):
                    await _wait_connected(relay)

    _run(test)


def test_uncertain_call_is_resent_to_the_next_leader() -> None:
    """Guard against an uncertain answer when the next leader knows better."""

    async def test(port: int, relay: LeaderRelay) -> None:
        first = _make_leader_handler(_FIRST, [CallOutcome.uncertain])
        async with serve(first, _FIRST, port) as server:
            await _wait_connected(relay)
            call_task = asyncio.create_task(relay.call(_CALL, 5))
            await asyncio.sleep(0.3)
            assert not call_task.done()
            server.close()
        async with serve(
            _make_leader_handler(_SECOND, [CallOutcome.done]), _SECOND, port
        ):
            answer = await call_task
        assert answer.outcome is CallOutcome.done

    _run(test)


def test_resent_call_tells_how_long_it_has_waited() -> None:
    """Guard against a resent call that looks newer than a refusal."""
    waited_ms: list[int] = []

    async def receive(websocket: ServerConnection) -> None:
        identity = create_identity(_FIRST)
        beat_task = asyncio.create_task(_beat(websocket, identity))
        passed = unpack_call(
            decode_frame(identity, await websocket.recv()).body
        )
        waited_ms.append(passed.waited_ms)
        beat_task.cancel()

    async def test(port: int, relay: LeaderRelay) -> None:
        async with serve(receive, _FIRST, port), serve(receive, _SECOND, port):
            await _wait_connected(relay)
            call_task = asyncio.create_task(relay.call(_CALL, 5, 2000))
            async with asyncio.timeout(4):
                while len(waited_ms) < 2:
                    await asyncio.sleep(0.02)
            call_task.cancel()
        assert 2000 <= waited_ms[0] < waited_ms[1]

    _run(test)


def test_call_without_a_leader_is_refused_soon() -> None:
    """Guard against calls that wait or are sent while no process leads."""

    async def test(port: int, relay: LeaderRelay) -> None:
        identity = create_identity(_FIRST)

        async def redirect(websocket: ServerConnection) -> None:
            await _send(websocket, identity, NotLeader(''))

        async with serve(redirect, _FIRST, port):
            async with asyncio.timeout(0.5):
                answer = await relay.call(_CALL, 5)
        assert answer.outcome is CallOutcome.refused

    _run(test)


def test_entry_stays_connected_during_an_election() -> None:
    """Guard against entries that overload processes during an election."""
    identity = create_identity(_FIRST)
    connection_count = 0

    async def elect_slowly(websocket: ServerConnection) -> None:
        nonlocal connection_count
        connection_count += 1
        for _ in range(4):
            await _send(websocket, identity, NotLeader(''))
            await asyncio.sleep(0.2)
        await _beat(websocket, identity)

    async def test(port: int, relay: LeaderRelay) -> None:
        async with (
            serve(elect_slowly, _FIRST, port),
            serve(elect_slowly, _SECOND, port),
        ):
            async with asyncio.timeout(5):
                await _wait_connected(relay)
            assert connection_count == 1

    _run(test, CallRoute.forwarded)


def test_entry_leaves_a_process_that_stays_without_leader() -> None:
    """Guard against staying with a process in a minority partition."""
    identity = create_identity(_FIRST)

    async def report_no_leader(websocket: ServerConnection) -> None:
        while True:
            await _send(websocket, identity, NotLeader(''))
            await asyncio.sleep(0.1)

    async def test(port: int, relay: LeaderRelay) -> None:
        async with (
            serve(report_no_leader, _FIRST, port),
            serve(_make_leader_handler(_SECOND, []), _SECOND, port),
            asyncio.timeout(5),
        ):
            await _wait_connected(relay)

    _run(test, CallRoute.forwarded)


def test_refusal_of_a_resent_call_is_uncertain() -> None:
    """Guard against "refused" for a call that may have been forwarded."""

    async def break_after_call(websocket: ServerConnection) -> None:
        identity = create_identity(_FIRST)
        beat_task = asyncio.create_task(_beat(websocket, identity))
        await websocket.recv()
        beat_task.cancel()

    async def test(port: int, relay: LeaderRelay) -> None:
        second = _make_leader_handler(_SECOND, [CallOutcome.refused])
        async with serve(break_after_call, _FIRST, port):
            await _wait_connected(relay)
            async with serve(second, _SECOND, port):
                answer = await relay.call(_CALL, 2)
        assert answer.outcome is CallOutcome.uncertain

    _run(test, CallRoute.forwarded)
