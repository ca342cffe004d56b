"""Run an entry or a control process on the platform."""

import asyncio
import os
import signal
from contextlib import suppress
from pathlib import Path

from logbook import Logger

from sardinemast.conf import Address, ProcessSettings, load_process_file
from sardinemast.daemon import create_log_handler
from sardinemast.dispatch import DispatchSettings
from sardinemast.exceptions import CodedError
from sardinemast.metrics import ProcessMetrics
from sardinemast.platform._caller_http import Front
from sardinemast.platform._control_http import ControlFront
from sardinemast.platform._gateway import PlatformGateway
from sardinemast.platform._http_server import RequestServer
from sardinemast.platform._metrics_http import MetricsTeller
from sardinemast.shell import (
    Access,
    CallRoute,
    ControlExtras,
    LeaderRelay,
    create_identity,
    run_control,
)

_log = Logger('platform')
_SETTINGS_VARIABLE = 'SARDINEMAST_BOOT'
# The balancer looks once a second and goes by two misses. Whoever still comes
# is served, and the rest of the time that a stop may take is left over.
_LINGER_S = 2.6
_DRAIN_S = 2.4
_POLL_S = 0.05


class Process:
    """Hold what the roles of one process share."""

    def __init__(self, settings: ProcessSettings) -> None:
        if settings.cluster is None:
            raise CodedError('platform.E001', 'The settings name no cluster.')
        self.settings = settings
        self.cluster = settings.cluster
        self.identity = create_identity(settings.name)
        self.relay = LeaderRelay(
            self.identity,
            settings.controls,
            settings.cluster,
            Access(settings.security, settings.cluster.bind_host),
            CallRoute.direct
            if 'control' in settings.roles
            else CallRoute.forwarded,
        )
        self.metrics = ProcessMetrics()
        self.stopping = asyncio.Event()


def main() -> None:
    """Run the process whose settings the environment names."""
    path = Path(os.environ[_SETTINGS_VARIABLE])
    settings = load_process_file(path)
    with create_log_handler(settings.logs).applicationbound():
        asyncio.run(_run(settings, path))


async def _run(settings: ProcessSettings, path: Path) -> None:
    process = Process(settings)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, process.stopping.set)
    loop.add_signal_handler(signal.SIGINT, process.stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, process, path)
    _log.info('{} starts as {}.', settings.name, ', '.join(settings.roles))
    runners = {'entry': _run_entry, 'control': _run_control}
    roles = [
        asyncio.create_task(runners[role](process)) for role in settings.roles
    ]
    relaying = asyncio.create_task(process.relay.run())
    _tell_metrics(process)
    done, _ = await asyncio.wait(
        (*roles, relaying),
        return_when=asyncio.FIRST_COMPLETED,
    )
    for task in (*roles, relaying):
        task.cancel()
    _log.info('{} stops.', settings.name)
    for ended in done:
        ended.result()


def _tell_metrics(process: Process) -> None:
    address = process.settings.metrics
    if address is None:
        return
    teller = MetricsTeller(process.metrics)
    try:
        RequestServer(teller.handle).listen(address)
    except OSError as error:
        # Whoever reads metrics sees that; callers must not do without the
        # process because its port for them is taken.
        _log.warning('No metrics at {}: {}.', address, error)


def _reload(process: Process, path: Path) -> None:
    try:
        settings = load_process_file(path)
    except CodedError as error:
        _log.warning('The settings stay as they are: {}', error)
        return
    process.relay.update_founders(settings.controls)
    _log.info('Settings read again: {} founders.', len(settings.controls))


async def _run_entry(process: Process) -> None:
    front = Front(process.relay, process.metrics)
    server = RequestServer(front.handle)
    server.listen(_get_address(process.settings.callers))
    readiness = RequestServer(front.handle_ready)
    readiness.listen(_get_address(process.settings.readiness))
    await process.stopping.wait()
    front.is_stopping = True
    server.is_stopping = True
    await asyncio.sleep(_LINGER_S)
    await _drain(server)


async def _run_control(process: Process) -> None:
    address = _get_address(process.settings.operators)
    control_front = ControlFront(process.relay, process.metrics)
    server = RequestServer(control_front.handle)
    server.listen(address)
    gateway = PlatformGateway(
        process.cluster.own.peer.host,
        process.settings.instances,
        process.settings.advice,
    )
    extras = ControlExtras(
        gateway,
        DispatchSettings(pools=process.settings.pool_sizes),
        process.metrics,
        process.relay,
    )
    async with asyncio.TaskGroup() as tasks:
        running = [
            tasks.create_task(gateway.run()),
            tasks.create_task(
                run_control(process.settings, process.identity, extras),
            ),
        ]
        await process.stopping.wait()
        server.is_stopping = True
        await _drain(server)
        for task in running:
            task.cancel()


async def _drain(server: RequestServer) -> None:
    with suppress(TimeoutError):
        async with asyncio.timeout(_DRAIN_S):
            while server.busy:
                await asyncio.sleep(_POLL_S)
    await server.stop()


def _get_address(address: Address | None) -> Address:
    if address is None:
        raise CodedError('platform.E002', 'The settings lack an address.')
    return address
