"""Stateful fuzzing of a team's limit over entries, leaders and upstreams."""

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
_CALM_STEPS = 4
_DISTURBANCES = (
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
    """Let entries serve one team while nearly everything fails.

    The oracle knows what was sent, what started, what ended, and which
    limits may be in force.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s: float = 0
        self.ids = count(1)
        self.controls = Controls()
        self.streams: dict[int, tuple[Node, Stream]] = {}
        self.nodes: list[Node] = []
        self.works: list[Work] = []
        self.awaited: list[Work] = []
        self.ran: set[tuple[str, int, int]] = set()
        self.final: set[tuple[str, int, int]] = set()
        self.limits: dict[int, int] = {}
        self.slow: set[int] = set()
        self.calm_steps = 0
        self._announced_s: float = 0
        self._announced = entry.UpstreamAnnounced(make_serving_upstream())

    @initialize(limit=st.integers(1, 3))
    def set_up(self, limit: int) -> None:
        """Elect a leader, apply the document, connect all entries."""
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
    def arrive(self, index: int, requests: int, is_short: bool) -> None:
        """Send requests to an entry."""
        node = self.nodes[index]
        for _ in range(requests):
            arrival = Arrival(
                next(self.ids), POOL, KEY_DIGEST, False, 3 if is_short else 9, 1
            )
            if not node.is_frozen:
                self._act(node, entry.RequestArrived(arrival))

    @rule(choice=_ANY, ending=st.sampled_from(entry.AttemptResult))
    def end_attempt(self, choice: int, ending: entry.AttemptResult) -> None:
        """End an attempt; a broken one leaves the work running."""
        known = [one for one in self.awaited if not one.node.is_frozen]
        if not known:
            return
        work = known[choice % len(known)]
        is_over = ending in {
            entry.AttemptResult.answered,
            # A whole answer that reports an error: the upstream has ended.
            entry.AttemptResult.failed,
            entry.AttemptResult.not_sent,
        }
        if is_over and work in self.works:
            self.works.remove(work)
        if ending is entry.AttemptResult.not_sent:
            self.ran.discard(self._get_id(work.node, work.request_id))
        self._end(work, ending)

    @rule(choice=_ANY)
    def leave(self, choice: int) -> None:
        """Let a caller go."""
        node = self.nodes[choice % len(self.nodes)]
        if not node.is_frozen:
            self._act(node, entry.CallerDisconnected(choice))

    @rule(time_s=st.sampled_from((0.02, 0.3, 1.0, 3.0)))
    def wait(self, time_s: float) -> None:
        """Let time pass."""
        self._advance(time_s)

    @rule(index=_NODE, messages=st.integers(1, 4), is_up=st.booleans())
    def deliver_some(self, index: int, messages: int, is_up: bool) -> None:
        """Deliver a few messages of one slow stream in one direction."""
        node = self.nodes[index]
        for _ in range(messages):
            if node.stream is not None and is_up:
                self._deliver_up(node.stream)
            elif node.stream is not None:
                self._deliver_down(node, node.stream)

    @rule(index=_NODE)
    def slow_stream(self, index: int) -> None:
        """Let a stream deliver only by a few messages, or freely again."""
        self.slow ^= {index}

    @rule(requests=st.integers(1, 3), time_s=st.sampled_from((0.02, 0.3)))
    def arrive_everywhere(self, requests: int, time_s: float) -> None:
        """Send requests to all entries, so that they want the same units."""
        for index, _ in enumerate(self.nodes):
            self.arrive(index, requests, is_short=False)
        self._advance(time_s)

    @precondition(lambda machine: machine.calm_steps >= _CALM_STEPS)
    @rule(kind=st.sampled_from(_DISTURBANCES), index=_NODE, choice=_ANY)
    def disturb(self, kind: str, index: int, choice: int) -> None:
        """Let something fail, but not so often that nothing ever runs."""
        self.calm_steps = 0
        node = self.nodes[index]
        if kind == 'freeze':
            node.is_frozen = not node.is_frozen
        elif kind == 'kill':
            self.nodes[index] = Node(node.name, node.incarnation + 1)
            node.is_frozen = True
        elif kind == 'reconnect' and not node.is_frozen:
            self._connect(node)
        elif kind == 'notice cut':
            self._notice_cut(choice)
        elif kind == 'late message' and self.streams:
            ids = sorted(self.streams)
            self._deliver_up(self.streams[ids[choice % len(ids)]][1])
        elif kind == 'hold replication':
            self.controls.is_held = not self.controls.is_held
            self.controls.deliver(self.now_s)
        elif kind == 'change leader':
            self._change_leader()
        elif kind == 'long cut':
            self._cut_off(index, choice)

    @rule(time_s=st.sampled_from((0.3, 3.0)))
    def recover(self, time_s: float) -> None:
        """Let everything work again for a while."""
        self.controls.is_held = False
        self.controls.deliver(self.now_s)
        self._collect()
        self.slow.clear()
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
        """Apply another limit and another longest run."""
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
    def count_calm(self) -> None:
        """Count steps since the last disturbance."""
        self.calm_steps += 1

    @invariant()
    def deliver_all(self) -> None:
        """Deliver what is on streams that are not slow."""
        for index, node in enumerate(self.nodes):
            if not (node.is_frozen or node.stream):
                self._connect(node)
            while index not in self.slow and node.stream and not node.is_frozen:
                stream = node.stream
                if not (stream.up or stream.down):
                    break
                self._deliver_up(stream)
                self._deliver_down(node, stream)

    @invariant()
    def settle_answers(self) -> None:
        """Drop the limits that an answer shows to be out of force."""
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

    def _notice_cut(self, choice: int) -> None:
        ids = sorted(self.streams)
        if ids:
            node, stream = self.streams.pop(ids[choice % len(ids)])
            event = control.EntryDisconnected(stream.stream_id)
            self.controls.step(stream.control_name, event, self.now_s)
            if node.stream is stream:
                node.stream = None

    def _change_leader(self) -> None:
        self.controls.is_held = False
        self.controls.deliver(self.now_s)
        self._collect()
        self.controls.frozen = {self.controls.get_leader(self.now_s)}
        while not self.controls.get_leader(self.now_s):
            self._advance(1)
        self.controls.frozen = set()
        for node in self.nodes:
            node.stream = None

    def _cut_off(self, index: int, choice: int) -> None:
        """Cut one entry off for longer than its lease and any run."""
        was_slow = index in self.slow
        self.slow.add(index)
        for _ in range(choice % 12):
            self._advance(1)
        if not was_slow:
            self.slow.discard(index)

    def _advance(self, time_s: float) -> None:
        left_s = time_s
        while left_s > 0:
            self.now_s += min(1.0, left_s)
            left_s -= 1.0
            self.works = [one for one in self.works if one.until_s > self.now_s]
            self.controls.tick(self.now_s)
            self._collect()
            for work in tuple(self.awaited):
                if work.timeout_at_s <= self.now_s and not work.node.is_frozen:
                    self._end(work, entry.AttemptResult.timed_out)
            for node in self.nodes:
                if not node.is_frozen:
                    self._announce(node)
                    self._act(node, entry.Tick())
            self.deliver_all()

    def _announce(self, node: Node) -> None:
        if self.now_s >= self._announced_s + 1:
            self._announced_s = self.now_s
            self._act(node, self._announced)

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
            self._collect()

    def _deliver_up(self, stream: Stream) -> None:
        is_open = stream.stream_id in self.streams
        if stream.up and is_open:
            event = control.EntryMessageReceived(
                stream.stream_id, stream.up.popleft()
            )
            self.controls.step(stream.control_name, event, self.now_s)
            self._collect()

    def _deliver_down(self, node: Node, stream: Stream) -> None:
        if stream.down and node.stream is stream and not node.is_frozen:
            self._judge(node, node.take_down(self.now_s))

    def _collect(self) -> None:
        for sent in self.controls.to_entries:
            known = self.streams.get(sent.stream_id)
            if known is not None:
                known[1].down.append(sent.message)
        self.controls.to_entries.clear()

    def _ask(self, command: object, request_id: int = 0) -> None:
        leader = self.controls.get_leader(self.now_s)
        event = control.CommandRequested(request_id, command)  # type: ignore[arg-type]
        self.controls.step(leader, event, self.now_s)
        self._collect()

    def _end(self, work: Work, ending: entry.AttemptResult) -> None:
        self.awaited.remove(work)
        event = entry.AttemptEnded(work.request_id, ending)
        self._act(work.node, event)

    def _act(self, node: Node, event: entry.EntryEvent) -> None:
        self._judge(node, node.step(event, self.now_s))

    def _judge(self, node: Node, outputs: list[entry.EntryOutput]) -> None:
        for output in outputs:
            if isinstance(output, entry.StartAttempt):
                self._start(node, output)
            elif isinstance(output, entry.ForwardAnswer | entry.RefuseRequest):
                self._finish(node, output)

    def _start(self, node: Node, attempt: entry.StartAttempt) -> None:
        place = self._get_id(node, attempt.request_id)
        assert place not in self.final, 'started after its final answer'
        assert place not in self.ran, 'started twice'
        self.ran.add(place)
        self.settle_answers()
        bound_s = node.core.state.document.pools[POOL].run_bound_s
        work = Work(
            node,
            attempt.request_id,
            self.now_s + bound_s,
            self.now_s + attempt.timeout_s,
        )
        self.works.append(work)
        self.awaited.append(work)
        assert len(self.works) <= max(self.limits.values()), 'over the limit'

    def _finish(
        self,
        node: Node,
        output: entry.ForwardAnswer | entry.RefuseRequest,
    ) -> None:
        place = self._get_id(node, output.request_id)
        assert place not in self.final, 'answered twice'
        self.final.add(place)
        if isinstance(output, entry.RefuseRequest):
            is_not_run = output.refusal.outcome is RunOutcome.not_run
            assert not is_not_run or place not in self.ran, 'it has run'

    def _get_id(self, node: Node, request_id: int) -> tuple[str, int, int]:
        return (node.name, node.incarnation, request_id)


LimitMachine.TestCase.settings = settings(
    max_examples=2000,
    stateful_step_count=30,
)
TestLimits = pytest.mark.fuzz(LimitMachine.TestCase)
