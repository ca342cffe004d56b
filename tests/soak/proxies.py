"""Proxies on loopback that harm the connections between processes.

Each process that others dial listens at an address of its own behind one, and
dials from there, so that a fault may be between two processes only, and in one
direction.
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
    """Name who dials whom; an empty name is anybody of the stand-ins."""

    sender: str
    receiver: str


class Harm:
    """Hold what happens to the bytes between two processes.

    Bytes are held while anything holds them, and delivered after that, as
    after a cut that the network gets over.
    """

    def __init__(self) -> None:
        self.delay_s: float = 0
        self.forward_holds = 0
        self.back_holds = 0

    def hold(self, *, forward: int = 0, back: int = 0) -> None:
        """Begin to hold a direction with 1, and end it with -1."""
        self.forward_holds += forward
        self.back_holds += back


class _Connection:
    """Hold the two ends of one relayed connection."""

    def __init__(self, pair: Pair, writers: list[asyncio.StreamWriter]) -> None:
        self.pair = pair
        self.writers = writers
        self.is_forgotten = False

    def reset(self) -> None:
        """Break both ends off at once."""
        for writer in self.writers:
            own = writer.get_extra_info('socket')
            if own is not None:
                with suppress(OSError):
                    own.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                    )
            writer.transport.abort()


class Proxies:
    """Relay connections, and harm those that a fault names."""

    def __init__(self, names: Mapping[str, str]) -> None:
        self._names = names
        self._harms: dict[Pair, Harm] = {}
        self._changed = asyncio.Condition()
        self._open: set[_Connection] = set()
        self._servers: list[asyncio.Server] = []

    async def listen(
        self,
        receiver: str,
        outside: tuple[str, int],
        inside: tuple[str, int],
    ) -> None:
        """Take connections to a process at the address that others dial."""

        async def accept(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            host = writer.get_extra_info('peername')[0]
            pair = Pair(self._names.get(host, ''), receiver)
            await self._relay(pair, reader, writer, inside)

        self._servers.append(await asyncio.start_server(accept, *outside))

    def get_harm(self, pair: Pair) -> Harm:
        """Give what happens between two processes, to be changed."""
        return self._harms.setdefault(pair, Harm())

    async def apply(self) -> None:
        """Let changed harms work."""
        async with self._changed:
            self._changed.notify_all()

    def reset(self, name: str) -> None:
        """Reset all connections from and to a process."""
        for connection in tuple(self._open):
            if name in connection.pair:
                connection.reset()

    def forget(self, name: str) -> None:
        """Let all open connections of a process go silent for good."""
        for connection in self._open:
            if name in connection.pair:
                connection.is_forgotten = True

    async def close(self) -> None:
        """Take no more connections, and break the open ones off."""
        for server in self._servers:
            server.close()
        for harm in self._harms.values():
            harm.hold(forward=-harm.forward_holds, back=-harm.back_holds)
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
            there = await asyncio.open_connection(*inside)
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection(pair, [writer, there[1]])
        self._open.add(connection)
        try:
            await asyncio.gather(
                self._pass(connection, reader, there[1], is_back=False),
                self._pass(connection, there[0], writer, is_back=True),
            )
        finally:
            self._open.discard(connection)

    async def _pass(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_back: bool,
    ) -> None:
        harm = self.get_harm(connection.pair)
        with suppress(OSError):
            while block := await reader.read(_BLOCK_BYTES):
                await asyncio.sleep(harm.delay_s)
                await self._wait_while_held(harm, is_back=is_back)
                if not connection.is_forgotten:
                    writer.write(block)
                    await writer.drain()
        await self._wait_while_held(harm, is_back=is_back)
        if not connection.is_forgotten:
            writer.close()

    async def _wait_while_held(self, harm: Harm, *, is_back: bool) -> None:
        def is_free() -> bool:
            return harm.back_holds == 0 if is_back else harm.forward_holds == 0

        if not is_free():
            async with self._changed:
                await self._changed.wait_for(is_free)
