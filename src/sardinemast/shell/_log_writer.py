"""Writer of a replica's log in a separate thread."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from sardinemast.storage import LogStore


class LogWriter:
    """Run the writes of a log store in order in a thread.

    A sync takes milliseconds and would block the event loop.
    """

    def __init__(self, store: LogStore) -> None:
        self.store = store
        self._executor = ThreadPoolExecutor(1)

    def write(
        self,
        action: Callable[..., None],
        *records: Any,
    ) -> asyncio.Future[None]:
        """Start a write and return a future that is done once it is synced."""
        loop = asyncio.get_running_loop()
        return loop.run_in_executor(self._executor, action, *records)

    def close(self) -> None:
        """Wait for a pending write, then close the file.

        Otherwise the write could hit another file that reuses the descriptor.
        """
        self._executor.shutdown()
        self.store.close()
