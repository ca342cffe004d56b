"""The replicated state as the bytes of a snapshot."""

import cbor2

from sardinemast.fleet import FleetImage, FleetState, dump_state, load_state
from sardinemast.wire import dump_plain, load_plain


def encode_snapshot(state: FleetState) -> bytes:
    """Give the whole state as CBOR."""
    return cbor2.dumps(dump_plain(dump_state(state)))


def restore_snapshot(state: FleetState, image: bytes) -> None:
    """Put the state of an image in place of what the state holds.

    The desks of the core share the object, so that it stays the same one.
    """
    found = load_state(load_plain(FleetImage, cbor2.loads(image)))
    state.__dict__.update(found.__dict__)
