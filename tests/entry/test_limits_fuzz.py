"""Stateful fuzz test of a team's limit under failures of all processes."""

from itertools import count

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from builders.fleets import KEY_DIGEST
from builders.teams import (
    POOL,
    Controls,
    Node,
    Stream,
    Work,
    make_limit_document,
    make_serving_upstream,
    make_setup_commands,
)
from sardinemast import control, entry
from sardinemast.admission import Arrival, RunOutcome
from sardinemast.fleet import ApplyDocument

_ENTRIES = ('entry-1', 'entry-2', 'entry-3')
_NODE = st.sampled_from(range(len(_ENTRIES)))
_ANY = st.integers(0, 99)
_MIN_STEPS_BETWEEN_FAILURES = 4
_FAILURES = (
    'freeze',
    'kill',
    'reconnect',
    'notice cut',
    'late message',
    'hold replication',
    'change leader',
    'long cut',
)


class LimitMachine(RuleBasedStateMachine):
    """Let entries serve one team while processes and streams fail.

    The model tracks which attempts started and ended and which limits may be
    in force. A team must never run more than the highest of them.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s: float = 0
        self.ids = count(1)
        self.controls = Controls()
        self.streams: dict[int, tuple[Node, Stream]] = {}
        self.nodes: list[Node] = []
        self.running: list[Work] = []
        self.pending: list[Work] = []
        self.started: set[tuple[str, int, int]] = set()
        self.answered: set[tuple[str, int, int]] = set()
        self.limits: dict[int, int] = {}
        self.slow_streams: set[int] = set()
        self.steps_since_failure = 0
        self._announced_s: float = 0
        self._announced = entry.UpstreamAnnounced(make_serving_upstream())

    @initialize(limit=st.integers(1, 3))
    def set_up(self, limit: int) -> None:
        """Elect a leader, apply the document and connect all entries."""
        while not self.controls.get_leader(self.now_s):
            self._advance(1)
        for command in make_setup_commands(limit):
            self._ask(command)
        self.nodes = [Node(name, 1) for name in _ENTRIES]
        self.limits = {0: limit}
        for node in self.nodes:
            self._connect(node)
        self.deliver_all()
        self._advance(0.3)

    @rule(index=_NODE, requests=st.integers(1, 5), is_short=st.booleans())
    def send_requests(self, index: int, requests: int, is_short: bool) -> None:
        """Send requests to an entry."""
        node = self.nodes[index]
        for _ in range(requests):
            arrival = Arrival(
                next(self.ids), POOL, KEY_DIGEST, False, 3 if is_short else 9, 1
            )
            if not node.is_frozen:
                self._step(node, entry.RequestArrived(arrival))

    @rule(choice=_ANY, result=st.sampled_from(entry.AttemptResult))
    def end_attempt(self, choice: int, result: entry.AttemptResult) -> None:
        """End an attempt; after some results the upstream keeps running."""
        known = [one for one in self.pending if not one.node.is_frozen]
        if not known:
            return
        work = known[choice % len(known)]
        has_ended = result in {
            entry.AttemptResult.answered,
            # A complete answer with an error status: the run has ended.
            entry.AttemptResult.failed,
            entry.AttemptResult.not_sent,
        }
        if has_ended and work in self.running:
            self.running.remove(work)
        if result is entry.AttemptResult.not_sent:
            self.started.discard(
                self._get_request_key(work.node, work.request_id)
            )
        self._end(work, result)

    @rule(choice=_ANY)
    def disconnect_caller(self, choice: int) -> None:
        """Disconnect a caller."""
        node = self.nodes[choice % len(self.nodes)]
        if not node.is_frozen:
            self._step(node, entry.CallerDisconnected(choice))

    @rule(time_s=st.sampled_from((0.02, 0.3, 1.0, 3.0)))
    def wait(self, time_s: float) -> None:
        """Let time pass."""
        self._advance(time_s)

    @rule(index=_NODE, messages=st.integers(1, 4), is_to_control=st.booleans())
    def deliver_some(
        self, index: int, messages: int, is_to_control: bool
    ) -> None:
        """Deliver a few messages of one stream in one direction."""
        node = self.nodes[index]
        for _ in range(messages):
            if node.stream is not None and is_to_control:
                self._deliver_to_control(node.stream)
            elif node.stream is not None:
                self._deliver_to_entry(node, node.stream)

    @rule(index=_NODE)
    def toggle_slow_stream(self, index: int) -> None:
        """Toggle whether a stream delivers only through ``deliver_some``."""
        self.slow_streams ^= {index}

    @rule(requests=st.integers(1, 3), time_s=st.sampled_from((0.02, 0.3)))
    def send_requests_to_all(self, requests: int, time_s: float) -> None:
        """Send requests to all entries, so that they compete for units."""
        for index, _ in enumerate(self.nodes):
            self.send_requests(index, requests, is_short=False)
        self._advance(time_s)

    @precondition(
        lambda machine: (
            machine.steps_since_failure >= _MIN_STEPS_BETWEEN_FAILURES
        )
    )
    @rule(kind=st.sampled_from(_FAILURES), index=_NODE, choice=_ANY)
    def inject_failure(self, kind: str, index: int, choice: int) -> None:
        """Inject a failure, rarely enough that requests still run."""
        self.steps_since_failure = 0
        node = self.nodes[index]
        if kind == 'freeze':
            node.is_frozen = not node.is_frozen
        elif kind == 'kill':
            self.nodes[index] = Node(node.name, node.incarnation + 1)
            node.is_frozen = True
        elif kind == 'reconnect' and not node.is_frozen:
            self._connect(node)
        elif kind == 'notice cut':
            self._close_stream_at_control(choice)
        elif kind == 'late message' and self.streams:
            ids = sorted(self.streams)
            self._deliver_to_control(self.streams[ids[choice % len(ids)]][1])
        elif kind == 'hold replication':
            self.controls.holds_messages = not self.controls.holds_messages
            self.controls.deliver(self.now_s)
        elif kind == 'change leader':
            self._change_leader()
        elif kind == 'long cut':
            self._cut_off_entry(index, choice)

    @rule(time_s=st.sampled_from((0.3, 3.0)))
    def recover(self, time_s: float) -> None:
        """End all failures and let time pass."""
        self.controls.holds_messages = False
        self.controls.deliver(self.now_s)
        self._queue_sent_messages()
        self.slow_streams.clear()
        for node in self.nodes:
            node.is_frozen = False
        self.deliver_all()
        while not self.controls.get_leader(self.now_s):
            self._advance(1)
        self._advance(time_s)

    @rule(
        limit=st.sampled_from((1, 2, 3, 3, 0)),
        run_bound_s=st.sampled_from((1, 5)),
    )
    def change_limit(self, limit: int, run_bound_s: float) -> None:
        """Apply another limit and another run bound."""
        leader = self.controls.get_leader(self.now_s)
        if leader:
            version = self.controls.cores[leader].state.version
            document = make_limit_document(limit, run_bound_s)
            request_id = next(self.ids)
            self.limits[request_id] = limit
            self._ask(
                ApplyDocument(f'd{request_id}', version, document),
                request_id,
            )

    @invariant()
    def count_steps_since_failure(self) -> None:
        """Count steps since the last failure."""
        self.steps_since_failure += 1

    @invariant()
    def deliver_all(self) -> None:
        """Deliver all messages of streams that are not slow."""
        for index, node in enumerate(self.nodes):
            if not (node.is_frozen or node.stream):
                self._connect(node)
            while (
                index not in self.slow_streams
                and node.stream
                and not node.is_frozen
            ):
                stream = node.stream
                if not (stream.to_control or stream.to_entry):
                    break
                self._deliver_to_control(stream)
                self._deliver_to_entry(node, stream)

    @invariant()
    def update_limits(self) -> None:
        """Drop limits that an answer shows to be rejected or replaced."""
        for request_id, answer in self.controls.answers:
            if answer.outcome is None or request_id not in self.limits:
                continue
            if answer.outcome.is_accepted:
                self.limits = {
                    known: limit
                    for known, limit in self.limits.items()
                    if known >= request_id
                }
            else:
                self.limits.pop(request_id)
        self.controls.answers.clear()

    def _close_stream_at_control(self, choice: int) -> None:
        ids = sorted(self.streams)
        if ids:
            node, stream = self.streams.pop(ids[choice % len(ids)])
            event = control.EntryDisconnected(stream.stream_id)
            self.controls.step(stream.control_name, event, self.now_s)
            if node.stream is stream:
                node.stream = None

    def _change_leader(self) -> None:
        self.controls.holds_messages = False
        self.controls.deliver(self.now_s)
        self._queue_sent_messages()
        self.controls.frozen = {self.controls.get_leader(self.now_s)}
        while not self.controls.get_leader(self.now_s):
            self._advance(1)
        self.controls.frozen = set()
        for node in self.nodes:
            node.stream = None

    def _cut_off_entry(self, index: int, choice: int) -> None:
        """Cut one entry off, possibly for longer than its lease and runs."""
        was_slow = index in self.slow_streams
        self.slow_streams.add(index)
        for _ in range(choice % 12):
            self._advance(1)
        if not was_slow:
            self.slow_streams.discard(index)

    def _advance(self, time_s: float) -> None:
        left_s = time_s
        while left_s > 0:
            self.now_s += min(1.0, left_s)
            left_s -= 1.0
            self.running = [
                one for one in self.running if one.until_s > self.now_s
            ]
            self.controls.tick(self.now_s)
            self._queue_sent_messages()
            for work in tuple(self.pending):
                if work.timeout_at_s <= self.now_s and not work.node.is_frozen:
                    self._end(work, entry.AttemptResult.timed_out)
            for node in self.nodes:
                if not node.is_frozen:
                    self._announce(node)
                    self._step(node, entry.Tick())
            self.deliver_all()

    def _announce(self, node: Node) -> None:
        if self.now_s >= self._announced_s + 1:
            self._announced_s = self.now_s
            self._step(node, self._announced)

    def _connect(self, node: Node) -> None:
        leader = self.controls.get_leader(self.now_s)
        node.stream = None
        if leader:
            stream = Stream(next(self.ids), leader)
            node.stream = stream
            self.streams[stream.stream_id] = (node, stream)
            self.controls.step(
                leader,
                control.EntryConnected(
                    stream.stream_id, node.name, node.incarnation
                ),
                self.now_s,
            )
            self._queue_sent_messages()

    def _deliver_to_control(self, stream: Stream) -> None:
        is_open = stream.stream_id in self.streams
        if stream.to_control and is_open:
            event = control.EntryMessageReceived(
                stream.stream_id, stream.to_control.popleft()
            )
            self.controls.step(stream.control_name, event, self.now_s)
            self._queue_sent_messages()

    def _deliver_to_entry(self, node: Node, stream: Stream) -> None:
        if stream.to_entry and node.stream is stream and not node.is_frozen:
            self._process_outputs(node, node.receive_from_control(self.now_s))

    def _queue_sent_messages(self) -> None:
        for sent in self.controls.sent_to_entries:
            known = self.streams.get(sent.stream_id)
            if known is not None:
                known[1].to_entry.append(sent.message)
        self.controls.sent_to_entries.clear()

    def _ask(self, command: object, request_id: int = 0) -> None:
        leader = self.controls.get_leader(self.now_s)
        event = control.CommandRequested(request_id, command)  # type: ignore[arg-type]
        self.controls.step(leader, event, self.now_s)
        self._queue_sent_messages()

    def _end(self, work: Work, result: entry.AttemptResult) -> None:
        self.pending.remove(work)
        event = entry.AttemptEnded(work.request_id, result)
        self._step(work.node, event)

    def _step(self, node: Node, event: entry.EntryEvent) -> None:
        self._process_outputs(node, node.step(event, self.now_s))

    def _process_outputs(
        self, node: Node, outputs: list[entry.EntryOutput]
    ) -> None:
        for output in outputs:
            if isinstance(output, entry.StartAttempt):
                self._check_start(node, output)
            elif isinstance(output, entry.ForwardAnswer | entry.RefuseRequest):
                self._check_final_answer(node, output)

    def _check_start(self, node: Node, attempt: entry.StartAttempt) -> None:
        request_key = self._get_request_key(node, attempt.request_id)
        assert request_key not in self.answered, (
            'started after its final answer'
        )
        assert request_key not in self.started, 'started twice'
        self.started.add(request_key)
        self.update_limits()
        bound_s = node.core.state.document.pools[POOL].run_bound_s
        work = Work(
            node,
            attempt.request_id,
            self.now_s + bound_s,
            self.now_s + attempt.timeout_s,
        )
        self.running.append(work)
        self.pending.append(work)
        assert len(self.running) <= max(self.limits.values()), 'over the limit'

    def _check_final_answer(
        self,
        node: Node,
        output: entry.ForwardAnswer | entry.RefuseRequest,
    ) -> None:
        request_key = self._get_request_key(node, output.request_id)
        assert request_key not in self.answered, 'answered twice'
        self.answered.add(request_key)
        if isinstance(output, entry.RefuseRequest):
            is_not_run = output.refusal.outcome is RunOutcome.not_run
            assert not is_not_run or request_key not in self.started, (
                'it has run'
            )

    def _get_request_key(
        self, node: Node, request_id: int
    ) -> tuple[str, int, int]:
        return (node.name, node.incarnation, request_id)


LimitMachine.TestCase.settings = settings(
    max_examples=2000,
    stateful_step_count=30,
)
TestLimits = pytest.mark.fuzz(LimitMachine.TestCase)
