"""Set up the processes of a run, their proxies and the simulated workers."""

import asyncio
import os
import signal
import time
from itertools import count
from pathlib import Path
from random import Random
from types import MappingProxyType
from typing import Any, NamedTuple

from builders.platform_processes import PlatformProcesses
from builders.processes import find_port_pair, find_ports
from sardinemast.conf import Address
from soak.instances import POOL, STANDBY, Instances
from soak.ledger import Ledger
from soak.proxies import Proxies
from soak.workers import Worker

# Control processes are dialled at the first address, where a proxy listens,
# and listen at the second.
_PROXY_HOST = '127.0.1.{}'
_CONTROL_HOST = '127.0.2.{}'
_ENTRY_HOST = '127.0.3.{}'
_WORKER_HOST = '127.0.4.{}'
_INSTANCES_HOST = '127.0.5.1'
_WATCH_INTERVAL_S = 0.2
# A leader that gets no answers for 0.6 s steps down.
_STALL_S = 0.3


class Sizes(NamedTuple):
    """Store the numbers of processes, workers and callers of a run."""

    controls: int = 5
    entries: int = 3
    workers: int = 8
    standby: int = 2
    callers: int = 8

    @property
    def failures_tolerated(self) -> int:
        """Return how many control processes may fail at the same time."""
        return (self.controls - 1) // 2


# The optional parts of the dispatcher all work at once.
_ENABLED_POLICIES: MappingProxyType[str, Any] = MappingProxyType(
    {
        section: {'enabled': True}
        for section in (
            'team_shares',
            'learning',
            'failure_domains',
            'preemption',
            'admission',
        )
    },
)


class Ports(NamedTuple):
    """Store the port numbers, which are the same at all addresses."""

    cluster: int
    operators: int
    callers: int
    worker: int


class Site:
    """Start and stop the processes, proxies, workers and instances of a run."""

    def __init__(self, folder: Path, sizes: Sizes, ledger: Ledger, seed: int):
        self.controls = tuple(
            _PROXY_HOST.format(index + 1) for index in range(sizes.controls)
        )
        self.entries = tuple(
            _ENTRY_HOST.format(index + 1) for index in range(sizes.entries)
        )
        self.processes = PlatformProcesses(folder)
        self.proxies = Proxies(
            {self._get_inside(name): name for name in self.names},
        )
        self._folder = folder
        self._ledger = ledger
        self.sizes = sizes
        self._random = Random(f'disks-{seed}')
        self._ports = _find_ports()
        self._started: set[str] = set()
        self.workers = self._make_workers(ledger, Random(seed))
        self.instances = Instances(
            Address(_INSTANCES_HOST, self._ports.worker),
            self.workers,
            ledger,
        )

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of all processes."""
        return (*self.controls, *self.entries)

    def get_addresses(self) -> tuple[tuple[Address, ...], tuple[Address, ...]]:
        """Return the addresses of the entries and of the control processes."""
        ports = self._ports
        return (
            tuple(Address(name, ports.callers) for name in self.entries),
            tuple(Address(name, ports.operators) for name in self.controls),
        )

    async def start_all(self) -> None:
        """Start the proxies, the workers and all processes."""
        for name in self.controls:
            inside = self._get_inside(name)
            for port in (self._ports.cluster, self._ports.operators):
                await self.proxies.listen(name, (name, port), (inside, port))
        for index, instance in enumerate(self.workers):
            is_standby = index >= self.sizes.workers
            self.instances.put(instance, STANDBY if is_standby else POOL)
        for process in self.names:
            self.start(process)

    async def stop_all(self) -> None:
        """Stop all processes, proxies, workers and the instance server."""
        for name in self.processes.ids:
            self.processes.send_signal(name, signal.SIGCONT)
        self.processes.kill_all()
        await self.proxies.close()
        for worker in self.workers.values():
            await worker.stop()
        await self.instances.stop()

    def start(self, name: str) -> None:
        """Start a process; only its first start may found a cluster."""
        self.processes.start(name, self._make_settings(name))
        self._started.add(name)

    async def watch(self) -> None:
        """Restart processes that exit, and check the long-running tasks."""
        while True:
            await self._watch_host()
            for name, code in self.processes.list_ended().items():
                self._ledger.note_ended(name, code)
                self.start(name)
            free_millicores = tuple(
                worker.get_free_millicores(POOL)
                for worker in self.workers.values()
            )
            self._ledger.check_long_running(time.monotonic(), free_millicores)

    def pick_worker(self, target: int) -> Worker:
        """Return the worker that a fault's target number selects."""
        return tuple(self.workers.values())[target % len(self.workers)]

    def draw_lost_controls(self) -> list[str]:
        """Return as many control processes as may lose their disks at once."""
        count_max = self.sizes.failures_tolerated
        return self._random.sample(self.controls, count_max)

    def get_folder(self, name: str) -> Path:
        """Return the data folder of a process."""
        return self._folder / f'data-{name}'

    def get_log(self, name: str) -> Path:
        """Return the path of a control process's write-ahead log."""
        return self.get_folder(name) / 'replica' / 'log.wal'

    async def _watch_host(self) -> None:
        """Wait, and record whether the host stalls processes or its disk.

        Control processes on a stalled host lose their leader.
        """
        began_s = time.monotonic()
        await asyncio.sleep(_WATCH_INTERVAL_S)
        await asyncio.to_thread(_sync_file, self._folder / 'probe')
        now_s = time.monotonic()
        if now_s > began_s + _WATCH_INTERVAL_S + _STALL_S:
            self._ledger.note_stall(now_s)

    def _make_workers(
        self, ledger: Ledger, random: Random
    ) -> dict[str, Worker]:
        numbers = count(1)
        total = self.sizes.workers + self.sizes.standby
        return {
            f'm-{index}': Worker(
                f'm-{index}',
                Address(_WORKER_HOST.format(index + 1), self._ports.worker),
                ledger,
                random,
                lambda: f'i-{next(numbers)}',
            )
            for index in range(total)
        }

    def _make_settings(self, name: str) -> dict[str, Any]:
        ports = self._ports
        cluster: dict[str, Any] = {
            'host': name,
            'port': ports.cluster,
            'founders': list(self.controls[:3]),
            'failures_tolerated': self.sizes.failures_tolerated,
            'may_found': name not in self._started,
            'bind_host': self._get_inside(name),
        }
        settings: dict[str, Any] = {
            'name': name,
            'data_centre': 'rennes',
            'data_folder': str(self.get_folder(name)),
            'network': 'private',
            'instances': f'{_INSTANCES_HOST}:{ports.worker}',
            'cluster': cluster,
            'logs': {'format': 'json'},
        }
        if name in self.entries:
            return {
                **settings,
                'roles': ['entry'],
                'callers': f'{name}:{ports.callers}',
                'readiness': f'{name}:{ports.operators}',
            }
        return {
            **settings,
            'roles': ['control'],
            **_ENABLED_POLICIES,
            'operators': f'{self._get_inside(name)}:{ports.operators}',
        }

    def _get_inside(self, name: str) -> str:
        # Entries have no proxy: only callers dial them, and do so directly.
        if name in self.entries:
            return name
        return _CONTROL_HOST.format(self.controls.index(name) + 1)


def _sync_file(path: Path) -> None:
    with path.open('ab') as probe:
        probe.write(b'.')
        probe.flush()
        os.fdatasync(probe.fileno())


def _find_ports() -> Ports:
    # A control process listens at the cluster port and at the next one.
    return Ports(find_port_pair(), *find_ports(3))
