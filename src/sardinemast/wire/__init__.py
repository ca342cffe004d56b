"""Encode and decode messages between processes and records on disk."""

from sardinemast.wire._codec import (
    MessageSet,
    dump_plain,
    load_plain,
)
from sardinemast.wire._envelope import (
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    Envelope,
    decode_envelope,
    encode_envelope,
)
from sardinemast.wire.exceptions import WireError

__all__ = (
    'MAX_FRAME_BYTES',
    'PROTOCOL_VERSION',
    'Envelope',
    'MessageSet',
    'WireError',
    'decode_envelope',
    'encode_envelope',
    'load_plain',
    'dump_plain',
)
