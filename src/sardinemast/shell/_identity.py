"""Identity and clocks of a running process, and framing of messages."""

import time
from typing import Any, NamedTuple

from sardinemast.timeline import HybridClock, Recorder, Stamp
from sardinemast.wire import (
    PROTOCOL_VERSION,
    Envelope,
    decode_envelope,
    encode_envelope,
)

_NS_PER_MS = 1_000_000


class Identity(NamedTuple):
    """Identify one start of a process, and hold its event recorder."""

    name: str
    incarnation: int
    recorder: Recorder


def get_wall_ms() -> int:
    """Return the wall clock time in milliseconds."""
    return time.time_ns() // _NS_PER_MS


def create_identity(name: str) -> Identity:
    """Create the identity of a process that starts now."""
    incarnation = get_wall_ms()
    recorder = Recorder(name, incarnation, HybridClock(get_wall_ms))
    return Identity(name, incarnation, recorder)


def encode_frame(identity: Identity, body: Any) -> bytes:
    """Encode a message with the name and clock of this process."""
    stamp = identity.recorder.clock.stamp()
    return encode_envelope(
        Envelope(
            PROTOCOL_VERSION,
            identity.name,
            identity.incarnation,
            0,
            0,
            stamp.wall_ms,
            stamp.counter,
            body,
        ),
    )


def decode_frame(identity: Identity, frame: Any) -> Envelope:
    """Decode a frame and advance the clock, or raise ``WireError``."""
    envelope = decode_envelope(frame if isinstance(frame, bytes) else b'')
    stamp = Stamp(envelope.wall_ms, envelope.counter)
    identity.recorder.clock.observe(stamp)
    return envelope
