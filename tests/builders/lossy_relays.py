"""Relay that silently drops connections, as a stateful firewall may."""

import asyncio
import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress

_CHUNK_BYTES = 65_536


class Relay:
    """Forward bytes until told to drop the connections that are open."""

    def __init__(self, port: int) -> None:
        self.port = 0
        self.count = 0
        self._upstream_port = port
        self._forgotten = 0
        self._loop = asyncio.new_event_loop()
        self._is_listening = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start a thread that listens on a free port."""
        self._thread.start()
        self._is_listening.wait()

    def stop(self) -> None:
        """Stop the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def forget(self) -> None:
        """Discard all bytes on open connections; new connections work."""
        self._forgotten = self.count

    def _run(self) -> None:
        server = self._loop.run_until_complete(
            asyncio.start_server(self._accept, '127.0.0.1', 0)
        )
        self.port = server.sockets[0].getsockname()[1]
        self._is_listening.set()
        self._loop.run_forever()

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.count += 1
        number = self.count
        there = await asyncio.open_connection('127.0.0.1', self._upstream_port)
        await asyncio.gather(
            self._pass(reader, there[1], number),
            self._pass(there[0], writer, number),
        )

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> None:
        with suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                if number > self._forgotten:
                    writer.write(chunk)
        if number > self._forgotten:
            writer.close()


@contextmanager
def run_relay(port: int) -> Iterator[Relay]:
    """Run a relay to a port."""
    relay = Relay(port)
    relay.start()
    try:
        yield relay
    finally:
        relay.stop()
