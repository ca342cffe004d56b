"""Task that owns a core: one event at a time, outputs in order."""

import asyncio
import time
from collections.abc import Callable
from typing import Generic, TypeVar

EventT = TypeVar('EventT')
OutputT = TypeVar('OutputT')

TICK_S = 0.02


class CoreLoop(Generic[EventT, OutputT]):
    """Feed a core from an inbox and carry out what it says."""

    def __init__(
        self,
        step: Callable[[EventT, float], list[OutputT]],
        execute: Callable[[OutputT], None],
        tick: EventT,
    ) -> None:
        self._step = step
        self._execute = execute
        self._tick = tick
        self._inbox: asyncio.Queue[EventT] = asyncio.Queue()

    def put(self, event: EventT) -> None:
        """Hand an event to the core."""
        self._inbox.put_nowait(event)

    async def run(self) -> None:
        """Run until cancelled; an error of the core ends the process."""
        ticking = asyncio.create_task(self._tick_steadily())
        try:
            while True:
                event = await self._inbox.get()
                for output in self._step(event, time.monotonic()):
                    self._execute(output)
        finally:
            ticking.cancel()

    async def _tick_steadily(self) -> None:
        while True:
            self.put(self._tick)
            await asyncio.sleep(TICK_S)
