"""Tests of the encoding of messages."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinemast.consensus import MESSAGES, AppendEntries, LogEntry
from sardinemast.wire import WireError, decode_envelope


def test_nested_records_round_trip() -> None:
    """Guard against losing nested records in a round trip."""
    entries = (LogEntry(1, 1, b'x'),)
    message = AppendEntries(1, 0, 0, entries, 0, 1.5)
    assert MESSAGES.decode(MESSAGES.encode(message)) == message


@given(st.binary())
def test_arbitrary_bytes_raise_coded_error(frame: bytes) -> None:
    """Guard against uncoded errors when arbitrary bytes are decoded."""
    for decode in (decode_envelope, MESSAGES.decode):
        with pytest.raises(WireError, match=r'^wire\.E00\d'):
            decode(frame)
