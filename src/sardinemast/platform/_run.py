"""Run an entry or a control process for the platform."""

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
from sardinemast.platform._caller_http import CallerHandler
from sardinemast.platform._control_http import ControlHandler
from sardinemast.platform._gateway import PlatformGateway
from sardinemast.platform._http_server import RequestServer
from sardinemast.platform._metrics_http import MetricsHandler
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
# The load balancer probes readiness once a second and stops sending requests
# after two failures. Requests are served until then.
_READINESS_GRACE_S = 2.6
_DRAIN_TIMEOUT_S = 2.4
_DRAIN_POLL_S = 0.05


class Process:
    """Hold the state that the roles of a process share."""

    def __init__(self, settings: ProcessSettings) -> None:
        if settings.cluster is None:
            raise CodedError('platform.E001', 'The settings have no cluster.')
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
    """Run the process with the settings file named in the environment."""
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
    _log.info(
        'Process {} starts with roles: {}.',
        settings.name,
        ', '.join(settings.roles),
    )
    runners = {'entry': _run_entry, 'control': _run_control}
    role_tasks = [
        asyncio.create_task(runners[role](process)) for role in settings.roles
    ]
    relay_task = asyncio.create_task(process.relay.run())
    _serve_metrics(process)
    finished, _ = await asyncio.wait(
        (*role_tasks, relay_task),
        return_when=asyncio.FIRST_COMPLETED,
    )
    for task in (*role_tasks, relay_task):
        task.cancel()
    _log.info('Process {} stops.', settings.name)
    for finished_task in finished:
        finished_task.result()


def _serve_metrics(process: Process) -> None:
    address = process.settings.metrics
    if address is None:
        return
    metrics_handler = MetricsHandler(process.metrics)
    try:
        RequestServer(metrics_handler.handle).listen(address)
    except OSError as error:
        # A taken metrics port must not keep the process from serving callers.
        _log.warning('Metrics cannot be served at {}: {}.', address, error)


def _reload(process: Process, path: Path) -> None:
    try:
        settings = load_process_file(path)
    except CodedError as error:
        _log.warning('The settings were not reloaded: {}', error)
        return
    process.relay.update_founders(settings.controls)
    _log.info('Settings reloaded: {} founders.', len(settings.controls))


async def _run_entry(process: Process) -> None:
    caller_handler = CallerHandler(process.relay, process.metrics)
    server = RequestServer(caller_handler.handle)
    server.listen(_get_address(process.settings.callers))
    readiness = RequestServer(caller_handler.handle_ready)
    readiness.listen(_get_address(process.settings.readiness))
    await process.stopping.wait()
    caller_handler.start_stopping(_READINESS_GRACE_S + _DRAIN_TIMEOUT_S)
    server.is_stopping = True
    await asyncio.sleep(_READINESS_GRACE_S)
    await _drain(server)


async def _run_control(process: Process) -> None:
    address = _get_address(process.settings.operators)
    control_handler = ControlHandler(process.relay, process.metrics)
    server = RequestServer(control_handler.handle)
    server.listen(address)
    gateway = PlatformGateway(
        process.cluster.own.peer.host,
        process.settings.instances,
        process.settings.advice,
    )
    extras = ControlExtras(
        gateway,
        DispatchSettings(
            pools=process.settings.pool_sizes,
            team_shares=process.settings.team_shares,
            learning=process.settings.learning,
            failure_domains=process.settings.failure_domains,
            preemption=process.settings.preemption,
            admission=process.settings.admission,
            leases=process.settings.worker_leases,
        ),
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
        async with asyncio.timeout(_DRAIN_TIMEOUT_S):
            while server.open_request_count:
                await asyncio.sleep(_DRAIN_POLL_S)
    await server.stop()


def _get_address(address: Address | None) -> Address:
    if address is None:
        raise CodedError(
            'platform.E002', 'A required address is missing from the settings.'
        )
    return address
