"""Tests of the encoding of messages."""

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinemast.consensus import MESSAGES, AppendEntries, LogEntry
from sardinemast.fleet import COMMANDS
from sardinemast.jobs import DurationKey, DurationSummary, JobRequest, Team
from sardinemast.jobs.commands import SubmitJob
from sardinemast.wire import (
    PROTOCOL_VERSION,
    WireError,
    decode_envelope,
    dump_plain,
    load_plain,
)


def test_nested_records_round_trip() -> None:
    """Guard against losing nested records in a round trip."""
    entries = (LogEntry(1, 1, b'x'),)
    message = AppendEntries(1, 0, 0, entries, 0, 1.5)
    assert MESSAGES.decode(MESSAGES.encode(message)) == message


def test_fields_of_later_versions_have_defaults() -> None:
    """Guard against logs and snapshots that a new version cannot load.

    A record without a field that has no default is not valid.
    """
    request = JobRequest('spec', ())
    command = SubmitJob('j', 'q', 't', request, 7, 5)
    name, fields = COMMANDS.pack(command)
    known = COMMANDS.unpack([name, fields[:-1]])
    assert known == command._replace(first_seen_ms=0)
    for wrong in (fields[:-2], [*fields, 1]):
        with pytest.raises(WireError, match=r'^wire\.E002'):
            COMMANDS.unpack([name, wrong])


@given(st.binary())
def test_arbitrary_bytes_raise_coded_error(frame: bytes) -> None:
    """Guard against uncoded errors when arbitrary bytes are decoded."""
    for decode in (decode_envelope, MESSAGES.decode):
        with pytest.raises(WireError, match=r'^wire\.E00\d'):
            decode(frame)


@pytest.mark.parametrize('number', [2**64, -(2**64) - 1, 10**400])
def test_frame_with_a_huge_integer_raises_coded_error(number: int) -> None:
    """Guard against numbers of strangers that end or stop a process."""
    envelope = (PROTOCOL_VERSION, 'a', 1, 0, 0, 0, 0, number)
    with pytest.raises(WireError, match=r'^wire\.E001'):
        decode_envelope(cbor2.dumps(envelope))


def test_integer_beyond_a_float_raises_coded_error() -> None:
    """Guard against an uncoded error that ends the stream to the leader."""
    with pytest.raises(WireError, match=r'^wire\.E002'):
        load_plain(float, 10**400)


def test_missing_last_fields_have_their_defaults() -> None:
    """Guard against entries of older versions that cannot be decoded."""
    assert load_plain(Team, ['breizh']) == Team('breizh')
    with pytest.raises(WireError):
        load_plain(Team, [])


def test_only_fields_with_defaults_may_be_missing() -> None:
    """Guard against records of older versions that can't be loaded.

    A record without a required field, or with more fields, is still refused.
    """
    summary = DurationSummary(DurationKey('queue'))
    plain = dump_plain(summary)
    assert load_plain(DurationSummary, plain[:1]) == summary
    for wrong in (plain[:0], [*plain, 0]):
        with pytest.raises(WireError, match=r'^wire\.E002'):
            load_plain(DurationSummary, wrong)
