"""Pool sizes over time, computed from a log."""

from tools.pool_sizes import Move, count_workers, iterate_moves

_LINES = (
    ' 1.0 core-1 {"time": "2026-01-01T00:00:01", "text": "instance.moved", '
    '"subject": "m-1", "from_pool": "a", "to_pool": "off"}',
    '{"time": "2026-01-01T00:00:04", "text": "instance.brought_in", '
    '"subject": "m-1", "to_pool": "b"}',
    '{"time": "2026-01-01T00:00:05", "text": "run.started"}',
    'no record {at all',
)


def test_iterate_moves_skips_other_lines() -> None:
    """Guard against failing on lines without a move or with a prefix."""
    first, second = iterate_moves(_LINES)
    assert (first.from_pool, first.to_pool) == ('a', 'off')
    assert (second.from_pool, second.to_pool) == ('', 'b')
    assert second.at_s - first.at_s == 3


def test_count_workers_follows_moves() -> None:
    """Guard against subtracting a standby instance from a pool."""
    moves = [Move(4, '', 'b'), Move(1, 'a', 'off')]
    assert list(count_workers(moves, usual=8, every_s=2)) == [
        (2, {'a': 7, 'b': 8, 'off': 9}),
        (4, {'a': 7, 'b': 9, 'off': 9}),
    ]
