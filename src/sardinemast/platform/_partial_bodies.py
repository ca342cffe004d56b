"""Decode bodies in which some entries cannot be decoded.

An entry may come from another writer. It must not hide the others.
"""

import msgspec

from sardinemast.platform._decoding import DECODE_ERRORS, decode
from sardinemast.platform._splitting import split_array, split_object
from sardinemast.platform._worker_bodies import InstancesBody


def decode_instances(body: bytes) -> InstancesBody:
    """Decode a page of the list of instances, or raise ``DECODE_ERRORS``."""
    try:
        return decode(body, InstancesBody)  # type: ignore[no-any-return]
    except DECODE_ERRORS:
        fields = split_object(body)
    entries = split_array(fields.get('machines', b'[]'))
    return {
        'machines': [msgspec.Raw(entry) for entry in entries],
        'next_token': decode(fields.get('next_token', b'null'), str | None),
    }
