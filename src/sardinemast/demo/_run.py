"""Demo run: start the processes, send a few requests and stop."""

import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager
from http import HTTPStatus
from pathlib import Path

from tornado.httpclient import HTTPClient, HTTPRequest, HTTPResponse

from sardinemast.cli import commands, queries
from sardinemast.demo._files import (
    CALLER_ADDRESS,
    OPERATOR_ADDRESS,
    write_files,
)
from sardinemast.exceptions import CodedError

_RETRY_TIMEOUT_S = 15.0
_RETRY_INTERVAL_S = 0.1
_STOP_TIMEOUT_S = 10.0
_UPSTREAMS = ('enrol-1', 'enrol-2', 'enrol-3')


def run_demo(*, keeps_running: bool) -> None:
    """Run the demo, until interrupted if ``keeps_running``."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        files = write_files(folder)
        stack.enter_context(
            start_module('sardinemast.daemon', str(files.process)),
        )
        for name in _UPSTREAMS:
            stack.enter_context(_start_upstream(name))
        _print(
            'One daemon and three upstreams are running; applying the settings.'
        )
        _retry(
            lambda: commands.apply(
                str(files.base),
                str(files.overlay),
                controls=OPERATOR_ADDRESS,
            ),
        )
        _show_requests()
        if keeps_running:
            _wait_for_interrupt()
        else:
            _show_timeline()
    _print('Stopped. Next: "make run", then requests of your own with curl.')


@contextmanager
def start_module(module: str, *arguments: str) -> Iterator[None]:
    """Run a module in a child process, terminated on exit."""
    process = subprocess.Popen([sys.executable, '-m', module, *arguments])
    try:
        yield
    finally:
        _stop(process)


def _stop(process: subprocess.Popen[bytes]) -> None:
    process.terminate()
    try:
        process.wait(_STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        raise


def _start_upstream(name: str) -> AbstractContextManager[None]:
    return start_module(
        'sardinemast.standins',
        'upstream',
        f'--name={name}',
        '--pool=enrolment',
        f'--entries={CALLER_ADDRESS}',
    )


def _show_requests() -> None:
    first = commands.grant_key('petits-pixels', controls=OPERATOR_ADDRESS)
    second = commands.grant_key('atelier-algo', controls=OPERATOR_ADDRESS)
    _retry(lambda: _check_served(first['key']))
    for seat in range(3):
        _print_response('petits-pixels', _book_seat(first['key'], seat))
    _print_response('unknown key', _book_seat('no-such-key', 3))
    _print_response('atelier-algo, limit 0', _book_seat(second['key'], 4))
    _print(f'A key to try: {first["key"]}')


def _check_served(key: str) -> None:
    response = _book_seat(key, 0)
    if response.code != HTTPStatus.OK:
        raise OSError(response.body.decode())


def _book_seat(key: str, seat: int) -> HTTPResponse:
    client = HTTPClient()
    try:
        return client.fetch(
            HTTPRequest(
                f'http://{CALLER_ADDRESS}/enrolment/seats/{seat}',
                method='POST',
                headers={
                    'Authorization': f'Bearer {key}',
                    'Sardinemast-Deadline-S': '1',
                },
                body='child=1',
            ),
            raise_error=False,
        )
    finally:
        client.close()


def _print_response(label: str, response: HTTPResponse) -> None:
    _print(f'{label}: {response.code} {response.body.decode()}')


def _show_timeline() -> None:
    _print('The merged timeline:')
    _print(queries.timeline(CALLER_ADDRESS))


def _wait_for_interrupt() -> None:
    _print(
        f'Try: curl -H "Authorization: Bearer KEY" '
        f'http://{CALLER_ADDRESS}/enrolment/seats/1 (Ctrl-C stops)',
    )
    try:
        while True:
            time.sleep(_RETRY_INTERVAL_S)
    except KeyboardInterrupt:
        _print('Stopping.')


def _retry(action: Callable[[], object]) -> None:
    deadline_s = time.monotonic() + _RETRY_TIMEOUT_S
    while True:
        try:
            action()
        except (OSError, CodedError):
            if time.monotonic() > deadline_s:
                raise
            time.sleep(_RETRY_INTERVAL_S)
        else:
            return


def _print(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()
