"""Sizes of pools over time, read from a log."""

from tools.pool_sizes import Move, count_workers, iterate_moves

_LINES = (
    ' 1.0 core-1 {"time": "2026-01-01T00:00:01", "text": "instance.moved", '
    '"subject": "m-1", "from_pool": "a", "to_pool": "off"}',
    '{"time": "2026-01-01T00:00:04", "text": "instance.brought_in", '
    '"subject": "m-1", "to_pool": "b"}',
    '{"time": "2026-01-01T00:00:05", "text": "run.started"}',
    'no record {at all',
)


def test_moves_are_read_among_other_lines() -> None:
    """Lines of other kinds, and words before a record, are passed over."""
    first, second = iterate_moves(_LINES)
    assert (first.from_pool, first.to_pool) == ('a', 'off')
    assert (second.from_pool, second.to_pool) == ('', 'b')
    assert second.at_s - first.at_s == 3


def test_sizes_follow_the_moves() -> None:
    """An instance that was off is taken from no pool."""
    moves = [Move(4, '', 'b'), Move(1, 'a', 'off')]
    assert list(count_workers(moves, usual=8, every_s=2)) == [
        (2, {'a': 7, 'b': 8, 'off': 9}),
        (4, {'a': 7, 'b': 9, 'off': 9}),
    ]
