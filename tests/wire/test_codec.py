"""Encoding of messages."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinemast.consensus import MESSAGES, AppendEntries, LogEntry
from sardinemast.wire import WireError, decode_envelope


def test_nested_records_come_back() -> None:
    """A message with records in it is the same after its way."""
    entries = (LogEntry(1, 1, b'x'),)
    message = AppendEntries(1, 0, 0, entries, 0, 1.5)
    assert MESSAGES.decode(MESSAGES.encode(message)) == message


@given(st.binary())
def test_noise_is_refused_with_a_code(frame: bytes) -> None:
    """Bytes that are no message raise one error with a code."""
    for decode in (decode_envelope, MESSAGES.decode):
        with pytest.raises(WireError, match=r'^wire\.E00\d'):
            decode(frame)
