"""The merged time line: collected, filtered, followed, drawn."""

import html
import sys
import time
from collections.abc import Mapping, Sequence
from contextlib import suppress
from datetime import UTC, datetime
from typing import NamedTuple

from sardinemast.cli._client import fetch_any_scheme
from sardinemast.cli.exceptions import UsageError
from sardinemast.timeline import (
    Stamp,
    TimelineEvent,
    format_event,
    merge_events,
)
from sardinemast.wire import load_plain

_POLL_S = 0.5
_MS_PER_S = 1000
_LAST_MS = sys.maxsize
_ROW_PX = 22
_LANE_PX = 220
_MARGIN_PX = 40


class Filter(NamedTuple):
    """Say which events are wanted."""

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
    ) -> 'Filter':
        """Read the command line's words, or raise ``cli.E006``."""
        details = {}
        for part in filter(None, str(matching).split(',')):
            name, sign, wanted = part.partition('=')
            if not sign:
                raise UsageError(
                    'cli.E006',
                    f'{part!r} is no detail.',
                    'Give NAME=VALUE, several with commas between.',
                )
            details[name.strip()] = wanted.strip()
        return cls(
            kind,
            details,
            _parse_moment(since, 0),
            _parse_moment(until, _LAST_MS),
        )

    def is_wanted(self, event: TimelineEvent) -> bool:
        """Tell whether an event is wanted."""
        known = {'process': event.process, **event.details}
        return (
            self.since_ms <= event.stamp.wall_ms < self.until_ms
            and self.kind in {'', event.kind}
            and all(
                str(known.get(name)) == wanted
                for name, wanted in self.details.items()
            )
        )


def collect_events(
    addresses: Sequence[str],
    wanted: Filter,
) -> list[TimelineEvent]:
    """Merge the wanted events of all processes that answer.

    Raises ``OSError`` where none answers. One that is down is named on
    stderr, so that a gap in the time line is not taken for silence.
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
        sys.stderr.write(f'No events of {problem}.\n')
    return list(filter(wanted.is_wanted, merge_events(*streams)))


def follow_events(addresses: Sequence[str], wanted: Filter) -> None:
    """Show new events until interrupted."""
    last = Stamp(0, 0)
    with suppress(KeyboardInterrupt):
        while True:
            for event in collect_events(addresses, wanted):
                if event.stamp > last:
                    last = event.stamp
                    sys.stdout.write(f'{format_event(event)}\n')
            sys.stdout.flush()
            time.sleep(_POLL_S)
    sys.exit(0)


def draw_picture(events: Sequence[TimelineEvent]) -> str:
    """Give one HTML file with a lane for each process."""
    lanes = sorted({event.process for event in events})
    shapes = [
        *(_draw_head(name, lane) for lane, name in enumerate(lanes)),
        *(
            _draw_event(event, lanes.index(event.process), row)
            for row, event in enumerate(events, start=1)
        ),
    ]
    width_px = _get_x(len(lanes)) + _LANE_PX
    height_px = _ROW_PX * (len(events) + 2)
    return (
        '<!doctype html><meta charset="utf-8"><title>Time line</title>'
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width_px}" '
        f'height="{height_px}" font-family="monospace" font-size="12">'
        f'{"".join(shapes)}</svg>\n'
    )


def _draw_head(name: str, lane: int) -> str:
    return (
        f'<text x="{_get_x(lane)}" y="{_ROW_PX}" font-weight="bold">'
        f'{html.escape(name)}</text>'
    )


def _fetch_events(address: str) -> list[TimelineEvent]:
    found = fetch_any_scheme(address, '/-/timeline')
    return [load_plain(TimelineEvent, one) for one in found['events']]


def _draw_event(event: TimelineEvent, lane: int, row: int) -> str:
    center_px = _ROW_PX * (row + 1)
    moment = datetime.fromtimestamp(event.stamp.wall_ms / _MS_PER_S, UTC)
    details = ' '.join(f'{name}={one}' for name, one in event.details.items())
    return (
        f'<circle cx="{_get_x(lane)}" cy="{center_px}" r="4" fill="#246"/>'
        f'<text x="{_get_x(lane) + 10}" y="{center_px + 4}">'
        f'<title>{html.escape(details)}</title>'
        f'{moment:%H:%M:%S.%f} {html.escape(event.kind)} '
        f'{html.escape(details)}</text>'
    )


def _get_x(lane: int) -> int:
    return _MARGIN_PX + lane * _LANE_PX


def _parse_moment(shown: str, default_ms: int) -> int:
    if not shown:
        return default_ms
    try:
        moment = datetime.fromisoformat(str(shown))
    except ValueError:
        raise UsageError(
            'cli.E007',
            f'{shown!r} is no moment.',
            'Give it like 2026-12-02T21:30:00.',
        ) from None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=UTC)
    return int(moment.timestamp() * _MS_PER_S)
