"""Stateful fuzz test that each key is granted at most once."""

from collections import defaultdict

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from builders.claims import NAMES, Entries
from sardinemast.idempotency import (
    CLAIM_TIMEOUT_S,
    RETENTION_S,
    ClaimDecided,
    ClaimOutcome,
    ClaimVerdict,
    RequestEnded,
    Tick,
)

_NAME = st.sampled_from(NAMES)
_KEY = st.sampled_from((b'a', b'b'))
_ANY = st.integers(min_value=0, max_value=999)


class ClaimMachine(RuleBasedStateMachine):
    """Run four entries with delayed, repeated and lost messages.

    The model tracks when each request was granted its key. A granted request
    counts as run unless its entry reports that it was not sent. After the
    retention time a key may be granted again while an earlier request lasts.
    """

    def __init__(self) -> None:
        super().__init__()
        self._entries = Entries()
        self._keys: dict[int, tuple[str, bytes]] = {}
        self._granted: dict[int, tuple[str, bytes]] = {}
        self._granted_at_s: defaultdict[bytes, dict[int, float]]
        self._granted_at_s = defaultdict(dict)
        for name in NAMES[:3]:
            self._entries.start(name)
            for other in self._entries.nodes:
                self._entries.catch_up(other)
            self._entries.settle()

    @rule(name=_NAME, sees_log=st.booleans())
    def start(self, name: str, sees_log: bool) -> None:
        """Start or restart an entry."""
        self._discard_grants_of(name)
        self._entries.start(name, sees_log=sees_log)
        self._check_decisions()

    @rule(name=_NAME)
    def kill(self, name: str) -> None:
        """Kill an entry."""
        self._discard_grants_of(name)
        self._entries.nodes.pop(name, None)

    @rule(name=_NAME)
    def catch_up(self, name: str) -> None:
        """Let an entry apply the whole log."""
        if name in self._entries.nodes:
            self._entries.catch_up(name)
            self._check_decisions()

    @rule(name=_NAME, key=_KEY)
    def claim(self, name: str, key: bytes) -> None:
        """Let a caller send or resend a request."""
        if name in self._entries.nodes:
            self._keys[self._entries.last_request + 1] = (name, key)
            self._entries.claim(name, key)
            self._check_decisions()

    @rule(name=_NAME, key=_KEY, others=st.lists(_NAME, max_size=3))
    def claim_at(self, name: str, key: bytes, others: list[str]) -> None:
        """Let a claim reach some entries only, in order."""
        self.claim(name, key)
        self._exchange_messages(name, others)

    @rule(name=_NAME, others=st.lists(_NAME, max_size=3))
    def sync(self, name: str, others: list[str]) -> None:
        """Let an entry apply the log and sync with some entries."""
        for one in sorted({name, *others} & self._entries.nodes.keys()):
            self._entries.catch_up(one)
        if name in self._entries.nodes:
            self._entries.feed(name, Tick())
            self._exchange_messages(name, others)

    @rule(choice=_ANY, outcome=st.sampled_from(ClaimOutcome))
    def end(self, choice: int, outcome: ClaimOutcome) -> None:
        """End a request that was granted."""
        if self._granted and outcome is not ClaimOutcome.started:
            request_id = sorted(self._granted)[choice % len(self._granted)]
            name, key = self._granted.pop(request_id)
            if outcome is ClaimOutcome.released:
                self._granted_at_s[key].pop(request_id)
            self._entries.end(name, RequestEnded(request_id, outcome))
            self._check_decisions()

    @rule(choices=st.lists(_ANY, min_size=1, max_size=12))
    def deliver(self, choices: list[int]) -> None:
        """Deliver messages in any order."""
        in_flight = self._entries.in_flight
        for choice in choices:
            if in_flight:
                self._entries.deliver(in_flight.pop(choice % len(in_flight)))
                self._check_decisions()

    @rule(choice=_ANY)
    def repeat(self, choice: int) -> None:
        """Deliver a message that will be delivered again."""
        in_flight = self._entries.in_flight
        if in_flight:
            self._entries.deliver(in_flight[choice % len(in_flight)])
            self._check_decisions()

    @rule(name=_NAME)
    def drop_messages(self, name: str) -> None:
        """Drop all messages in transit to an entry."""
        kept = [one for one in self._entries.in_flight if one.to != name]
        self._entries.in_flight = kept

    @rule()
    def settle(self) -> None:
        """Tick all entries and deliver all messages."""
        for name in tuple(self._entries.nodes):
            self._entries.feed(name, Tick())
            self._check_decisions()
        while self._entries.in_flight:
            self._entries.deliver(self._entries.in_flight.pop(0))
            self._check_decisions()

    @rule(
        passed_s=st.sampled_from((0.11, 0.11, 1.0, 31.0, RETENTION_S)),
        names=st.sets(_NAME),
    )
    def pass_time(self, passed_s: float, names: set[str]) -> None:
        """Let time pass; entries that are not named are frozen."""
        self._entries.now_s += passed_s
        for name in sorted(names & self._entries.nodes.keys()):
            self._entries.feed(name, Tick())
            self._check_decisions()

    def _exchange_messages(self, name: str, others: list[str]) -> None:
        for other in others:
            self._entries.deliver_between(name, other)
            self._entries.deliver_between(other, name)
        self._check_decisions()

    def _discard_grants_of(self, name: str) -> None:
        # Requests that the entry has sent may still run, so they count.
        for request_id, (holder, _) in tuple(self._granted.items()):
            if holder == name:
                self._granted.pop(request_id)

    def _check_decisions(self) -> None:
        decided = self._entries.decided
        while decided:
            request_id, decision = decided.popitem()
            self._check_decision(request_id, decision)

    def _check_decision(self, request_id: int, decided: ClaimDecided) -> None:
        name, key = self._keys.pop(request_id)
        if decided.verdict is ClaimVerdict.granted:
            earlier = self._granted_at_s[key].values()
            earlier_s = max(earlier, default=float('-inf'))
            retained_s = RETENTION_S - CLAIM_TIMEOUT_S
            assert self._entries.now_s >= earlier_s + retained_s
            self._granted_at_s[key][request_id] = self._entries.now_s
            self._granted[request_id] = (name, key)
        elif decided.verdict is ClaimVerdict.answered:
            assert self._granted_at_s[key]


TestClaims = pytest.mark.fuzz(ClaimMachine.TestCase)
TestClaims.settings = settings(
    max_examples=2000,
    stateful_step_count=35,
    suppress_health_check=list(HealthCheck),
)
