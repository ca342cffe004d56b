"""Streams from a control process to its peers."""

import asyncio

from sardinemast.conf import Address, ProcessSettings
from sardinemast.consensus import SendMessage, pack_routed_message
from sardinemast.shell._identity import Identity
from sardinemast.shell._security import Access
from sardinemast.shell._websockets import PeerSender


class PeerSenders:
    """Keep a stream to each peer, including peers that join later.

    In a cluster the name of a replica is its host, so the address of a peer
    that joins follows from its name.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        identity: Identity,
        access: Access,
    ) -> None:
        self._identity = identity
        self._access = access
        self._cluster = settings.cluster
        self._addresses = {
            one.name: one.peer
            for one in settings.controls
            if one.name != settings.name
        }
        self._senders: dict[str, PeerSender] = {}
        self._tasks: asyncio.TaskGroup | None = None

    def start(self, tasks: asyncio.TaskGroup) -> None:
        """Connect to the peers named in the settings."""
        self._tasks = tasks
        for name in self._addresses:
            self._get_sender(name)

    def send(self, output: SendMessage) -> None:
        """Send a message to a peer, or drop it if its address is unknown."""
        sender = self._get_sender(output.to)
        if sender is not None:
            sender.send(pack_routed_message(output))

    def _get_sender(self, name: str) -> PeerSender | None:
        sender = self._senders.get(name)
        address = self._find_address(name)
        if sender is None and address is not None and self._tasks is not None:
            sender = PeerSender(self._identity, address, self._access)
            self._senders[name] = sender
            self._tasks.create_task(sender.run())
        return sender

    def _find_address(self, name: str) -> Address | None:
        known = self._addresses.get(name)
        if known is not None or self._cluster is None:
            return known
        return Address(name, self._cluster.own.peer.port)
