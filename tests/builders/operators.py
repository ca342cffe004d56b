"""Simulated control processes and entries joined by streams."""

from collections import deque
from collections.abc import Iterable
from random import Random
from typing import Any

from sardinemast import consensus, control, entry
from sardinemast.fleet import Command
from sardinemast.protocol import ControlMessage, EntryMessage, NotLeader

TICK_S = 0.1


class Process:
    """Simulate one incarnation of an entry, its clock and its stream."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        clock_rate: float = 1.0,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.core = entry.EntryCore(
            entry.EntrySettings(name, incarnation, 'rennes'),
        )
        self.highest_index = 0
        self.stream_id: int | None = None
        self.is_frozen = False
        self.is_cut = False
        self.is_slow = False
        self.to_entry: deque[ControlMessage] = deque()
        self.to_control: deque[EntryMessage] = deque()
        self.received_messages: list[ControlMessage] = []
        self._clock_rate = clock_rate

    def get_time_s(self, now_s: float) -> float:
        """Return the time on this process's clock."""
        return now_s * self._clock_rate

    def is_serving(self, now_s: float) -> bool:
        """Check whether the entry would accept a request now."""
        return self.core.is_ready(self.get_time_s(now_s))

    def step(self, event: entry.EntryEvent, now_s: float) -> None:
        """Pass an event to the core and queue its messages."""
        outputs = self.core.step(event, self.get_time_s(now_s))
        if self.stream_id is not None:
            self.to_control.extend(
                output.message
                for output in outputs
                if isinstance(output, entry.SendToControl)
            )

    def take_next(self, now_s: float) -> None:
        """Receive the next message of the stream."""
        message = self.to_entry.popleft()
        self.received_messages.append(message)
        self.step(entry.ControlReceived(message), now_s)


class Leader:
    """Simulate a single voter, which can restart from its log."""

    def __init__(self) -> None:
        self.log: list[consensus.LogEntry] = []
        self.hard_state = consensus.HardState()
        self.answers: list[control.AnswerOperator] = []
        self._keys_at: dict[int, set[str]] = {0: set()}
        self.start()

    def start(self) -> None:
        """Start a control core from the stored log and hard state."""
        self.core = control.ControlCore(
            control.ControlSettings(
                consensus.ReplicaSettings(
                    'control-1',
                    ('control-1',),
                    election_timeout_s=0.2,
                    lease_s=0.15,
                ),
            ),
            self.hard_state,
            tuple(self.log),
            Random(1),
        )

    def step(
        self,
        event: control.ControlEvent,
        now_s: float,
    ) -> Iterable[control.SendToEntry]:
        """Pass an event to the core, store its log, return its messages."""
        sent = []
        for output in self.core.step(event, now_s):
            if isinstance(output, control.SendToEntry):
                sent.append(output)
            elif isinstance(output, control.AnswerOperator):
                self.answers.append(output)
            elif isinstance(output, consensus.AppendToLog):
                first = output.entries[0].log_index
                self.log = [*self.log[: first - 1], *output.entries]
            elif isinstance(output, consensus.SaveHardState):
                self.hard_state = output.hard_state
        state = self.core.state
        self._keys_at.setdefault(state.log_index, set(state.keys_by_id))
        return sent

    def get_keys(self, log_index: int) -> set[str]:
        """Return the ids of the keys in force at a log index."""
        while log_index not in self._keys_at:
            log_index -= 1
        return self._keys_at[log_index]


class Cluster:
    """Connect a leader and entries by streams that can be cut or slow."""

    def __init__(self) -> None:
        self.now_s: float = 0
        self.leader = Leader()
        self.processes: list[Process] = []
        self._stream_count = 0

    def add(self, process: Process) -> Process:
        """Start an entry."""
        self.processes.append(process)
        return process

    def step_leader(self, event: control.ControlEvent) -> None:
        """Pass an event to the leader and queue its messages on streams."""
        for output in self.leader.step(event, self.now_s):
            for process in self.processes:
                if process.stream_id == output.stream_id:
                    process.to_entry.append(output.message)

    def ask(self, request_id: int, command: Command, wall_s: float = 0) -> None:
        """Send an operator's command."""
        self.step_leader(control.CommandRequested(request_id, command, wall_s))

    def advance(self, duration_s: float, tick_s: float = TICK_S) -> None:
        """Advance the time and deliver messages on working streams."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s = min(end_s, self.now_s + tick_s)
            self.step_leader(control.Tick())
            for process in list(self.processes):
                self._run(process)

    def cut(self, process: Process, keep: int = 0) -> None:
        """Disconnect an entry after delivering ``keep`` queued messages."""
        while process.to_entry and keep > 0:
            process.take_next(self.now_s)
            keep -= 1
        process.to_entry.clear()
        process.to_control.clear()
        if process.stream_id is not None:
            stream_id = process.stream_id
            process.stream_id = None
            process.step(entry.ControlDisconnected(), self.now_s)
            self.step_leader(control.EntryDisconnected(stream_id))

    def replace_leader(self) -> None:
        """Drop all streams and start a new leader from the log."""
        for process in self.processes:
            process.stream_id = None
            process.to_control.clear()
        self.leader.start()

    def _run(self, process: Process) -> None:
        self._deliver_up(process)
        if process.is_frozen:
            return
        if process.stream_id is None and not process.is_cut:
            self._connect(process)
        while process.to_entry and not process.is_slow:
            if isinstance(process.to_entry[0], NotLeader):
                self.cut(process)
                return
            process.take_next(self.now_s)
        process.step(entry.Tick(), self.now_s)
        self._deliver_up(process)

    def _deliver_up(self, process: Process) -> None:
        while process.to_control and process.stream_id and not process.is_cut:
            event = control.EntryMessageReceived(
                process.stream_id,
                process.to_control.popleft(),
            )
            self.step_leader(event)

    def _connect(self, process: Process) -> None:
        process.to_entry.clear()
        self._stream_count += 1
        process.stream_id = self._stream_count
        self.step_leader(
            control.EntryConnected(
                process.stream_id,
                process.name,
                process.incarnation,
            ),
        )


def get_answer(cluster: Cluster, request_id: int) -> Any:
    """Return the answer to an operator's request, or None."""
    for answer in cluster.leader.answers:
        if answer.request_id == request_id:
            return answer.answer
    return None
