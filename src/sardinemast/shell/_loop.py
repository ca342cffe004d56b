"""Owner of a core: one event at a time, outputs in order."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

EventT = TypeVar('EventT')
OutputT = TypeVar('OutputT')

TICK_S = 0.02


class CoreLoop(Generic[EventT, OutputT]):
    """Feed a core from an inbox and carry out what it says.

    An event is taken at once where none is under way. A queue between two
    tasks would cost each request two more turns of the event loop.
    """

    def __init__(
        self,
        step: Callable[[EventT, float], list[OutputT]],
        execute: Callable[[OutputT], None],
        make_tick: Callable[[], EventT],
    ) -> None:
        self._step = step
        self._execute = execute
        self._make_tick = make_tick
        self._inbox: deque[EventT] = deque()
        self._is_stepping = False
        self._is_running = False
        self._failure: asyncio.Future[None] | None = None

    def put(self, event: EventT) -> None:
        """Hand an event to the core."""
        self._inbox.append(event)
        if self._is_running and not self._is_stepping:
            self._take_all()

    async def run(self) -> None:
        """Run until cancelled; an error of the core ends the process."""
        self._failure = asyncio.get_running_loop().create_future()
        self._is_running = True
        ticking = asyncio.create_task(self._tick_steadily())
        try:
            await self._failure
        finally:
            self._is_running = False
            ticking.cancel()

    def _take_all(self) -> None:
        self._is_stepping = True
        try:
            while self._inbox:
                self._take(self._inbox.popleft())
        except Exception as error:
            self._fail(error)
        finally:
            self._is_stepping = False

    def _take(self, event: EventT) -> None:
        for output in self._step(event, time.monotonic()):
            self._execute(output)

    def _fail(self, error: Exception) -> None:
        # Whoever put the event is not to blame and goes on; nothing is
        # stepped any more, because outputs of the failed step are lost.
        self._is_running = False
        if self._failure is not None and not self._failure.done():
            self._failure.set_exception(error)

    async def _tick_steadily(self) -> None:
        while True:
            self.put(self._make_tick())
            await asyncio.sleep(TICK_S)
