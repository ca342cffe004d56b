"""Rate and latency at the entry, two forwarders and the upstream alone."""

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
_BASELINE = 'forwarder, AsyncHTTPClient'


def main() -> None:
    """Print request rates, latencies, ratios and peak memory."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        ports, key = start_fleet(stack, folder)
        routes = {
            'upstream alone': ports['upstream'],
            _BASELINE: _start_forwarder(
                stack, folder, 'simple', ports['upstream']
            ),
            'forwarder, own pool': _start_forwarder(
                stack, folder, 'pooled', ports['upstream']
            ),
            'entry': ports['entry'],
        }
        for connections in _CONNECTIONS:
            _print_table(routes, connections, key)


def _start_forwarder(
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
    # Routes alternate, so that other load on the host affects all alike.
    rounds = [
        {
            name: _measure(port, connections, key)
            for name, port in routes.items()
        }
        for _ in range(_ROUNDS)
    ]
    measured = {
        name: {
            figure: median(figures[name][figure] for figures in rounds)
            for figure in rounds[0][name]
        }
        for name in routes
    }
    baseline = measured[_BASELINE]
    for name, figures in measured.items():
        print(
            f'  {name:<28} {figures["per_s"]:7.0f}/s '
            f'(x{figures["per_s"] / baseline["per_s"]:.2f})  '
            f'median {figures["median_ms"]:6.2f} ms '
            f'(x{figures["median_ms"] / baseline["median_ms"]:.2f})  '
            f'p99 {figures["p99_ms"]:6.2f} ms '
            f'(x{figures["p99_ms"] / baseline["p99_ms"]:.2f})  '
            f'refused {figures["refused"]} lost {figures["lost"]}'
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
