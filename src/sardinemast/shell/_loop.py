"""Event loop of a core: one event at a time, outputs in order."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

EventT = TypeVar('EventT')
OutputT = TypeVar('OutputT')

TICK_INTERVAL_S = 0.02


class CoreLoop(Generic[EventT, OutputT]):
    """Feed events to a core and execute its outputs in order.

    ``put`` processes an event synchronously unless another one is being
    processed, which saves two iterations of the event loop per request.

    ``execute`` returns a future for an output that completes later, such as
    a write to disk. Until the future is done, no further output is executed
    and no event is processed, so that nothing is sent before it is durable.
    """

    def __init__(
        self,
        step: Callable[[EventT, float], list[OutputT]],
        execute: Callable[[OutputT], asyncio.Future[None] | None],
        make_tick: Callable[[], EventT],
    ) -> None:
        self._step = step
        self._execute = execute
        self._make_tick = make_tick
        self._inbox: deque[EventT] = deque()
        self._outputs: deque[OutputT] = deque()
        self._is_processing = False
        self._is_running = False
        self._failure: asyncio.Future[None] | None = None

    def put(self, event: EventT) -> None:
        """Queue an event, and process it now unless the loop is blocked."""
        self._inbox.append(event)
        if self._is_running and not self._is_processing:
            self._process_inbox()

    async def run(self) -> None:
        """Run until cancelled, or raise the first error of the core."""
        self._failure = asyncio.get_running_loop().create_future()
        self._is_running = True
        tick_task = asyncio.create_task(self._tick_periodically())
        try:
            await self._failure
        finally:
            self._is_running = False
            tick_task.cancel()

    @property
    def is_blocked(self) -> bool:
        """Check whether outputs of the core still have to be executed."""
        return self._is_running and self._is_processing

    def _process_inbox(self) -> None:
        self._is_processing = True
        try:
            pending = self._process_until_blocked()
        except Exception as error:
            self._fail(error)
            return
        if pending is None:
            self._is_processing = False
        else:
            pending.add_done_callback(self._resume)

    def _process_until_blocked(self) -> asyncio.Future[None] | None:
        while self._outputs or self._inbox:
            if not self._outputs:
                event = self._inbox.popleft()
                self._outputs.extend(self._step(event, time.monotonic()))
                continue
            pending = self._execute(self._outputs.popleft())
            if pending is not None:
                return pending
        return None

    def _resume(self, completed: asyncio.Future[None]) -> None:
        if not self._is_running or completed.cancelled():
            return
        error = completed.exception()
        if error is None:
            self._process_inbox()
        else:
            self._fail(error)

    def _fail(self, error: BaseException) -> None:
        # The error is raised by ``run`` and not by ``put``. Processing stops
        # because the remaining outputs of the failed step are lost.
        self._is_running = False
        if self._failure is not None and not self._failure.done():
            self._failure.set_exception(error)

    async def _tick_periodically(self) -> None:
        while True:
            # Ticks are skipped while the loop is blocked, or they would pile
            # up behind a slow disk.
            if not self._is_processing:
                self.put(self._make_tick())
            await asyncio.sleep(TICK_INTERVAL_S)
