"""Relays between control processes that simulate network partitions."""

import asyncio
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from itertools import permutations

from builders.processes import Fleet
from sardinemast.standins.relay import Relay


class Relays:
    """Manage a relay for each ordered pair of control processes."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._relays: dict[tuple[str, str], Relay] = {}
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()

    def route_through_relays(self, fleet: Fleet) -> None:
        """Route all streams between control processes through relays."""
        for pair in permutations(fleet.control_names, 2):
            relay = Relay('127.0.0.1', fleet.get_peer_port(pair[1]))
            self._relays[pair] = relay
            fleet.relay_ports[pair] = asyncio.run_coroutine_threadsafe(
                relay.listen(),
                self._loop,
            ).result()

    def cut_from(self, name: str, *, is_cut: bool) -> None:
        """Drop all bytes that a process sends, or forward them again."""
        for (sender, receiver), relay in self._relays.items():
            if sender == name:
                relay.drops_forward = is_cut
            elif receiver == name:
                relay.drops_back = is_cut

    def cut_to(self, name: str, *, is_cut: bool) -> None:
        """Drop all bytes sent to a process, or forward them again."""
        for (sender, receiver), relay in self._relays.items():
            if receiver == name:
                relay.drops_forward = is_cut
            elif sender == name:
                relay.drops_back = is_cut

    def stop(self) -> None:
        """Stop the relays."""
        asyncio.run_coroutine_threadsafe(_cancel_all(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()


@contextmanager
def run_relays() -> Iterator[Relays]:
    """Run relays and stop them on exit."""
    relays = Relays()
    try:
        yield relays
    finally:
        relays.stop()


async def _cancel_all() -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
