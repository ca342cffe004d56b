"""Streams between entries that replicate idempotency keys."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager, suppress
from functools import singledispatchmethod

from logbook import Logger
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from sardinemast import idempotency
from sardinemast.conf import Address
from sardinemast.fleet import EntryProcess
from sardinemast.shell._identity import Identity
from sardinemast.shell._loop import CoreLoop
from sardinemast.shell._security import Access
from sardinemast.shell._websockets import (
    WEBSOCKET_OPTIONS,
    PeerSender,
    decode_frame_from,
)
from sardinemast.wire import WireError

_log = Logger('keys')

DecisionCallback = Callable[[idempotency.ClaimDecided], None]


class EntryPeers:
    """Run the idempotency core and keep streams to the other entries."""

    def __init__(self, identity: Identity, access: Access) -> None:
        own = idempotency.Member(identity.name, identity.incarnation)
        self._core = idempotency.IdempotencyCore(own, time.monotonic())
        self.loop = CoreLoop[
            idempotency.IdempotencyEvent,
            idempotency.IdempotencyOutput,
        ](self._core.step, self._execute, idempotency.Tick)
        self._identity = identity
        self._access = access
        self._epoch = 0
        self._addresses: dict[str, Address] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._senders: dict[str, PeerSender] = {}
        self._callbacks: dict[int, DecisionCallback] = {}

    def holds_keys(self) -> bool:
        """Check whether this entry has received the keys of other holders."""
        return self._core.holds_keys(time.monotonic())

    @asynccontextmanager
    async def listen(self, host: str) -> AsyncIterator[Address]:
        """Listen for other entries, and yield the address."""
        async with serve(
            self._handle_connection,
            host,
            0,
            ssl=self._access.server_context,
            **WEBSOCKET_OPTIONS,
        ) as server:
            port = next(iter(server.sockets)).getsockname()[1]
            try:
                yield Address(host, port)
            finally:
                self._close()

    def claim(
        self,
        claim_request: idempotency.ClaimRequested,
        on_decision: DecisionCallback,
    ) -> None:
        """Claim an idempotency key and report the decision to a callback."""
        self._callbacks[claim_request.request_id] = on_decision
        self.loop.put(claim_request)

    def update_entries(self, entries: Iterable[EntryProcess]) -> None:
        """Update the members and streams from the replicated state."""
        known = tuple(entries)
        epoch = max((one.log_index for one in known), default=0)
        if epoch <= self._epoch:
            return
        self._epoch = epoch
        for other in known:
            if other.name != self._identity.name:
                self._connect(other.name, Address(other.host, other.port))
        members = [
            idempotency.Member(one.name, one.incarnation) for one in known
        ]
        view = idempotency.View(epoch, tuple(members))
        self.loop.put(idempotency.ViewChanged(view))

    def _close(self) -> None:
        for task in self._tasks.values():
            task.cancel()

    def _connect(self, name: str, address: Address) -> None:
        if self._addresses.get(name) == address:
            return
        previous = self._tasks.get(name)
        if previous is not None:
            previous.cancel()
        sender = PeerSender(self._identity, address, self._access)
        self._addresses[name] = address
        self._senders[name] = sender
        self._tasks[name] = asyncio.create_task(sender.run())

    async def _handle_connection(self, websocket: ServerConnection) -> None:
        with suppress(ConnectionClosed, WireError):
            async for frame in websocket:
                envelope = decode_frame_from(
                    websocket,
                    frame,
                    self._identity,
                    self._access,
                )
                sender = idempotency.Member(
                    envelope.sender, envelope.incarnation
                )
                message = idempotency.PEER_MESSAGES.unpack(envelope.body)
                self.loop.put(idempotency.PeerReceived(sender, message))

    @singledispatchmethod
    def _execute(self, output: idempotency.IdempotencyOutput) -> None:
        raise TypeError(output)

    @_execute.register
    def _execute_send(self, output: idempotency.SendToPeer) -> None:
        sender = self._senders.get(output.entry)
        if sender is not None:
            sender.send(idempotency.PEER_MESSAGES.pack(output.message))

    @_execute.register
    def _execute_decision(self, output: idempotency.ClaimDecided) -> None:
        self._identity.recorder.record(
            'key decided',
            request=output.request_id,
            verdict=str(output.verdict),
        )
        self._callbacks.pop(output.request_id)(output)
