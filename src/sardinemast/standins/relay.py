"""TCP relay that can drop the data of one direction or both.

The connections stay open while data is dropped, as when a firewall loses
packets.
"""

import asyncio
from contextlib import suppress

_CHUNK_BYTES = 65536


class Relay:
    """Forward TCP connections from a local port to a target."""

    def __init__(self, target_host: str, target_port: int) -> None:
        self._target = (target_host, target_port)
        self._server: asyncio.Server | None = None
        self.drops_forward = False
        self.drops_back = False

    async def listen(self, port: int = 0, host: str = '127.0.0.1') -> int:
        """Listen on a port, any free one if 0, and return its number."""
        self._server = await asyncio.start_server(
            self._handle_connection, host, port
        )
        address = self._server.sockets[0].getsockname()
        return int(address[1])

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _handle_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self._target,
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._copy(reader, target_writer, is_forward=True),
            self._copy(target_reader, writer, is_forward=False),
        )

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_forward: bool,
    ) -> None:
        with suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                is_dropped = (
                    self.drops_forward if is_forward else self.drops_back
                )
                if not is_dropped:
                    writer.write(chunk)
                    await writer.drain()
        writer.close()
