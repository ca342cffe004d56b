"""Planned stop of an entry whose leader is silent."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any, NamedTuple

from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from builders.platform_processes import PlatformProcesses
from builders.processes import find_port_pair, find_ports
from sardinemast.protocol import LEADER_MESSAGES, LeaderBeat
from sardinemast.shell import create_identity
from sardinemast.shell._identity import encode_frame

_HOST = '127.0.0.1'
_ENTRY = 'entry-1'
_BEAT_INTERVAL_S = 0.2
_TIMEOUT_S = 5.0
_POLL_S = 0.05
_REQUEST = b'GET /seats/1 HTTP/1.1\r\nHost: h.example\r\n\r\n'
# After the signal. The first request is pending when the entry stops to take
# new ones, and the second one comes shortly before it exits.
_REQUESTS_AT_S = (2.4, 4.5)


class _Ports(NamedTuple):
    cluster: int
    callers: int
    readiness: int


async def _send_beats(websocket: ServerConnection) -> None:
    """Claim to know the leader, and answer no call."""
    identity = create_identity(_HOST)
    beat = LEADER_MESSAGES.pack(LeaderBeat(_HOST, (_HOST,)))
    with suppress(ConnectionClosed):
        while True:
            await websocket.send(encode_frame(identity, beat))
            await asyncio.sleep(_BEAT_INTERVAL_S)


def _make_settings(folder: Path, ports: _Ports) -> dict[str, Any]:
    return {
        'name': _ENTRY,
        'data_centre': 'rennes',
        'data_folder': str(folder / 'data'),
        'network': 'private',
        'cluster': {
            'host': _ENTRY,
            'port': ports.cluster,
            'founders': [_HOST],
            'failures_tolerated': 1,
            'may_found': True,
        },
        'roles': ['entry'],
        'callers': f'{_HOST}:{ports.callers}',
        'readiness': f'{_HOST}:{ports.readiness}',
    }


async def _open(port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    async with asyncio.timeout(_TIMEOUT_S):
        while True:
            try:
                return await asyncio.open_connection(_HOST, port)
            except OSError:
                await asyncio.sleep(_POLL_S)


@asynccontextmanager
async def _run_entry(folder: Path) -> AsyncIterator[tuple[Any, int]]:
    """Run an entry whose leader never answers, and yield it and its port."""
    ports = _Ports(find_port_pair(), *find_ports(2))
    processes = PlatformProcesses(folder)
    async with serve(_send_beats, _HOST, ports.cluster):
        processes.start(_ENTRY, _make_settings(folder, ports))
        try:
            await asyncio.to_thread(
                processes.wait_for_log, _ENTRY, 'The leader is'
            )
            yield processes, ports.callers
        finally:
            processes.kill_all()


async def _stop_entry(folder: Path) -> list[bytes]:
    """Return the first lines of the answers that a stopping entry gives."""
    async with _run_entry(folder) as (processes, port):
        streams = [await _open(port) for _ in _REQUESTS_AT_S]
        stopping = asyncio.create_task(
            asyncio.to_thread(processes.stop, _ENTRY)
        )
        began_s = asyncio.get_running_loop().time()
        for at_s, (_, writer) in zip(_REQUESTS_AT_S, streams, strict=True):
            now_s = asyncio.get_running_loop().time()
            await asyncio.sleep(began_s + at_s - now_s)
            writer.write(_REQUEST)
        answers = [await reader.readline() for reader, _ in streams]
        await stopping
        return answers


def test_requests_to_a_stopping_entry_are_answered(tmp_path: Path) -> None:
    """A request that a stopping entry has read ends without an answer."""
    answers = asyncio.run(_stop_entry(tmp_path))
    codes = [answer.split()[1:2] for answer in answers]
    assert codes == [[b'504'], [b'504']]
