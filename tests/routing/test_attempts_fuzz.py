"""Stateful fuzzing of an entry's attempts at upstreams."""

from itertools import count
from typing import Any

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from builders import make_announcement, make_fleet
from builders.fleets import KEY_DIGEST
from sardinemast import entry
from sardinemast.admission import Arrival, RunOutcome
from sardinemast.fleet import (
    COMMANDS,
    AssignInstance,
    ChangeGrants,
    GrantChange,
    Pool,
    apply_command,
    dump_state,
)
from sardinemast.membership import Announcement, UpstreamStatus
from sardinemast.protocol import (
    AppliedCommand,
    LeaseGranted,
    RosterChanged,
    StateChanged,
    StateReplaced,
)
from sardinemast.routing import AttemptResult, StartAttempt

_SLOTS = 2
_LIMIT = 6
_INSTANCES = st.integers(min_value=1, max_value=4)
_RUN_BOUND_S = 30
_MAY_RUN_ON = frozenset(
    (AttemptResult.broken, AttemptResult.timed_out, AttemptResult.silent),
)
_MAY_HAVE_RUN = frozenset(AttemptResult) - {AttemptResult.not_sent}


class RequestMachine(RuleBasedStateMachine):
    """Drive one entry by its callers, upstreams and leader.

    The oracle knows the attempts and their results, and the roster and
    pools of instances that the entry was last sent.
    """

    def __init__(self) -> None:
        super().__init__()
        state = make_fleet(_LIMIT)
        pools = {name: Pool(name, _SLOTS) for name in ('enrolment', 'other')}
        state.document = state.document._replace(pools=pools)
        change = GrantChange('entry-1', 7, 'petits-pixels', _LIMIT)
        apply_command(state, ChangeGrants((change,)), 4)
        self._core = entry.EntryCore(
            entry.EntrySettings('entry-1', 7, 'rennes')
        )
        self._now_s: float = 0
        self._ids = count(1)
        self._index = count(5)
        self._roster: dict[str, Announcement] = {}
        self._pools = {'enrol-1': 'enrolment'}
        self._repeatable: dict[int, bool] = {}
        self._running: dict[int, StartAttempt] = {}
        self._started_s: dict[int, float] = {}
        self._held_until_s: list[float] = []
        self._sent: dict[int, int] = {}
        self._concluded: set[int] = set()
        self._left: set[int] = set()
        self._retries = 0
        self._answers = 0
        self._control(StateReplaced(dump_state(state)))
        self._control(LeaseGranted(0, 1e9))
        for number in (1, 2, 3):
            self._place(number, 'enrolment')
            self._announce(number, UpstreamStatus.serving, 1)

    @rule(
        is_repeatable=st.booleans(),
        deadline_s=st.sampled_from((0.05, 1.0, 9.0)),
    )
    def arrive(self, is_repeatable: bool, deadline_s: float) -> None:
        """Let a caller send a request."""
        request_id = next(self._ids)
        self._repeatable[request_id] = is_repeatable
        arrival = Arrival(
            request_id, 'enrolment', KEY_DIGEST, is_repeatable, deadline_s, 1
        )
        self._step(entry.RequestArrived(arrival))

    @rule(
        choice=st.integers(min_value=0, max_value=99),
        attempt_result=st.sampled_from(AttemptResult),
    )
    def end(self, choice: int, attempt_result: AttemptResult) -> None:
        """End an attempt."""
        if not self._running:
            return
        request_id = sorted(self._running)[choice % len(self._running)]
        self._running.pop(request_id)
        bound_s = self._started_s.pop(request_id) + _RUN_BOUND_S
        if attempt_result in _MAY_RUN_ON:
            self._held_until_s.append(bound_s)
        if attempt_result in _MAY_HAVE_RUN:
            self._sent[request_id] = self._sent.get(request_id, 0) + 1
        self._answers += attempt_result is AttemptResult.answered
        self._step(entry.AttemptEnded(request_id, attempt_result))

    @rule(choice=st.integers(min_value=0, max_value=99))
    def leave(self, choice: int) -> None:
        """Disconnect a caller."""
        present = sorted(set(self._repeatable) - self._concluded - self._left)
        if present:
            request_id = present[choice % len(present)]
            self._left.add(request_id)
            self._step(entry.CallerDisconnected(request_id))

    @rule(
        number=_INSTANCES,
        status=st.sampled_from(UpstreamStatus),
        incarnation=st.integers(min_value=1, max_value=3),
    )
    def announce(
        self, number: int, status: UpstreamStatus, incarnation: int
    ) -> None:
        """Start, drain or restart an upstream."""
        self._announce(number, status, incarnation)

    @rule(number=_INSTANCES)
    def go(self, number: int) -> None:
        """Remove an upstream from the roster."""
        self._roster.pop(f'enrol-{number}', None)
        self._control(RosterChanged(tuple(self._roster.values())))

    @rule(number=_INSTANCES, pool=st.sampled_from(('enrolment', 'other')))
    def move(self, number: int, pool: str) -> None:
        """Move an instance to a pool."""
        self._place(number, pool)

    @rule(passed_s=st.sampled_from((0.02, 0.3, 2.0, 20.0)))
    def pass_time(self, passed_s: float) -> None:
        """Let time pass."""
        self._now_s += passed_s
        self._step(entry.Tick())

    @invariant()
    def retries_stay_in_budget(self) -> None:
        """Check that retries are limited to a share of good answers."""
        assert self._retries <= 10 + 0.1 * self._answers

    def _announce(
        self, number: int, status: UpstreamStatus, incarnation: int
    ) -> None:
        name = f'enrol-{number}'
        self._roster[name] = make_announcement(name)._replace(
            status=status,
            incarnation=incarnation,
            rack=f'rack-{number % 2}',
        )
        self._control(RosterChanged(tuple(self._roster.values())))

    def _place(self, number: int, pool: str) -> None:
        name = f'enrol-{number}'
        self._pools[name] = pool
        payload = COMMANDS.encode(AssignInstance('', name, pool))
        command = AppliedCommand(next(self._index), payload)
        self._control(StateChanged((command,)))

    def _control(self, message: Any) -> None:
        self._step(entry.ControlReceived(message))

    def _step(self, event: entry.EntryEvent) -> None:
        for output in self._core.step(event, self._now_s):
            if isinstance(output, StartAttempt):
                self._check_start(output)
            elif isinstance(output, entry.RefuseRequest):
                self._check_refusal(output)
            elif isinstance(output, entry.ForwardAnswer):
                assert self._sent[output.request_id]
                self._conclude(output.request_id)

    def _check_start(self, start: StartAttempt) -> None:
        request_id = start.request_id
        sent_count = self._sent.get(request_id, 0)
        assert request_id not in self._running
        assert request_id not in self._concluded
        assert request_id not in self._left
        # A request that is not repeatable is sent at most once.
        assert not sent_count or self._repeatable[request_id]
        assert start.is_repeatable is self._repeatable[request_id]
        known = self._roster.get(start.upstream.instance)
        assert known == start.upstream
        assert known.status is UpstreamStatus.serving
        assert self._pools[known.instance] == known.pool
        self._running[request_id] = start
        self._started_s[request_id] = self._now_s
        self._retries += sent_count > 0
        running_at_upstream = [
            one
            for one in self._running.values()
            if one.upstream[:2] == start.upstream[:2]
        ]
        assert len(running_at_upstream) <= _SLOTS
        held = [one for one in self._held_until_s if one > self._now_s]
        assert len(self._running) + len(held) <= _LIMIT

    def _check_refusal(self, refused: entry.RefuseRequest) -> None:
        request_id = refused.request_id
        assert request_id not in self._running
        if refused.refusal.outcome is RunOutcome.not_run:
            assert not self._sent.get(request_id)
        self._conclude(request_id)

    def _conclude(self, request_id: int) -> None:
        assert request_id not in self._concluded
        self._concluded.add(request_id)


TestRequests = pytest.mark.fuzz(RequestMachine.TestCase)
TestRequests.settings = settings(
    max_examples=2000,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
)
