"""Draw overlapping faults from a seed, and inject them into a site."""

import asyncio
import shutil
import signal
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import Random
from types import MappingProxyType
from typing import NamedTuple

from soak.ledger import Ledger
from soak.proxies import LinkFaults, Pair
from soak.reboots import RESTARTS, Restart, make_times
from soak.site import Site
from soak.traffic import TEAMS, Traffic
from soak.workers import LATE_S

_GAP_S = (0.1, 2.0)
# A worker that restarts is cut off for long, and the others must have room.
_RESTART_GAP_S = (0.3, 4.0)
_DURATION_S = (0.3, 4.0)
# A replica that lost its disk must catch up before the next one loses its own.
_DISK_LOSS_PAUSE_S = 9.0
_FULL_DISK_BYTES = 1
_POLL_S = 0.01
_FINAL_KIND = 'disks.lose'
_FINAL_PAUSE_S = 0.5
_ACKNOWLEDGEMENT_TIMEOUT_S = 20.0
_ACKNOWLEDGEMENT_POLL_S = 0.001
_NO_LIMIT = -1
_PARTIAL_RECORD = b'\xa5\x01torn'


class Fault(NamedTuple):
    """Describe a fault: its kind, start, duration and target number."""

    kind: str
    at_s: float
    duration_s: float
    target: int


def draw_faults(seed: int, length_s: float) -> tuple[Fault, ...]:
    """Return the faults of a run.

    Kinds added later are drawn by a generator of their own, so that a seed
    keeps its other faults.
    """
    return (
        *_draw_kinds(tuple(KINDS), Random(seed), length_s),
        *_draw_kinds(tuple(LOAD_KINDS), Random(f'load-{seed}'), length_s),
        *_draw_kinds(
            tuple(RESTART_KINDS),
            Random(f'restarts-{seed}'),
            length_s,
            _RESTART_GAP_S,
        ),
    )


def _draw_kinds(
    kinds: tuple[str, ...],
    random: Random,
    length_s: float,
    gap_s: tuple[float, float] = _GAP_S,
) -> list[Fault]:
    faults = []
    at_s = random.uniform(*gap_s)
    while at_s < length_s:
        faults.append(
            Fault(
                random.choice(kinds),
                round(at_s, 2),
                round(random.uniform(*_DURATION_S), 2),
                random.randrange(1000),
            ),
        )
        at_s += random.uniform(*gap_s)
    return faults


