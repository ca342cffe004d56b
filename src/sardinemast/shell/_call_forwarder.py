"""Forwarding of calls from entries to the leader by a control process."""

import asyncio
from typing import Any

from websockets.asyncio.server import ServerConnection

from sardinemast.protocol import (
    LEADER_MESSAGES,
    LeaderBeat,
    LeaderMessage,
    NotLeader,
    PassAnswer,
    PassCall,
    unpack_call,
)
from sardinemast.shell._identity import Identity
from sardinemast.shell._relay import LeaderRelay
from sardinemast.shell._security import Access
from sardinemast.shell._websockets import Outbox, decode_frame_from

# Entries reconnect after missing three beats.
_BEAT_INTERVAL_S = 0.2
# Longer than the timeout of any caller, which the entry enforces.
_CALL_TIMEOUT_S = 10.0


class CallForwarder:
    """Forward calls from entries over this process's stream to the leader.

    Entries connect to any control process and stay there when the leader
    changes. Otherwise all of them would reconnect to a new leader at once and
    could overload it until it loses its term.
    """

    def __init__(
        self,
        relay: LeaderRelay,
        identity: Identity,
        access: Access,
    ) -> None:
        self._relay = relay
        self._identity = identity
        self._access = access

    async def serve_stream(self, websocket: ServerConnection) -> None:
        """Receive calls until the stream ends."""
        outbox = Outbox(websocket.send, self._identity)
        call_tasks: dict[int, asyncio.Task[None]] = {}
        stream_tasks = [
            asyncio.create_task(outbox.run()),
            asyncio.create_task(self._report_leader(outbox)),
        ]
        try:
            async for frame in websocket:
                self._handle_frame(websocket, frame, outbox, call_tasks)
        finally:
            for task in (*stream_tasks, *call_tasks.values()):
                task.cancel()

    def _handle_frame(
        self,
        websocket: ServerConnection,
        frame: Any,
        outbox: Outbox,
        call_tasks: dict[int, asyncio.Task[None]],
    ) -> None:
        envelope = decode_frame_from(
            websocket, frame, self._identity, self._access
        )
        request = unpack_call(envelope.body)
        # An entry resends pending calls after a change of leader.
        if request.call_id in call_tasks:
            return
        task = asyncio.create_task(self._forward(request, outbox))
        call_tasks[request.call_id] = task
        task.add_done_callback(lambda _: call_tasks.pop(request.call_id))

    async def _forward(self, request: PassCall, outbox: Outbox) -> None:
        answer = await self._relay.call(
            request.call, _CALL_TIMEOUT_S, request.waited_ms
        )
        _put(outbox, PassAnswer(request.call_id, answer))

    async def _report_leader(self, outbox: Outbox) -> None:
        while True:
            message: LeaderMessage = NotLeader('')
            if self._relay.is_connected:
                relay = self._relay
                message = LeaderBeat(relay.leader, relay.controls)
            _put(outbox, message)
            await asyncio.sleep(_BEAT_INTERVAL_S)


def _put(outbox: Outbox, message: LeaderMessage) -> None:
    outbox.put(LEADER_MESSAGES.pack(message))
