"""Calls of entries that a control process passes on to the leader."""

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
Test = Callable[[ClientConnection, 'FakeRelay'], Awaitable[None]]


class FakeRelay:
    """Stand for the stream to the leader."""

    def __init__(self) -> None:
        self.is_connected = True
        self.leader = 'control-2'
        self.controls = ('control-1', 'control-2')
        self.calls: list[Call] = []
        self.may_answer = asyncio.Event()

    async def call(self, call: Call, timeout_s: float) -> CallAnswer:
        """Answer once the test says so."""
        self.calls.append(call)
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
        encode_frame(_ENTRY, pack_call(PassCall(call_id, _CALL)))
    )


def test_answer_comes_back_under_the_number_of_its_call() -> None:
    """Each caller gets the answer to its own call."""

    async def test(websocket: ClientConnection, relay: FakeRelay) -> None:
        relay.may_answer.set()
        await _send(websocket, 7)
        answer = await _wait_for(websocket, PassAnswer)
        assert answer == PassAnswer(7, CallAnswer(CallOutcome.done))

    _run(test)


def test_call_that_is_sent_again_is_passed_on_once() -> None:
    """After a change of leader entries send again what has no answer yet.

    Passed on each time, the calls of a hundred entries would come to the new
    leader twice, by this process and by its own resend.
    """

    async def test(websocket: ClientConnection, relay: FakeRelay) -> None:
        await _send(websocket, 7)
        await _send(websocket, 7)
        await asyncio.sleep(0.1)
        assert len(relay.calls) == 1
        relay.may_answer.set()
        await _wait_for(websocket, PassAnswer)

    _run(test)


def test_entry_hears_that_a_leader_is_lost_and_found() -> None:
    """Its callers are refused at once and truly while there is none."""

    async def test(websocket: ClientConnection, relay: FakeRelay) -> None:
        assert await _receive(websocket) == LeaderBeat(
            relay.leader, relay.controls
        )
        relay.is_connected = False
        assert await _wait_for(websocket, NotLeader) == NotLeader('')
        relay.is_connected = True
        await _wait_for(websocket, LeaderBeat)

    _run(test)
