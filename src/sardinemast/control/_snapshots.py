"""Encoding of the replicated state in snapshots."""

import cbor2

from sardinemast.fleet import FleetImage, FleetState, dump_state, load_state
from sardinemast.wire import dump_plain, load_plain


def encode_snapshot(state: FleetState) -> bytes:
    """Return the whole state as CBOR."""
    return cbor2.dumps(dump_plain(dump_state(state)))


def restore_snapshot(state: FleetState, image: bytes) -> None:
    """Replace the contents of a state by those of a snapshot.

    The object stays the same, since the parts of the core share it.
    """
    found = load_state(load_plain(FleetImage, cbor2.loads(image)))
    state.__dict__.update(found.__dict__)