class Injector:
    """Inject faults into a site, each in its own asyncio task."""

    def __init__(
        self,
        site: Site,
        traffic: Traffic,
        ledger: Ledger,
        log_event: Callable[..., None],
    ):
        self.site = site
        self.traffic = traffic
        self._ledger = ledger
        self._log_event = log_event
        self._next_disk_loss_s = float('-inf')
        # Faults that signal or restart the same process run one at a time.
        self._locks = {name: asyncio.Lock() for name in site.names}

    async def run(self, faults: tuple[Fault, ...]) -> None:
        """Inject all faults, and return when the last one has ended."""
        async with asyncio.TaskGroup() as tasks:
            for fault in faults:
                tasks.create_task(self._run_one(fault))
        await self.lose_most_disks()

    async def lose_most_disks(self) -> None:
        """Kill all processes at once, and empty as many disks as allowed.

        This happens right after an acknowledgement, of which the processes
        that keep their disks may know least.
        """
        pause_s = max(self._next_disk_loss_s - time.monotonic(), 0)
        await asyncio.sleep(pause_s)
        await self._wait_for_acknowledgement()
        self.site.processes.kill(self.site.names)
        self._log_event('fault', kind=_FINAL_KIND)
        self._ledger.note_fault(time.monotonic(), is_begun=True)
        for name in self.site.draw_lost_controls():
            shutil.rmtree(self.site.get_folder(name))
        await asyncio.sleep(_FINAL_PAUSE_S)
        for restarted in self.site.names:
            self.site.start(restarted)
        self._ledger.note_fault(time.monotonic(), is_begun=False)
        self._log_event('fault.over', kind=_FINAL_KIND)

    def pick(self, fault: Fault, names: tuple[str, ...]) -> str:
        """Return the process that a fault's target number selects."""
        return names[fault.target % len(names)]

    async def kill(self, fault: Fault) -> None:
        """Send SIGKILL to a process, and restart it after the duration."""
        name = self.pick(fault, self.site.names)
        await self._restart(name, signal.SIGKILL, fault.duration_s)

    async def stop(self, fault: Fault) -> None:
        """Send SIGTERM to a process, and restart it after the duration."""
        name = self.pick(fault, self.site.names)
        await self._restart(name, signal.SIGTERM, fault.duration_s)

    async def kill_controls(self, fault: Fault) -> None:
        """Kill all control processes at once, and restart them."""
        async with asyncio.TaskGroup() as tasks:
            for name in self.site.controls:
                tasks.create_task(self._restart(name, signal.SIGKILL, 0.5))

    async def freeze(self, fault: Fault) -> None:
        """Suspend a process with SIGSTOP, and resume it after the duration."""
        name = self.pick(fault, self.site.names)
        async with self._locks[name]:
            self.site.processes.send_signal(name, signal.SIGSTOP)
            await asyncio.sleep(fault.duration_s)
            self.site.processes.send_signal(name, signal.SIGCONT)

    async def reload(self, fault: Fault) -> None:
        """Send SIGHUP to a process three times, so that it reloads settings."""
        name = self.pick(fault, self.site.names)
        async with self._locks[name]:
            # Until the process has installed its handler, SIGHUP would end it.
            while not self.site.processes.handles_signal(name, signal.SIGHUP):
                await asyncio.sleep(_POLL_S)
            for _ in range(3):
                self.site.processes.send_signal(name, signal.SIGHUP)
                await asyncio.sleep(0.1)

    async def lose_disk(self, fault: Fault) -> None:
        """Kill a control process and delete its data folder."""
        now_s = time.monotonic()
        if now_s < self._next_disk_loss_s:
            return
        self._next_disk_loss_s = now_s + fault.duration_s + _DISK_LOSS_PAUSE_S
        name = self.pick(fault, self.site.controls)
        await self._restart(
            name,
            signal.SIGKILL,
            fault.duration_s,
            lambda: shutil.rmtree(self.site.get_folder(name)),
        )

    async def tear_log(self, fault: Fault) -> None:
        """Kill a control process, and append a partial record to its log."""
        name = self.pick(fault, self.site.controls)

        def tear() -> None:
            path = self.site.get_log(name)
            if path.exists():
                with path.open('ab') as log:
                    log.write(_PARTIAL_RECORD)

        await self._restart(name, signal.SIGKILL, fault.duration_s, tear)

    async def fill_disk(self, fault: Fault) -> None:
        """Make a control process's file writes fail for the duration."""
        name = self.pick(fault, self.site.controls)
        async with self._locks[name]:
            self.site.processes.limit_files(name, _FULL_DISK_BYTES)
            await asyncio.sleep(fault.duration_s)
            with suppress(OSError):
                self.site.processes.limit_files(name, _NO_LIMIT)

    async def delay(self, fault: Fault) -> None:
        """Delay all bytes on connections to a control process."""
        name = self.pick(fault, self.site.controls)
        links = [
            self.site.proxies.get_link(Pair(other, name))
            for other in ('', *self.site.names)
        ]
        for link in links:
            link.delay_s = 0.05
        await asyncio.sleep(fault.duration_s)
        for link in links:
            link.delay_s = 0

    async def cut(self, fault: Fault) -> None:
        """Hold back all bytes between a control process and the others."""
        name = self.pick(fault, self.site.controls)
        links = self._list_links(name)
        await self._hold_links(fault, links, forward=1, back=1)

    async def cut_one_way(self, fault: Fault) -> None:
        """Hold back all bytes that others send to a control process."""
        name = self.pick(fault, self.site.controls)
        dialled = [
            link
            for pair, link in self._list_links_by_pair(name)
            if pair[1] == name
        ]
        dialling = [
            link
            for pair, link in self._list_links_by_pair(name)
            if pair[0] == name
        ]
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._hold_links(fault, dialled, forward=1))
            tasks.create_task(self._hold_links(fault, dialling, back=1))

    async def cut_pair(self, fault: Fault) -> None:
        """Hold back all bytes between two control processes only."""
        names = self.site.controls
        first = self.pick(fault, names)
        second = names[(names.index(first) + 1) % len(names)]
        pairs = (Pair(first, second), Pair(second, first))
        links = [self.site.proxies.get_link(pair) for pair in pairs]
        await self._hold_links(fault, links, forward=1, back=1)

    async def reset(self, fault: Fault) -> None:
        """Reset all proxied connections of a process."""
        self.site.proxies.reset(self.pick(fault, self.site.names))

    async def blackhole(self, fault: Fault) -> None:
        """Drop all further bytes on the open connections of a process."""
        self.site.proxies.blackhole(self.pick(fault, self.site.names))

    async def silence_worker(self, fault: Fault) -> None:
        """Make a worker unresponsive while its tasks keep running."""
        worker = self.site.pick_worker(fault.target)
        worker.is_silent = True
        await asyncio.sleep(2 * fault.duration_s)
        worker.is_silent = False

    async def silence_rack(self, fault: Fault) -> None:
        """Make all workers of a rack unresponsive at once."""
        rack = self.site.pick_worker(fault.target).rack
        lost = [one for one in self.site.workers.values() if one.rack == rack]
        for worker in lost:
            worker.is_silent = True
        await asyncio.sleep(2 * fault.duration_s)
        for lost_worker in lost:
            lost_worker.is_silent = False

    async def overload(self, fault: Fault) -> None:
        """Let one team submit jobs without pause."""
        self.traffic.overloading_team = TEAMS[fault.target % len(TEAMS)]
        await asyncio.sleep(fault.duration_s)
        self.traffic.overloading_team = ''

    async def make_worker_late(self, fault: Fault) -> None:
        """Make a worker apply some orders late, and then answer 503."""
        worker = self.site.pick_worker(fault.target)
        worker.late_share = 0.3
        worker.late_s = LATE_S
        await asyncio.sleep(2 * fault.duration_s)
        worker.late_share = 0

    async def slow_worker(self, fault: Fault) -> None:
        """Slow down the tasks of a worker."""
        worker = self.site.pick_worker(fault.target)
        worker.slowness = 6
        await asyncio.sleep(2 * fault.duration_s)
        worker.slowness = 1

    async def crash_worker(self, fault: Fault) -> None:
        """Crash a worker, and start a new one at its address."""
        worker = self.site.pick_worker(fault.target)
        if worker.incarnation is not None:
            worker.begin(worker.incarnation.pool)

    async def drain_worker(self, fault: Fault) -> None:
        """Drain a worker, and then replace it by a new one."""
        worker = self.site.pick_worker(fault.target)
        incarnation = worker.incarnation
        if incarnation is None:
            return
        incarnation.is_draining = True
        await asyncio.sleep(2 + fault.duration_s)
        if worker.incarnation is incarnation:
            worker.begin(incarnation.pool)

    async def _run_one(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        self._note('fault', fault, is_begun=True)
        try:
            await _ALL_KINDS[fault.kind](self, fault)
        finally:
            self._note('fault.over', fault, is_begun=False)

    async def _wait_for_acknowledgement(self) -> None:
        known = self._ledger.acknowledgement_count
        due_s = time.monotonic() + _ACKNOWLEDGEMENT_TIMEOUT_S
        while self._ledger.acknowledgement_count == known:
            if time.monotonic() >= due_s:
                return
            await asyncio.sleep(_ACKNOWLEDGEMENT_POLL_S)

    def _note(self, event: str, fault: Fault, *, is_begun: bool) -> None:
        self._log_event(event, kind=fault.kind, target=fault.target)
        self._ledger.note_fault(time.monotonic(), is_begun=is_begun)

    async def _restart(
        self,
        name: str,
        signal_number: int,
        duration_s: float,
        while_down: Callable[[], None] | None = None,
    ) -> None:
        async with self._locks[name]:
            await asyncio.to_thread(
                self.site.processes.stop, name, signal_number
            )
            if while_down is not None:
                while_down()
            await asyncio.sleep(duration_s)
            self.site.start(name)

    def _list_links_by_pair(self, name: str) -> list[tuple[Pair, LinkFaults]]:
        others = [other for other in self.site.names if other != name]
        pairs = [Pair(name, other) for other in others]
        pairs += [Pair(other, name) for other in others]
        return [(pair, self.site.proxies.get_link(pair)) for pair in pairs]

    def _list_links(self, name: str) -> list[LinkFaults]:
        return [link for _, link in self._list_links_by_pair(name)]

    async def _hold_links(
        self,
        fault: Fault,
        links: list[LinkFaults],
        *,
        forward: int = 0,
        back: int = 0,
    ) -> None:
        for link in links:
            link.hold(forward=forward, back=back)
        await asyncio.sleep(fault.duration_s)
        for held_link in links:
            held_link.hold(forward=-forward, back=-back)
        await self.site.proxies.apply()


def _make_fault(
    restart: Restart,
) -> Callable[[Injector, Fault], Awaitable[None]]:
    async def inject(injector: Injector, fault: Fault) -> None:
        site = injector.site
        # Independent of the part of the number that selects the worker.
        number = fault.target // len(site.workers)
        times = make_times(number, fault.duration_s)
        worker = site.pick_worker(fault.target)
        others = [one for one in site.workers.values() if one is not worker]
        await restart((worker, *others), times)

    return inject


KINDS = MappingProxyType[str, Callable[[Injector, Fault], Awaitable[None]]](
    {
        'process.kill': Injector.kill,
        'process.stop': Injector.stop,
        'process.freeze': Injector.freeze,
        'process.reload': Injector.reload,
        'controls.kill': Injector.kill_controls,
        'disk.lose': Injector.lose_disk,
        'disk.tear': Injector.tear_log,
        'disk.fill': Injector.fill_disk,
        'link.delay': Injector.delay,
        'link.cut': Injector.cut,
        'link.one_way': Injector.cut_one_way,
        'link.pair': Injector.cut_pair,
        'link.reset': Injector.reset,
        'link.forget': Injector.blackhole,
        'worker.silent': Injector.silence_worker,
        'worker.late': Injector.make_worker_late,
        'worker.slow': Injector.slow_worker,
        'worker.crash': Injector.crash_worker,
        'worker.drain': Injector.drain_worker,
    },
)
LOAD_KINDS = MappingProxyType[
    str, Callable[[Injector, Fault], Awaitable[None]]
](
    {
        'rack.silent': Injector.silence_rack,
        'team.overload': Injector.overload,
    },
)
RESTART_KINDS = MappingProxyType(
    {kind: _make_fault(restart) for kind, restart in RESTARTS.items()},
)
_ALL_KINDS = MappingProxyType({**KINDS, **LOAD_KINDS, **RESTART_KINDS})
