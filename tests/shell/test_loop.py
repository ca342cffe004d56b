"""Event loop of a core whose outputs complete later."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from sardinemast.shell._loop import CoreLoop

_TICK = 'tick'


class _Disk:
    """Record executed outputs; outputs named "write" wait for a sync."""

    def __init__(self) -> None:
        self.done: list[str] = []
        self.syncs: list[asyncio.Future[None]] = []

    def execute(self, output: str) -> asyncio.Future[None] | None:
        self.done.append(output)
        if not output.startswith('write'):
            return None
        sync = asyncio.get_running_loop().create_future()
        self.syncs.append(sync)
        return sync


def _step(event: str, now_s: float) -> list[str]:
    return [] if event == _TICK else [f'write {event}', f'say {event}']


def _run(test: Callable[[_Disk, CoreLoop[str, str]], Awaitable[None]]) -> None:
    async def run() -> None:
        disk = _Disk()
        loop = CoreLoop[str, str](_step, disk.execute, lambda: _TICK)
        running = asyncio.create_task(loop.run())
        await asyncio.sleep(0)
        try:
            await test(disk, loop)
        finally:
            running.cancel()

    asyncio.run(run())


def test_output_after_a_write_waits_for_its_sync() -> None:
    """Guard against confirming a change before it is durable."""

    async def test(disk: _Disk, loop: CoreLoop[str, str]) -> None:
        loop.put('first')
        loop.put('second')
        await asyncio.sleep(0.05)
        assert loop.is_blocked
        assert disk.done == ['write first']
        disk.syncs[0].set_result(None)
        await asyncio.sleep(0)
        assert disk.done == ['write first', 'say first', 'write second']
        disk.syncs[1].set_result(None)
        await asyncio.sleep(0)
        assert disk.done[-1] == 'say second'
        assert not loop.is_blocked

    _run(test)


def test_failed_write_ends_the_run() -> None:
    """Guard against executing outputs after a failed write."""

    async def run() -> None:
        disk = _Disk()
        loop = CoreLoop[str, str](_step, disk.execute, lambda: _TICK)
        running = asyncio.create_task(loop.run())
        await asyncio.sleep(0)
        loop.put('first')
        disk.syncs[0].set_exception(OSError('full'))
        with pytest.raises(OSError, match='full'):
            await running
        loop.put('second')
        assert disk.done == ['write first']

    asyncio.run(run())
