"""Show how many workers each pool has over time, from the logs of a fleet.

    python -m tools.pool_sizes LOG --usual=8 --every_s=2

Each line of the log holds one JSON record, with or without words before it.
The pools count from their usual sizes; instances that fail or are maintained
are not told apart.
"""

import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import NamedTuple

import fire

_MOVED = 'instance.moved'
_BROUGHT_IN = 'instance.brought_in'


class Move(NamedTuple):
    """Hold when an instance was ordered from one pool to another.

    An instance that is brought in stood by, in a pool that costs nothing.
    """

    at_s: float
    from_pool: str
    to_pool: str


class PoolSizes(NamedTuple):
    """Hold the workers of each pool at the end of a span of time."""

    at_s: float
    workers: dict[str, int]


def iterate_moves(lines: Iterable[str]) -> Iterator[Move]:
    """Give the moves in a log; lines that are no records are passed over."""
    for line in lines:
        _, brace, rest = line.partition('{')
        try:
            record = json.loads(brace + rest)
        except ValueError:
            continue
        if record.get('text') in {_MOVED, _BROUGHT_IN}:
            yield Move(
                datetime.fromisoformat(record['time']).timestamp(),
                record.get('from_pool', ''),
                record['to_pool'],
            )


def count_workers(
    moves: Iterable[Move],
    usual: int,
    every_s: float,
) -> Iterator[PoolSizes]:
    """Give the sizes of all pools at the end of each span with a move."""
    ordered = sorted(moves)
    sizes = Counter(dict.fromkeys(_find_pools(ordered), usual))
    spans: dict[int, list[Move]] = defaultdict(list)
    for move in ordered:
        spans[int((move.at_s - ordered[0].at_s) // every_s)].append(move)
    for span, inside in spans.items():
        _, left, joined = zip(*inside, strict=True)
        sizes.update(joined)
        sizes.subtract(filter(None, left))
        yield PoolSizes((span + 1) * every_s, dict(sorted(sizes.items())))


def _find_pools(moves: list[Move]) -> set[str]:
    found = {move.from_pool for move in moves}
    found.update(move.to_pool for move in moves)
    return found - {''}


def print_sizes(log: str, usual: int = 8, every_s: float = 2.0) -> None:
    """Print a line for each span of time in which something moved."""
    with Path(log).open() as lines:
        moves = list(iterate_moves(lines))
    for at_s, sizes in count_workers(moves, usual, every_s):
        row = '  '.join(f'{pool} {size}' for pool, size in sizes.items())
        sys.stdout.write(f'{at_s:8.1f} s  {row}\n')


if __name__ == '__main__':
    fire.Fire(print_sizes)
