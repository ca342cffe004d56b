"""An entry's stream to the leader, wherever that is."""

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
_RECONNECT_S = 0.1
_SILENCE_S = 1.0


class ControlStream:
    """Keep a stream to the leader, and pass on what it says."""

    def __init__(
        self,
        identity: Identity,
        controls: Sequence[ControlAddress],
        access: Access,
        take: Callable[[entry.EntryEvent], None],
    ) -> None:
        self.own_address = Address('', 0)
        self._identity = identity
        self._controls = list(controls)
        self._access = access
        self._take = take
        self._outbox: Outbox | None = None
        self._is_reported = False

    def send(self, message: EntryMessage) -> None:
        """Send a message, or drop it where there is no stream."""
        if self._outbox is not None:
            self._outbox.put(ENTRY_MESSAGES.pack(message))

    async def run(self) -> None:
        """Hold the stream until cancelled."""
        while True:
            address = self._controls[0]
            try:
                await self._read_control(address)
            except _STREAM_ERRORS as error:
                self._report(address, error)
            self._outbox = None
            self._take(entry.ControlDisconnected())
            self._controls.append(self._controls.pop(0))
            await asyncio.sleep(_RECONNECT_S)

    def _report(self, address: ControlAddress, error: Exception) -> None:
        # One line for each outage: it is tried again ten times a second.
        log = _log.debug if self._is_reported else _log.warning
        log('No stream to {}: {}.', address.name, error)
        self._is_reported = True

    async def _read_control(self, address: ControlAddress) -> None:
        async with open_websocket(address.peer, '/entry', self._access) as link:
            await link.send(
                encode_frame(self._identity, dump_plain(self.own_address))
            )
            outbox = Outbox(link.send, self._identity)
            sending = asyncio.create_task(outbox.run())
            self._outbox = outbox
            try:
                await self._take_messages(link)
            finally:
                sending.cancel()

    async def _take_messages(self, link: ClientConnection) -> None:
        while True:
            async with asyncio.timeout(_SILENCE_S):
                frame = await link.recv()
            envelope = decode_frame_from(
                link,
                frame,
                self._identity,
                self._access,
            )
            message = CONTROL_MESSAGES.unpack(envelope.body)
            if isinstance(message, NotLeader):
                self._prefer(message.leader)
                return
            self._is_reported = False
            self._take(entry.ControlReceived(message))

    def _prefer(self, leader: str) -> None:
        # The list is turned by one after each stream, so the leader is put
        # second to be first next time.
        for one in self._controls[1:]:
            if one.name == leader:
                self._controls.remove(one)
                self._controls.insert(1, one)
