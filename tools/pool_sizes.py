"""Print the number of workers per pool over time, from the logs of a fleet.

    python -m tools.pool_sizes LOG --usual=8 --every_s=2

Log lines hold a JSON record each, possibly after a prefix. All pools start at
their usual size; instances that fail or are maintained still count.
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
    """Hold an order to move an instance.

    ``from_pool`` is empty if the instance comes from a standby pool.
    """

    at_s: float
    from_pool: str
    to_pool: str


class PoolSizes(NamedTuple):
    """Hold the number of workers per pool at the end of an interval."""

    at_s: float
    workers: dict[str, int]


def iterate_moves(lines: Iterable[str]) -> Iterator[Move]:
    """Return the moves in a log; lines without a record are skipped."""
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
    """Return the pool sizes at the end of each interval with a move."""
    ordered = sorted(moves)
    sizes = Counter(dict.fromkeys(_find_pools(ordered), usual))
    moves_by_interval: dict[int, list[Move]] = defaultdict(list)
    for move in ordered:
        moves_by_interval[int((move.at_s - ordered[0].at_s) // every_s)].append(
            move
        )
    for interval, interval_moves in moves_by_interval.items():
        _, from_pools, to_pools = zip(*interval_moves, strict=True)
        sizes.update(to_pools)
        sizes.subtract(filter(None, from_pools))
        yield PoolSizes((interval + 1) * every_s, dict(sorted(sizes.items())))


def _find_pools(moves: list[Move]) -> set[str]:
    found = {move.from_pool for move in moves}
    found.update(move.to_pool for move in moves)
    return found - {''}


def print_sizes(log: str, usual: int = 8, every_s: float = 2.0) -> None:
    """Print a line for each interval with a move."""
    with Path(log).open() as lines:
        moves = list(iterate_moves(lines))
    for at_s, sizes in count_workers(moves, usual, every_s):
        row = '  '.join(f'{pool} {size}' for pool, size in sizes.items())
        sys.stdout.write(f'{at_s:8.1f} s  {row}\n')


if __name__ == '__main__':
    fire.Fire(print_sizes)
