"""Timestamps that processes receive from others."""

import pytest

from sardinemast.timeline import HybridClock, Stamp

_NOW_MS = 1_000_000


@pytest.mark.parametrize(
    'odd', [Stamp(2**63, 0), Stamp(_NOW_MS + 10**8, 0), Stamp(_NOW_MS, 2**63)]
)
def test_stamp_that_no_clock_shows_is_ignored(odd: Stamp) -> None:
    """Guard against one odd stamp that all processes show from then on."""
    clock = HybridClock(lambda: _NOW_MS)
    clock.observe(odd)
    assert clock.stamp() == Stamp(_NOW_MS, 0)


def test_stamp_of_a_clock_that_is_ahead_is_followed() -> None:
    """Guard against a response that precedes its request on the timeline."""
    clock = HybridClock(lambda: _NOW_MS)
    clock.observe(Stamp(_NOW_MS + 60_000, 3))
    assert clock.stamp() == Stamp(_NOW_MS + 60_000, 4)
