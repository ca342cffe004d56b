"""Start the processes, show a few requests, and stop."""

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
from sardinemast.demo._files import CALLERS, OPERATORS, write_files
from sardinemast.exceptions import CodedError

_PATIENCE_S = 15.0
_POLL_S = 0.1
_STOP_S = 10.0
_UPSTREAMS = ('enrol-1', 'enrol-2', 'enrol-3')


def run_demo(*, is_kept: bool) -> None:
    """Run the demo, and with ``is_kept`` stay until interrupted."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        files = write_files(folder)
        stack.enter_context(
            start_module('sardinemast.daemon', str(files.process)),
        )
        for name in _UPSTREAMS:
            stack.enter_context(_start_upstream(name))
        _say('One daemon and three upstreams run; settings are applied.')
        _wait_for(
            lambda: commands.apply(
                str(files.base),
                str(files.overlay),
                controls=OPERATORS,
            ),
        )
        _show_requests()
        if is_kept:
            _keep_running()
        else:
            _show_timeline()
    _say('Stopped. Next: "make run", then requests of your own with curl.')


@contextmanager
def start_module(module: str, *arguments: str) -> Iterator[None]:
    """Run a module as a process of its own, and stop it by SIGTERM."""
    process = subprocess.Popen([sys.executable, '-m', module, *arguments])
    try:
        yield
    finally:
        _stop(process)


def _stop(process: subprocess.Popen[bytes]) -> None:
    process.terminate()
    try:
        process.wait(_STOP_S)
    except subprocess.TimeoutExpired:
        process.kill()
        raise


def _start_upstream(name: str) -> AbstractContextManager[None]:
    return start_module(
        'sardinemast.standins',
        'upstream',
        f'--name={name}',
        '--pool=enrolment',
        f'--entries={CALLERS}',
    )


def _show_requests() -> None:
    first = commands.grant_key('petits-pixels', controls=OPERATORS)
    second = commands.grant_key('atelier-algo', controls=OPERATORS)
    _wait_for(lambda: _expect_served(first['key']))
    for seat in range(3):
        _show('petits-pixels', _book(first['key'], seat))
    _show('unknown key', _book('no-such-key', 3))
    _show('atelier-algo, limit 0', _book(second['key'], 4))
    _say(f'A key to try: {first["key"]}')


def _expect_served(key: str) -> None:
    response = _book(key, 0)
    if response.code != HTTPStatus.OK:
        raise OSError(response.body.decode())


def _book(key: str, seat: int) -> HTTPResponse:
    client = HTTPClient()
    try:
        return client.fetch(
            HTTPRequest(
                f'http://{CALLERS}/enrolment/seats/{seat}',
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


def _show(who: str, response: HTTPResponse) -> None:
    _say(f'{who}: {response.code} {response.body.decode()}')


def _show_timeline() -> None:
    _say('The merged time line:')
    _say(queries.timeline(CALLERS))


def _keep_running() -> None:
    _say(
        f'Try: curl -H "Authorization: Bearer KEY" '
        f'http://{CALLERS}/enrolment/seats/1 (Ctrl-C stops)',
    )
    try:
        while True:
            time.sleep(_POLL_S)
    except KeyboardInterrupt:
        _say('Stopping.')


def _wait_for(action: Callable[[], object]) -> None:
    give_up_s = time.monotonic() + _PATIENCE_S
    while True:
        try:
            action()
        except (OSError, CodedError):
            if time.monotonic() > give_up_s:
                raise
            time.sleep(_POLL_S)
        else:
            return


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
