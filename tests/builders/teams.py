"""Simulated control processes and entries that enforce a team's limit."""

from collections import deque
from random import Random
from typing import Any, NamedTuple

from builders.fleets import KEY_DIGEST
from sardinemast import consensus, control, entry
from sardinemast.fleet import (
    ApplyDocument,
    AssignInstance,
    FleetDocument,
    GrantKey,
    Pool,
    Site,
    Team,
)
from sardinemast.membership import Announcement
from sardinemast.protocol import NotLeader

TEAM = 'petits-pixels'
POOL = 'enrolment'
_NAMES = ('control-1', 'control-2', 'control-3')


def make_limit_document(limit: int, run_bound_s: float = 5) -> FleetDocument:
    """Return a document whose only team has the limit."""
    return FleetDocument(
        sites={'rennes': Site('rennes', 'brittany')},
        pools={POOL: Pool(POOL, slots=8, run_bound_s=run_bound_s)},
        teams={TEAM: Team(TEAM, 1, limit)},
        site_pools={},
    )


class Controls:
    """Simulate three control cores and deliver messages between them.

    While ``holds_messages``, messages are queued. Timeouts are long enough
    for a test to advance in steps of a second.
    """

    def __init__(self) -> None:
        self.cores = {
            name: control.ControlCore(
                control.ControlSettings(
                    consensus.ReplicaSettings(name, _NAMES, 1, 6, 5),
                ),
                consensus.HardState(),
                (),
                Random(number),
            )
            for number, name in enumerate(_NAMES)
        }
        self.frozen: set[str] = set()
        self.holds_messages = False
        self.sent_to_entries: list[control.SendToEntry] = []
        self.answers: list[control.AnswerOperator] = []
        self._queued_messages: deque[
            tuple[str, control.PeerMessageReceived]
        ] = deque()

    def get_leader(self, now_s: float) -> str:
        """Return the name of the leader, or an empty string."""
        for name, core in self.cores.items():
            if name not in self.frozen and core.is_leader(now_s):
                return name
        return ''

    def step(self, name: str, event: Any, now_s: float) -> None:
        """Pass an event to one core, then deliver messages between cores."""
        if name in self.frozen:
            return
        self._handle_outputs(name, self.cores[name].step(event, now_s))
        self.deliver(now_s)

    def tick(self, now_s: float) -> None:
        """Tick all cores that are not frozen."""
        for name in _NAMES:
            self.step(name, control.Tick(), now_s)

    def deliver(self, now_s: float) -> None:
        """Deliver messages between cores until the queue is empty."""
        while self._queued_messages and not self.holds_messages:
            name, event = self._queued_messages.popleft()
            if name not in self.frozen:
                self._handle_outputs(name, self.cores[name].step(event, now_s))

    def _handle_outputs(
        self, name: str, outputs: list[control.ControlOutput]
    ) -> None:
        for output in outputs:
            if isinstance(output, consensus.SendMessage):
                event = control.PeerMessageReceived(name, output.message)
                self._queued_messages.append((output.to, event))
            elif isinstance(output, control.SendToEntry):
                self.sent_to_entries.append(output)
            elif isinstance(output, control.AnswerOperator):
                self.answers.append(output)


class Stream:
    """Messages in flight between an entry and a control process."""

    def __init__(self, stream_id: int, control_name: str) -> None:
        self.stream_id = stream_id
        self.control_name = control_name
        self.to_control: deque[Any] = deque()
        self.to_entry: deque[Any] = deque()


class Work(NamedTuple):
    """A request that an upstream is running."""

    node: 'Node'
    request_id: int
    until_s: float
    timeout_at_s: float


class Node:
    """Simulate one incarnation of an entry and its stream."""

    def __init__(self, name: str, incarnation: int) -> None:
        self.name = name
        self.incarnation = incarnation
        self.core = entry.EntryCore(
            entry.EntrySettings(name, incarnation, 'rennes'),
        )
        self.stream: Stream | None = None
        self.is_frozen = False

    def step(self, event: Any, now_s: float) -> list[entry.EntryOutput]:
        """Pass an event to the core and queue its messages on the stream."""
        outputs = self.core.step(event, now_s)
        for output in outputs:
            if isinstance(output, entry.SendToControl) and self.stream:
                self.stream.to_control.append(output.message)
        return outputs

    def receive_from_control(self, now_s: float) -> list[entry.EntryOutput]:
        """Receive one message from the control process."""
        assert self.stream is not None
        message = self.stream.to_entry.popleft()
        if isinstance(message, NotLeader):
            self.stream = None
            return self.step(entry.ControlDisconnected(), now_s)
        return self.step(entry.ControlReceived(message), now_s)


def make_setup_commands(limit: int) -> tuple[Any, ...]:
    """Return commands that add the document, a key and an instance."""
    return (
        ApplyDocument('c1', 0, make_limit_document(limit)),
        GrantKey('c2', 'k1', TEAM, KEY_DIGEST),
        AssignInstance('', 'enrol-1', POOL),
    )


def make_serving_upstream() -> Announcement:
    """Return the announcement of the only upstream."""
    return Announcement(
        'enrol-1', 1, POOL, '127.0.0.1', 9001, 'rennes', 'rack-1'
    )
