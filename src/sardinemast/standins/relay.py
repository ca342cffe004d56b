"""Relay TCP streams, and drop one direction or both on request.

A dropped direction stays open and silent, as when a firewall or a switch
loses packets: neither side is told.
"""

import asyncio
from contextlib import suppress

_BLOCK_BYTES = 65536


class Relay:
    """Pass bytes between a port of ours and a target."""

    def __init__(self, target_host: str, target_port: int) -> None:
        self._target = (target_host, target_port)
        self._server: asyncio.Server | None = None
        self.drops_forward = False
        self.drops_back = False

    async def listen(self, port: int = 0, host: str = '127.0.0.1') -> int:
        """Open the port and give its number."""
        self._server = await asyncio.start_server(self._relay, host, port)
        address = self._server.sockets[0].getsockname()
        return int(address[1])

    async def close(self) -> None:
        """Close the port."""
        if self._server is not None:
            self._server.close()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            back_reader, back_writer = await asyncio.open_connection(
                *self._target,
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._pump(reader, back_writer, is_forward=True),
            self._pump(back_reader, writer, is_forward=False),
        )

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_forward: bool,
    ) -> None:
        with suppress(OSError):
            while block := await reader.read(_BLOCK_BYTES):
                is_dropped = (
                    self.drops_forward if is_forward else self.drops_back
                )
                if not is_dropped:
                    writer.write(block)
                    await writer.drain()
        writer.close()
