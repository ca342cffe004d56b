"""Simulated entries that share idempotency keys over a network."""

from typing import NamedTuple

from sardinemast.idempotency import (
    ClaimDecided,
    ClaimRequested,
    IdempotencyCore,
    IdempotencyEvent,
    Member,
    PeerMessage,
    PeerReceived,
    RequestEnded,
    SendToPeer,
    Tick,
    View,
    ViewChanged,
)

NAMES = ('entry-1', 'entry-2', 'entry-3', 'entry-4')
MAX_DURATION_S = 30.0


class Envelope(NamedTuple):
    """A message in flight."""

    sender: Member
    to: str
    message: PeerMessage


class Node:
    """One incarnation of an entry."""

    def __init__(self, own: Member, now_s: float) -> None:
        self.own = own
        self.core = IdempotencyCore(own, now_s)
        self.applied = 0
        self.held: dict[int, bytes] = {}


class Entries:
    """Simulate entries, their log of registrations and their network."""

    def __init__(self) -> None:
        self.now_s = 1000.0
        self.log: list[Member] = []
        self.nodes: dict[str, Node] = {}
        self.in_flight: list[Envelope] = []
        self.decided: dict[int, ClaimDecided] = {}
        self.last_request = 0

    def start(self, name: str, *, sees_log: bool = True) -> None:
        """Start a new incarnation of an entry with empty state."""
        own = Member(name, len(self.log) + 1)
        self.log.append(own)
        self.nodes[name] = Node(own, self.now_s)
        if sees_log:
            self.catch_up(name)

    def catch_up(self, name: str) -> None:
        """Apply the whole log at an entry."""
        node = self.nodes[name]
        node.applied = len(self.log)
        newest = {member.entry: member for member in self.log}
        view = View(node.applied, tuple(newest.values()))
        self.feed(name, ViewChanged(view))

    def feed(self, name: str, event: IdempotencyEvent) -> None:
        """Pass an event to an entry and collect its outputs."""
        node = self.nodes[name]
        for output in node.core.step(event, self.now_s):
            if isinstance(output, SendToPeer):
                self.in_flight.append(
                    Envelope(node.own, output.entry, output.message)
                )
            else:
                self.decided[output.request_id] = output

    def claim(self, name: str, key: bytes, content: bytes = b'c') -> int:
        """Claim a key at an entry and return the request's id."""
        self.last_request += 1
        request_id = self.last_request
        self.feed(
            name, ClaimRequested(request_id, key, content, MAX_DURATION_S)
        )
        return request_id

    def end(self, name: str, known: RequestEnded) -> None:
        """Pass the outcome of a granted request to an entry."""
        self.feed(name, known)

    def deliver(self, envelope: Envelope) -> None:
        """Deliver a message if its recipient is running."""
        if envelope.to in self.nodes:
            self.feed(
                envelope.to, PeerReceived(envelope.sender, envelope.message)
            )

    def deliver_between(self, first: str, second: str) -> None:
        """Deliver the messages in flight from one entry to another."""
        chosen = [
            sent
            for sent in self.in_flight
            if (sent.sender.entry, sent.to) == (first, second)
        ]
        for envelope in chosen:
            self.in_flight.remove(envelope)
            self.deliver(envelope)

    def settle(self, *names: str) -> None:
        """Deliver all messages; tick the named entries, or all by default."""
        for _ in range(5):
            for name in names or tuple(self.nodes):
                self.feed(name, Tick())
            while self.in_flight:
                self.deliver(self.in_flight.pop(0))
            self.now_s += 0.11
