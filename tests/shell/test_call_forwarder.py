"""Forwarding of calls from entries to the leader."""

import asyncio
from collections.abc import Awaitable, Callable

from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import serve

from sardinemast.protocol import (
    LEADER_MESSAGES,
    Call,
    CallAnswer,
    CallOutcome,
    JobAction,
    JobCall,
    LeaderBeat,
    LeaderMessage,
    NotLeader,
    PassAnswer,
    PassCall,
    pack_call,
)
from sardinemast.shell import Access, create_identity
from sardinemast.shell._call_forwarder import CallForwarder
from sardinemast.shell._identity import decode_frame, encode_frame

_HOST = '127.0.0.1'
_CALL = JobCall(JobAction.read, 'h', '/q/1', 'k')
_ENTRY = create_identity('entry-1')
_WAITED_MS = 1700
Test = Callable[[ClientConnection, 'FakeRelay'], Awaitable[None]]


class FakeRelay:
    """Fake the stream to the leader."""

    def __init__(self) -> None:
        self.is_connected = True
        self.leader = 'control-2'
        self.controls = ('control-1', 'control-2')
        self.calls: list[Call] = []
        self.waited_ms: list[int] = []
        self.may_answer = asyncio.Event()

    async def call(
        self, call: Call, timeout_s: float, waited_ms: int
    ) -> CallAnswer:
        """Answer once ``may_answer`` is set."""
        self.calls.append(call)
        self.waited_ms.append(waited_ms)
        await self.may_answer.wait()
        return CallAnswer(CallOutcome.done)


def _run(test: Test) -> None:
    asyncio.run(_run_test(test))


async def _run_test(test: Test) -> None:
    relay = FakeRelay()
    forwarder = CallForwarder(
        relay,  # type: ignore[arg-type]
        create_identity('control-1'),
        Access(None),
    )
    async with serve(forwarder.serve_stream, _HOST, 0) as server:
        port = server.sockets[0].getsockname()[1]
        async with connect(f'ws://{_HOST}:{port}', proxy=None) as websocket:
            async with asyncio.timeout(5):
                await test(websocket, relay)


async def _receive(websocket: ClientConnection) -> LeaderMessage:
    frame = await websocket.recv()
    assert isinstance(frame, bytes)
    message: LeaderMessage = LEADER_MESSAGES.unpack(
        decode_frame(_ENTRY, frame).body,
    )
    return message


async def _wait_for(websocket: ClientConnection, wanted: type) -> LeaderMessage:
    while True:
        message = await _receive(websocket)
        if isinstance(message, wanted):
            return message


async def _send(websocket: ClientConnection, call_id: int) -> None:
    await websocket.send(
        encode_frame(_ENTRY, pack_call(PassCall(call_id, _CALL, _WAITED_MS)))
    )


def test_answer_carries_the_id_of_its_call() -> None:
    """Guard against an answer that reaches the wrong caller."""

    async def test(websocket: ClientConnection, relay: FakeRelay) -> None:
        relay.may_answer.set()
        await _send(websocket, 7)
        answer = await _wait_for(websocket, PassAnswer)
        assert answer == PassAnswer(7, CallAnswer(CallOutcome.done))
        # A leader needs the time since the call reached the entry.
        assert relay.waited_ms == [_WAITED_MS]

    _run(test)


def test_resent_call_is_forwarded_once() -> None:
    """Guard against doubling the calls that reach a new leader."""

    async def test(websocket: ClientConnection, relay: FakeRelay) -> None:
        await _send(websocket, 7)
        await _send(websocket, 7)
        await asyncio.sleep(0.1)
        assert len(relay.calls) == 1
        relay.may_answer.set()
        await _wait_for(websocket, PassAnswer)

    _run(test)


def test_entry_is_told_of_loss_and_return_of_the_leader() -> None:
    """Guard against calls that wait while no leader is known."""

    async def test(websocket: ClientConnection, relay: FakeRelay) -> None:
        assert await _receive(websocket) == LeaderBeat(
            relay.leader, relay.controls
        )
        relay.is_connected = False
        assert await _wait_for(websocket, NotLeader) == NotLeader('')
        relay.is_connected = True
        await _wait_for(websocket, LeaderBeat)

    _run(test)
