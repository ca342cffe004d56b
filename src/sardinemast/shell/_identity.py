"""What a running process is called, and its clocks."""

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
    """Name a process and one start of it."""

    name: str
    incarnation: int
    recorder: Recorder


def get_wall_ms() -> int:
    """Give the wall clock in milliseconds."""
    return time.time_ns() // _NS_PER_MS


def create_identity(name: str) -> Identity:
    """Make the identity of a process that starts now."""
    incarnation = get_wall_ms()
    recorder = Recorder(name, incarnation, HybridClock(get_wall_ms))
    return Identity(name, incarnation, recorder)


def encode_frame(identity: Identity, body: Any) -> bytes:
    """Put a body into a frame of this process."""
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
    """Read a frame, or raise ``WireError``; later events follow it."""
    envelope = decode_envelope(frame if isinstance(frame, bytes) else b'')
    stamp = Stamp(envelope.wall_ms, envelope.counter)
    identity.recorder.clock.observe(stamp)
    return envelope
