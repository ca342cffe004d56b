"""Stream of an entry to the leader."""

import asyncio
from collections.abc import Callable, Sequence

from logbook import Logger
from websockets.asyncio.client import ClientConnection

from sardinemast import entry
from sardinemast.conf import Address, ControlAddress
from sardinemast.protocol import (
    CONTROL_MESSAGES,
    ENTRY_MESSAGES,
    EntryMessage,
    NotLeader,
)
from sardinemast.shell._identity import Identity, encode_frame
from sardinemast.shell._security import Access
from sardinemast.shell._websockets import (
    CONNECTION_ERRORS,
    Outbox,
    decode_frame_from,
    open_websocket,
)
from sardinemast.wire import WireError, dump_plain

_log = Logger('entry')
_STREAM_ERRORS = (*CONNECTION_ERRORS, WireError)
_RECONNECT_DELAY_S = 0.1
_READ_TIMEOUT_S = 1.0


class ControlStream:
    """Keep a stream to the leader and deliver its messages to the entry.

    Control processes are tried in turn; one that does not lead names the
    leader, which is tried next.
    """

    def __init__(
        self,
        identity: Identity,
        controls: Sequence[ControlAddress],
        access: Access,
        put_event: Callable[[entry.EntryEvent], None],
    ) -> None:
        self.own_address = Address('', 0)
        self._identity = identity
        self._controls = list(controls)
        self._access = access
        self._put_event = put_event
        self._outbox: Outbox | None = None
        self._is_outage_logged = False

    def send(self, message: EntryMessage) -> None:
        """Send a message, or drop it while disconnected."""
        if self._outbox is not None:
            self._outbox.put(ENTRY_MESSAGES.pack(message))

    async def run(self) -> None:
        """Keep the stream open until cancelled."""
        while True:
            address = self._controls[0]
            try:
                await self._run_stream(address)
            except _STREAM_ERRORS as error:
                self._log_outage(address, error)
            self._outbox = None
            self._put_event(entry.ControlDisconnected())
            self._controls.append(self._controls.pop(0))
            await asyncio.sleep(_RECONNECT_DELAY_S)

    def _log_outage(self, address: ControlAddress, error: Exception) -> None:
        # Warns once per outage, not at each attempt to reconnect.
        log = _log.debug if self._is_outage_logged else _log.warning
        log('No stream to control process {}: {}.', address.name, error)
        self._is_outage_logged = True

    async def _run_stream(self, address: ControlAddress) -> None:
        async with open_websocket(
            address.peer, '/entry', self._access
        ) as websocket:
            await websocket.send(
                encode_frame(self._identity, dump_plain(self.own_address))
            )
            outbox = Outbox(websocket.send, self._identity)
            send_task = asyncio.create_task(outbox.run())
            self._outbox = outbox
            try:
                await self._receive_messages(websocket)
            finally:
                send_task.cancel()

    async def _receive_messages(self, websocket: ClientConnection) -> None:
        while True:
            async with asyncio.timeout(_READ_TIMEOUT_S):
                frame = await websocket.recv()
            envelope = decode_frame_from(
                websocket,
                frame,
                self._identity,
                self._access,
            )
            message = CONTROL_MESSAGES.unpack(envelope.body)
            if isinstance(message, NotLeader):
                self._prioritize_leader(message.leader)
                return
            self._is_outage_logged = False
            self._put_event(entry.ControlReceived(message))

    def _prioritize_leader(self, leader: str) -> None:
        # ``run`` rotates the list by one after each stream, so the second
        # process is connected to next.
        for one in self._controls[1:]:
            if one.name == leader:
                self._controls.remove(one)
                self._controls.insert(1, one)
