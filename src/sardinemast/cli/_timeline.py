"""Collect, filter, follow and draw the merged timeline."""

import html
import sys
import time
from collections.abc import Mapping, Sequence
from contextlib import suppress
from datetime import UTC, datetime
from typing import NamedTuple

from sardinemast.cli._client import fetch_either_scheme
from sardinemast.cli.exceptions import UsageError
from sardinemast.timeline import (
    Stamp,
    TimelineEvent,
    format_event,
    merge_events,
)
from sardinemast.wire import load_plain

_POLL_INTERVAL_S = 0.5
_MS_PER_S = 1000
_MAX_TIME_MS = sys.maxsize
_ROW_PX = 22
_LANE_PX = 220
_MARGIN_PX = 40


class EventFilter(NamedTuple):
    """Select events by kind, details and time."""

    kind: str
    details: Mapping[str, str]
    since_ms: int
    until_ms: int

    @classmethod
    def parse(
        cls,
        kind: str,
        matching: str,
        since: str,
        until: str,
    ) -> 'EventFilter':
        """Parse the arguments, or raise ``cli.E006`` or ``cli.E007``."""
        details = {}
        for part in filter(None, str(matching).split(',')):
            name, sign, expected = part.partition('=')
            if not sign:
                raise UsageError(
                    'cli.E006',
                    f'{part!r} is not a valid detail.',
                    'Use NAME=VALUE, separated by commas.',
                )
            details[name.strip()] = expected.strip()
        return cls(
            kind,
            details,
            _parse_time_ms(since, 0),
            _parse_time_ms(until, _MAX_TIME_MS),
        )

    def matches(self, event: TimelineEvent) -> bool:
        """Check whether an event is selected."""
        known = {'process': event.process, **event.details}
        return (
            self.since_ms <= event.stamp.wall_ms < self.until_ms
            and self.kind in {'', event.kind}
            and all(
                str(known.get(name)) == expected
                for name, expected in self.details.items()
            )
        )


def collect_events(
    addresses: Sequence[str],
    event_filter: EventFilter,
) -> list[TimelineEvent]:
    """Merge the selected events of all processes that answer.

    Raises ``OSError`` if none answers. A process that does not answer is
    reported on stderr, since its events are missing from the timeline.
    """
    streams = []
    problems = []
    for address in addresses:
        try:
            streams.append(_fetch_events(address))
        except OSError as error:
            problems.append(f'{address}: {error}')
    if not streams:
        raise OSError('; '.join(problems))
    for problem in problems:
        sys.stderr.write(f'Events are missing: {problem}.\n')
    return list(filter(event_filter.matches, merge_events(*streams)))


def follow_events(addresses: Sequence[str], event_filter: EventFilter) -> None:
    """Print new events until interrupted."""
    last = Stamp(0, 0)
    with suppress(KeyboardInterrupt):
        while True:
            for event in collect_events(addresses, event_filter):
                if event.stamp > last:
                    last = event.stamp
                    sys.stdout.write(f'{format_event(event)}\n')
            sys.stdout.flush()
            time.sleep(_POLL_INTERVAL_S)
    sys.exit(0)


def render_html(events: Sequence[TimelineEvent]) -> str:
    """Return an HTML page with a lane for each process."""
    lanes = sorted({event.process for event in events})
    shapes = [
        *(_draw_lane_title(name, lane) for lane, name in enumerate(lanes)),
        *(
            _draw_event(event, lanes.index(event.process), row)
            for row, event in enumerate(events, start=1)
        ),
    ]
    width_px = _get_x(len(lanes)) + _LANE_PX
    height_px = _ROW_PX * (len(events) + 2)
    return (
        '<!doctype html><meta charset="utf-8"><title>Timeline</title>'
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width_px}" '
        f'height="{height_px}" font-family="monospace" font-size="12">'
        f'{"".join(shapes)}</svg>\n'
    )


def _draw_lane_title(name: str, lane: int) -> str:
    return (
        f'<text x="{_get_x(lane)}" y="{_ROW_PX}" font-weight="bold">'
        f'{html.escape(name)}</text>'
    )


def _fetch_events(address: str) -> list[TimelineEvent]:
    response = fetch_either_scheme(address, '/-/timeline')
    return [load_plain(TimelineEvent, plain) for plain in response['events']]


def _draw_event(event: TimelineEvent, lane: int, row: int) -> str:
    center_px = _ROW_PX * (row + 1)
    occurred_at = datetime.fromtimestamp(event.stamp.wall_ms / _MS_PER_S, UTC)
    details = ' '.join(
        f'{name}={detail}' for name, detail in event.details.items()
    )
    return (
        f'<circle cx="{_get_x(lane)}" cy="{center_px}" r="4" fill="#246"/>'
        f'<text x="{_get_x(lane) + 10}" y="{center_px + 4}">'
        f'<title>{html.escape(details)}</title>'
        f'{occurred_at:%H:%M:%S.%f} {html.escape(event.kind)} '
        f'{html.escape(details)}</text>'
    )


def _get_x(lane: int) -> int:
    return _MARGIN_PX + lane * _LANE_PX


def _parse_time_ms(time_text: str, default_ms: int) -> int:
    if not time_text:
        return default_ms
    try:
        parsed_time = datetime.fromisoformat(str(time_text))
    except ValueError:
        raise UsageError(
            'cli.E007',
            f'{time_text!r} is not a valid time.',
            'Use a format like 2026-12-02T21:30:00.',
        ) from None
    if parsed_time.tzinfo is None:
        parsed_time = parsed_time.replace(tzinfo=UTC)
    return int(parsed_time.timestamp() * _MS_PER_S)
