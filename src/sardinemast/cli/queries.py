"""Queries: what only shows something."""

from typing import Any

from sardinemast.cli._client import ask_leader, fetch
from sardinemast.cli.commands import split_addresses
from sardinemast.timeline import TimelineEvent, format_event, merge_events
from sardinemast.wire import load_plain

_DEFAULT_CONTROLS = '127.0.0.1:8101'


def show(controls: str = _DEFAULT_CONTROLS) -> dict[str, Any]:
    """Show the state as the leader has it."""
    return ask_leader(split_addresses(controls), '/v1/state')


def replicas(controls: str = _DEFAULT_CONTROLS) -> dict[str, Any]:
    """Show the replicas of the log as the leader has them."""
    return ask_leader(split_addresses(controls), '/v1/replicas')


def timeline(*processes: str) -> str:
    """Merge the events of processes, given as HOST:PORT."""
    streams = []
    for address in processes:
        found = fetch(f'http://{address}/-/timeline')
        streams.append(
            [load_plain(TimelineEvent, one) for one in found['events']],
        )
    return '\n'.join(map(format_event, merge_events(*streams)))
