"""Measure a request's way: upstream alone, two forwarders, the entry."""

import json
import subprocess
import sys
import tempfile
from contextlib import ExitStack
from pathlib import Path
from statistics import median
from typing import Any

from bench._fleet import find_ports, run_module, start_fleet

_ROUNDS = 4
_SECONDS = 1.0
_CONNECTIONS = (1, 32)
_BASE = 'forwarder, AsyncHTTPClient'


def main() -> None:
    """Print requests per second, latencies, ratios and peak memory."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        ports, key = start_fleet(stack, folder)
        routes = {
            'upstream alone': ports['upstream'],
            _BASE: _forward(stack, folder, 'simple', ports['upstream']),
            'forwarder, own pool': _forward(
                stack, folder, 'pooled', ports['upstream']
            ),
            'entry': ports['entry'],
        }
        for connections in _CONNECTIONS:
            _print_table(routes, connections, key)


def _forward(
    stack: ExitStack,
    folder: Path,
    client: str,
    upstream_port: int,
) -> int:
    port = find_ports(1)[0]
    stack.enter_context(
        run_module(
            folder,
            f'forwarder {client}',
            'bench._forwarder',
            str(port),
            str(upstream_port),
            client,
        )
    )
    return port


def _print_table(routes: dict[str, int], connections: int, key: str) -> None:
    print(f'{connections} connections, 200 bytes, {_ROUNDS} x {_SECONDS} s')
    # In turns, so that what else the machine does meets all routes alike.
    rounds = [
        {
            name: _measure(port, connections, key)
            for name, port in routes.items()
        }
        for _ in range(_ROUNDS)
    ]
    measured = {
        name: {
            figure: median(one[name][figure] for one in rounds)
            for figure in rounds[0][name]
        }
        for name in routes
    }
    base = measured[_BASE]
    for name, one in measured.items():
        print(
            f'  {name:<28} {one["per_s"]:7.0f}/s '
            f'(x{one["per_s"] / base["per_s"]:.2f})  '
            f'median {one["median_ms"]:6.2f} ms '
            f'(x{one["median_ms"] / base["median_ms"]:.2f})  '
            f'p99 {one["p99_ms"]:6.2f} ms '
            f'(x{one["p99_ms"] / base["p99_ms"]:.2f})  '
            f'refused {one["refused"]} lost {one["lost"]}'
        )


def _measure(port: int, connections: int, key: str) -> Any:
    finished = subprocess.run(
        [
            sys.executable,
            '-m',
            'bench._load',
            str(port),
            str(connections),
            str(_SECONDS),
            key,
        ],
        capture_output=True,
        check=True,
    )
    return json.loads(finished.stdout)
