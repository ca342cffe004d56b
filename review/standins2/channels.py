"""A proxy whose open channels can go silent, while new ones work."""

import asyncio
import threading


class Channels:
    """Forward connections from public addresses to hidden ones."""

    def __init__(self, record):
        self.record = record
        self._loop = asyncio.new_event_loop()
        self._silent = set()
        self._open = set()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def forward(self, public, hidden):
        """Forward from (host, port) to (host, port)."""
        asyncio.run_coroutine_threadsafe(self._listen(public, hidden), self._loop).result(5)

    def silence(self):
        """Let all channels that are open now go silent for good."""

        def mark():
            self._silent.update(self._open)
            return len(self._open)

        done = threading.Event()
        found = []
        self._loop.call_soon_threadsafe(lambda: (found.append(mark()), done.set()))
        done.wait(5)
        self.record('network', f'{found[0]} open channels go silent')

    async def _listen(self, public, hidden):
        async def accept(reader, writer):
            await self._serve(reader, writer, hidden)

        await asyncio.start_server(accept, *public, backlog=128)

    async def _serve(self, reader, writer, hidden):
        try:
            far_reader, far_writer = await asyncio.open_connection(*hidden)
        except OSError:
            writer.transport.abort()
            return
        channel = object()
        self._open.add(channel)
        try:
            await asyncio.gather(
                self._copy(channel, reader, far_writer),
                self._copy(channel, far_reader, writer),
            )
        except OSError:
            pass
        finally:
            self._open.discard(channel)
            self._silent.discard(channel)
            writer.transport.abort()
            far_writer.transport.abort()

    async def _copy(self, channel, reader, writer):
        while True:
            data = await reader.read(65536)
            if channel in self._silent:
                if data:
                    continue
                # The end of a silent channel reaches nobody either.
                await asyncio.sleep(3600)
            if not data:
                raise OSError('closed')
            writer.write(data)
            await writer.drain()
