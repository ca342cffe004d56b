"""Calls that show state without changing it."""

from pathlib import Path
from typing import Any

from sardinemast.cli._addresses import get_controls, split_addresses
from sardinemast.cli._client import fetch, request_leader
from sardinemast.cli._timeline import (
    EventFilter,
    collect_events,
    follow_events,
    render_html,
)
from sardinemast.cli.exceptions import CliError
from sardinemast.conf import load_fleet_files, load_process_file
from sardinemast.metrics import merge_latencies
from sardinemast.timeline import format_event


def show(controls: str = '') -> dict[str, Any]:
    """Show the state of the fleet at the leader.

    Args:
        controls: Operators' addresses of the control processes.

    """
    return request_leader(get_controls(controls), '/v1/state')


def replicas(controls: str = '') -> dict[str, Any]:
    """Show the replicas of the log as seen by the leader.

    Args:
        controls: Operators' addresses of the control processes.

    """
    return request_leader(get_controls(controls), '/v1/replicas')


def check(base: str, *overlays: str) -> dict[str, Any]:
    """Validate a base file and its overlays.

    Args:
        base: The base file.
        overlays: Overlays, one per site.

    """
    document = load_fleet_files(
        Path(str(base)),
        [Path(str(overlay)) for overlay in overlays],
    )
    return {
        'findings': 0,
        'sites': len(document.sites),
        'pools': len(document.pools),
        'teams': len(document.teams),
    }


def check_process(settings: str) -> dict[str, Any]:
    """Validate the settings file of a process.

    Args:
        settings: The settings file of sardinemastd.

    """
    process_settings = load_process_file(Path(str(settings)))
    return {
        'findings': 0,
        'name': process_settings.name,
        'roles': list(process_settings.roles),
    }


def health(*entries: str) -> dict[str, Any]:
    """Show which entries are ready to serve.

    Args:
        entries: Callers' addresses of entries.

    """
    health_by_address: dict[str, Any] = {}
    for address in split_addresses(entries):
        try:
            answer = fetch(f'http://{address}/-/health')
        except OSError as error:
            health_by_address[address] = f'no answer: {error}'
            continue
        health_by_address[address] = _describe_health(answer)
    return health_by_address


def _describe_health(answer: dict[str, Any]) -> str:
    if not answer.get('is_ready'):
        return 'not serving'
    # Restarting the next entry now would take a second key holder down.
    if not answer.get('holds_keys'):
        return 'serving, does not hold keys yet'
    return 'serving'


def latencies(*entries: str) -> dict[str, Any]:
    """Show the merged latencies of entries by team, service and upstream.

    Args:
        entries: Callers' addresses of entries.

    """
    books = [
        fetch(f'http://{address}/-/latencies')['latencies']
        for address in split_addresses(entries)
    ]
    merged = merge_latencies(books)
    return {'latencies': [summary._asdict() for summary in merged]}


def history(controls: str = '') -> dict[str, Any]:
    """Show the retained versions of the configuration.

    Args:
        controls: Operators' addresses of the control processes.

    """
    state = request_leader(get_controls(controls), '/v1/state')
    return {'in place': state['version'], 'versions': state['versions']}


def diff(before: int, after: int, controls: str = '') -> dict[str, Any]:
    """Show the differences between two versions of the configuration.

    Args:
        before: The number of one version.
        after: The number of the other.
        controls: Operators' addresses of the control processes.

    """
    path = f'/v1/diff/{before}/{after}'
    answer = request_leader(get_controls(controls), path)
    if 'changes' in answer:
        return answer
    raise CliError(str(answer['code']), str(answer['text']))


def timeline(
    *processes: str,
    kind: str = '',
    matching: str = '',
    since: str = '',
    until: str = '',
    picture: str = '',
    is_followed: bool = False,
) -> str:
    """Show the events of processes on one timeline.

    Args:
        processes: Addresses of entries (callers) and control processes
            (operators).
        kind: Show only events of this kind, such as "attempt started".
        matching: Show only events with these details, such as
            "request=5,upstream=enrol-1"; also process=NAME.
        since: Show only events at or after this time (ISO 8601, UTC).
        until: Show only events before this time.
        picture: Write the timeline to this HTML file.
        is_followed: Keep showing new events until interrupted.

    """
    event_filter = EventFilter.parse(kind, matching, since, until)
    addresses = split_addresses(processes)
    if is_followed:
        follow_events(addresses, event_filter)
    events = collect_events(addresses, event_filter)
    if picture:
        Path(str(picture)).write_text(render_html(events))
        return f'{len(events)} events were written to {picture}.'
    return '\n'.join(map(format_event, events))
