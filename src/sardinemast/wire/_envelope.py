"""Frame every message between processes in an envelope."""

from typing import Any, NamedTuple

import cbor2

from sardinemast.wire._codec import dump_plain, load_cbor, load_plain
from sardinemast.wire.exceptions import WireError

PROTOCOL_VERSION = 1
_MIB_BYTES = 1024 * 1024
MAX_FRAME_BYTES = 8 * _MIB_BYTES


class Envelope(NamedTuple):
    """Hold a message body and the identity of its sender.

    ``wall_ms`` and ``counter`` are the sender's hybrid logical clock.
    """

    version: int
    sender: str
    incarnation: int
    epoch: int
    message_id: int
    wall_ms: int
    counter: int
    body: Any


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope as a CBOR frame."""
    return cbor2.dumps(dump_plain(envelope))


def decode_envelope(frame: bytes) -> Envelope:
    """Decode a frame, or raise ``WireError`` if it is invalid."""
    if len(frame) > MAX_FRAME_BYTES:
        raise WireError(
            'wire.E004', f'The frame of {len(frame)} bytes is too large.'
        )
    envelope = load_plain(Envelope, load_cbor(frame, is_frame=True))
    if envelope.version != PROTOCOL_VERSION:
        raise WireError(
            'wire.E005',
            f'Got protocol version {envelope.version}, not {PROTOCOL_VERSION}.',
            'Run the same release on all instances.',
        )
    return envelope  # type: ignore[no-any-return]
