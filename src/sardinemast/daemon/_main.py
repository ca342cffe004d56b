"""Run the roles of a process until it is signalled to stop."""

import asyncio
import signal
import sys
from pathlib import Path
from typing import NoReturn

import fire

from sardinemast.conf import ProcessSettings, load_process_file
from sardinemast.daemon._logs import create_log_handler
from sardinemast.exceptions import CodedError
from sardinemast.shell import create_identity, run_control, run_entry

_EXIT_FAILED = 1


def main() -> None:
    """Parse the command line and run the daemon."""
    fire.Fire(run, name='sardinemastd')


def run(settings: str) -> None:
    """Run one process by its settings file until SIGTERM or SIGINT."""
    try:
        process_settings = load_process_file(Path(str(settings)))
    except CodedError as error:
        _exit_with_error(str(error))
    with create_log_handler(process_settings.logs).applicationbound():
        try:
            asyncio.run(_run_roles(process_settings))
        except CodedError as error:
            _exit_with_error(str(error))
        except OSError as error:
            hint = 'Free the address or configure another one.'
            _exit_with_error(str(CodedError('daemon.E001', f'{error}.', hint)))


def _exit_with_error(line: str) -> NoReturn:
    sys.stderr.write(f'{line}\n')
    sys.exit(_EXIT_FAILED)


async def _run_roles(settings: ProcessSettings) -> None:
    identity = create_identity(settings.name)
    runners = {'control': run_control, 'entry': run_entry}
    role_tasks = [
        asyncio.create_task(runners[role](settings, identity))
        for role in settings.roles
    ]
    stop_task = asyncio.create_task(_wait_for_signal())
    await asyncio.wait(
        (*role_tasks, stop_task), return_when=asyncio.FIRST_COMPLETED
    )
    for task in (*role_tasks, stop_task):
        task.cancel()
    outcomes = await asyncio.gather(*role_tasks, return_exceptions=True)
    for outcome in outcomes:
        if isinstance(outcome, Exception):
            raise outcome


async def _wait_for_signal() -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    await stopping.wait()
