"""Loopback proxies that delay, hold, reset or drop bytes between processes.

Each process binds its own address, which identifies it as a sender. A fault
can therefore affect two processes only, and one direction only.
"""

import asyncio
import socket
import struct
from collections.abc import Mapping
from contextlib import suppress
from typing import NamedTuple

_BLOCK_BYTES = 65_536
_POLL_S = 0.01
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Pair(NamedTuple):
    """Identify who dials whom; an unknown sender has an empty name."""

    sender: str
    receiver: str


class LinkFaults:
    """Store the faults on connections between two processes.

    Held bytes are delivered after the last hold, as TCP does after a partition.
    """

    def __init__(self) -> None:
        self.delay_s: float = 0
        self.forward_holds = 0
        self.back_holds = 0

    def hold(self, *, forward: int = 0, back: int = 0) -> None:
        """Add 1 to the holds of a direction to begin one, or -1 to end it."""
        self.forward_holds += forward
        self.back_holds += back


class _Connection:
    """Store the two ends of a relayed connection."""

    def __init__(self, pair: Pair, writers: list[asyncio.StreamWriter]) -> None:
        self.pair = pair
        self.writers = writers
        self.is_blackholed = False

    def reset(self) -> None:
        """Reset both ends."""
        for writer in self.writers:
            own = writer.get_extra_info('socket')
            if own is not None:
                with suppress(OSError):
                    own.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                    )
            writer.transport.abort()


class Proxies:
    """Relay connections, and apply faults to them."""

    def __init__(self, names: Mapping[str, str]) -> None:
        self._names = names
        self._links: dict[Pair, LinkFaults] = {}
        self._changed = asyncio.Condition()
        self._open: set[_Connection] = set()
        self._servers: list[asyncio.Server] = []

    async def listen(
        self,
        receiver: str,
        outside: tuple[str, int],
        inside: tuple[str, int],
    ) -> None:
        """Accept connections at an outside address, and relay them inside."""

        async def accept(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            host = writer.get_extra_info('peername')[0]
            pair = Pair(self._names.get(host, ''), receiver)
            await self._relay(pair, reader, writer, inside)

        self._servers.append(await asyncio.start_server(accept, *outside))

    def get_link(self, pair: Pair) -> LinkFaults:
        """Return the mutable fault state between two processes."""
        return self._links.setdefault(pair, LinkFaults())

    async def apply(self) -> None:
        """Wake the relays, so that they deliver what is no longer held."""
        async with self._changed:
            self._changed.notify_all()

    def reset(self, name: str) -> None:
        """Reset all connections from and to a process."""
        for connection in tuple(self._open):
            if name in connection.pair:
                connection.reset()

    def blackhole(self, name: str) -> None:
        """Drop all further bytes on the open connections of a process."""
        for connection in self._open:
            if name in connection.pair:
                connection.is_blackholed = True

    async def close(self) -> None:
        """Stop listening, and reset the open connections."""
        for server in self._servers:
            server.close()
        for link in self._links.values():
            link.hold(forward=-link.forward_holds, back=-link.back_holds)
        await self.apply()
        for connection in tuple(self._open):
            connection.reset()
        while self._open:
            await asyncio.sleep(_POLL_S)

    async def _relay(
        self,
        pair: Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        inside: tuple[str, int],
    ) -> None:
        try:
            target_streams = await asyncio.open_connection(*inside)
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection(pair, [writer, target_streams[1]])
        self._open.add(connection)
        try:
            await asyncio.gather(
                self._copy_bytes(
                    connection, reader, target_streams[1], is_back=False
                ),
                self._copy_bytes(
                    connection, target_streams[0], writer, is_back=True
                ),
            )
        finally:
            self._open.discard(connection)

    async def _copy_bytes(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_back: bool,
    ) -> None:
        link = self.get_link(connection.pair)
        with suppress(OSError):
            while block := await reader.read(_BLOCK_BYTES):
                await asyncio.sleep(link.delay_s)
                await self._wait_until_released(link, is_back=is_back)
                if not connection.is_blackholed:
                    writer.write(block)
                    await writer.drain()
        await self._wait_until_released(link, is_back=is_back)
        if not connection.is_blackholed:
            writer.close()

    async def _wait_until_released(
        self, link: LinkFaults, *, is_back: bool
    ) -> None:
        def is_free() -> bool:
            return link.back_holds == 0 if is_back else link.forward_holds == 0

        if not is_free():
            async with self._changed:
                await self._changed.wait_for(is_free)
