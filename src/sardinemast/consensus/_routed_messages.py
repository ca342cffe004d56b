"""Pack and unpack messages between replicas with their route."""

from typing import Any

from sardinemast.consensus._events import MessageReceived, Route, SendMessage
from sardinemast.consensus._messages import MESSAGES
from sardinemast.wire import WireError, dump_plain, load_plain

_PARTS = 2


def pack_routed_message(output: SendMessage) -> list[Any]:
    """Return route and message as plain values."""
    return [dump_plain(output.route), MESSAGES.pack(output.message)]


def unpack_routed_message(sender: str, plain: Any) -> MessageReceived:
    """Return the event for the receiver, or raise ``WireError``."""
    if not isinstance(plain, list) or len(plain) != _PARTS:
        raise WireError('wire.E002', 'Expected a list of route and message.')
    route = load_plain(Route, plain[0])
    return MessageReceived(sender, MESSAGES.unpack(plain[1]), route)
