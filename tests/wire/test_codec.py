"""Tests of the encoding of messages."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinemast.consensus import MESSAGES, AppendEntries, LogEntry
from sardinemast.jobs import Team
from sardinemast.wire import WireError, decode_envelope, load_plain


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


def test_missing_last_fields_have_their_defaults() -> None:
    """Guard against entries of older versions that cannot be decoded."""
    assert load_plain(Team, ['breizh']) == Team('breizh')
    with pytest.raises(WireError):
        load_plain(Team, [])
