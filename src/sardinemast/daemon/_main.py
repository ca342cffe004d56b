"""Start the roles that the settings name, and stop on a signal."""

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
    """Read the command line and run."""
    fire.Fire(run, name='sardinemastd')


def run(settings: str) -> None:
    """Run one process by its settings file until SIGTERM or SIGINT."""
    try:
        found = load_process_file(Path(str(settings)))
    except CodedError as error:
        _fail(str(error))
    with create_log_handler(found.logs).applicationbound():
        try:
            asyncio.run(_run_roles(found))
        except CodedError as error:
            _fail(str(error))
        except OSError as error:
            hint = 'Free the address or change it.'
            _fail(str(CodedError('daemon.E001', f'{error}.', hint)))


def _fail(line: str) -> NoReturn:
    sys.stderr.write(f'{line}\n')
    sys.exit(_EXIT_FAILED)


async def _run_roles(settings: ProcessSettings) -> None:
    identity = create_identity(settings.name)
    runners = {'control': run_control, 'entry': run_entry}
    roles = [
        asyncio.create_task(runners[role](settings, identity))
        for role in settings.roles
    ]
    stop = asyncio.create_task(_wait_for_signal())
    await asyncio.wait((*roles, stop), return_when=asyncio.FIRST_COMPLETED)
    for task in (*roles, stop):
        task.cancel()
    outcomes = await asyncio.gather(*roles, return_exceptions=True)
    for outcome in outcomes:
        if isinstance(outcome, Exception):
            raise outcome


async def _wait_for_signal() -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    await stopping.wait()
