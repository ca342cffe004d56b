"""Streams on which other processes send calls to a control process."""

import asyncio
from collections.abc import Callable
from itertools import count

from websockets.asyncio.server import ServerConnection

from sardinemast import control
from sardinemast.protocol import LEADER_MESSAGES, PassAnswer, unpack_call
from sardinemast.shell._identity import Identity
from sardinemast.shell._security import Access
from sardinemast.shell._websockets import Outbox, decode_frame_from


class CallerStreams:
    """Deliver calls to the control core and send its answers back."""

    def __init__(
        self,
        identity: Identity,
        access: Access,
        put: Callable[[control.ControlEvent], None],
    ) -> None:
        self._identity = identity
        self._access = access
        self._put = put
        self._stream_ids = count(1)
        self._outboxes: dict[int, Outbox] = {}

    async def serve_stream(self, websocket: ServerConnection) -> None:
        """Receive calls until the stream ends."""
        stream_id = next(self._stream_ids)
        outbox = Outbox(websocket.send, self._identity)
        send_task = asyncio.create_task(outbox.run())
        self._outboxes[stream_id] = outbox
        self._put(control.CallerConnected(stream_id))
        try:
            await self._receive_calls(websocket, stream_id)
        finally:
            send_task.cancel()
            self._remove_stream(stream_id)

    def send(self, output: control.AnswerCall | control.SendToCaller) -> None:
        """Send an answer or a message of the leader if the stream is open."""
        outbox = self._outboxes.get(output.stream_id)
        if outbox is None:
            return
        if isinstance(output, control.AnswerCall):
            answer = PassAnswer(output.call_id, output.answer)
            outbox.put(LEADER_MESSAGES.pack(answer))
        else:
            outbox.put(LEADER_MESSAGES.pack(output.message))

    async def _receive_calls(
        self,
        websocket: ServerConnection,
        stream_id: int,
    ) -> None:
        async for frame in websocket:
            envelope = decode_frame_from(
                websocket, frame, self._identity, self._access
            )
            request = unpack_call(envelope.body)
            self._put(control.CallReceived(stream_id, *request))

    def _remove_stream(self, stream_id: int) -> None:
        self._outboxes.pop(stream_id)
        self._put(control.CallerDisconnected(stream_id))
