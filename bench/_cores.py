"""Simulation of a control process and entries in virtual time."""

import heapq
from collections.abc import Callable, Iterable
from itertools import count
from random import Random
from typing import Any, NamedTuple

from sardinemast import consensus, control, entry
from sardinemast.admission import Arrival
from sardinemast.fleet import (
    ApplyDocument,
    AssignInstance,
    FleetDocument,
    GrantKey,
    digest_key,
)
from sardinemast.membership import Announcement

NETWORK_DELAY_S = 0.001
COMMIT_DELAY_S = 0.003
TICK_S = 0.02
_ANNOUNCE_S = 1.0


class _ScheduledCall(NamedTuple):
    at_s: float
    number: int
    action: Callable[[], None]


class RequestSpec(NamedTuple):
    """Describe a request: its arrival, team, pool and service time."""

    at_s: float
    entry: int
    team: str
    pool: str
    service_s: float
    deadline_s: float
    is_urgent: bool = False


class RequestRun(NamedTuple):
    """Hold the start, end and result of a request that was run."""

    request: RequestSpec
    started_s: float
    ended_s: float
    is_answered: bool


class CoreSimulation:
    """Simulate a control process and entries, and record runs and refusals.

    Each message takes ``NETWORK_DELAY_S``. The log has one replica, so
    messages that follow an append are delayed by ``COMMIT_DELAY_S``, for the
    disk sync and the round trip to other replicas.
    """

    def __init__(
        self, document: FleetDocument, entries: int, upstreams: int
    ) -> None:
        self.runs: list[RequestRun] = []
        self.refusals: list[tuple[RequestSpec, float, str]] = []
        self.appends = 0
        self.steps = 0
        self._sequence = count(1)
        self._queue: list[_ScheduledCall] = []
        self._now_s: float = 0
        self._requests: dict[int, RequestSpec] = {}
        replica = consensus.ReplicaSettings('control-1', ('control-1',))
        self._control = control.ControlCore(
            control.ControlSettings(replica),
            consensus.HardState(),
            (),
            Random(1),
        )
        self._document = document
        self._upstreams = [
            Announcement(f'{pool}-{number}', 1, pool, 'h', 1, 'dc', 'rack')
            for pool in document.pools
            for number in range(upstreams)
        ]
        self.cores = [
            entry.EntryCore(entry.EntrySettings(f'entry-{number}', 1, 'dc'))
            for number in range(entries)
        ]
        self._start_fleet()

    def run(self, requests: Iterable[RequestSpec], end_s: float) -> None:
        """Submit the requests and run until ``end_s``."""
        for request in requests:
            self._schedule(request.at_s, self._submit, request)
        while self._queue and self._queue[0][0] <= end_s:
            scheduled = heapq.heappop(self._queue)
            self._now_s = scheduled.at_s
            scheduled.action()

    def _start_fleet(self) -> None:
        self._schedule(0, self._tick_control)
        commands: list[Any] = [ApplyDocument('c', 0, self._document)]
        commands += [
            GrantKey(f'c-{team}', team, team, digest_key(team))
            for team in self._document.teams
        ]
        commands += [
            AssignInstance('', one.instance, one.pool)
            for one in self._upstreams
        ]
        for command in commands:
            command_event = control.CommandRequested(0, command)
            self._schedule(1.5, self._step_control, command_event)
        for number, _ in enumerate(self.cores):
            connected = control.EntryConnected(number, f'entry-{number}', 1)
            self._schedule(1.6, self._step_control, connected)
            self._schedule(1.7 + number * TICK_S / 9, self._tick, number)
        self._schedule(1.8, self._announce)

    def _schedule(
        self, at_s: float, action: Callable[..., None], *args: Any
    ) -> None:
        scheduled = _ScheduledCall(
            at_s, next(self._sequence), lambda: action(*args)
        )
        heapq.heappush(self._queue, scheduled)

    def _tick_control(self) -> None:
        self._step_control(control.Tick())
        self._schedule(self._now_s + TICK_S, self._tick_control)

    def _tick(self, number: int) -> None:
        self._step(number, entry.Tick())
        self._schedule(self._now_s + TICK_S, self._tick, number)

    def _announce(self) -> None:
        for one in self._upstreams:
            self._step(0, entry.UpstreamAnnounced(one))
        self._schedule(self._now_s + _ANNOUNCE_S, self._announce)

    def _submit(self, request: RequestSpec) -> None:
        request_id = next(self._sequence)
        self._requests[request_id] = request
        arrival = Arrival(
            request_id,
            request.pool,
            digest_key(request.team),
            False,
            request.deadline_s,
            1,
            request.is_urgent,
        )
        self._step(request.entry, entry.RequestArrived(arrival))

    def _step_control(self, event: control.ControlEvent) -> None:
        delay_s = NETWORK_DELAY_S
        for output in self._control.step(event, self._now_s):
            if isinstance(output, consensus.AppendToLog):
                self.appends += 1
                delay_s = NETWORK_DELAY_S + COMMIT_DELAY_S
            elif isinstance(output, control.SendToEntry):
                received = entry.ControlReceived(output.message)
                at_s = self._now_s + delay_s
                self._schedule(at_s, self._step, output.stream_id, received)

    def _step(self, number: int, event: entry.EntryEvent) -> None:
        self.steps += 1
        for output in self.cores[number].step(event, self._now_s):
            if isinstance(output, entry.StartAttempt):
                self._start(number, output)
            elif isinstance(output, entry.RefuseRequest):
                request = self._requests.pop(output.request_id)
                refusal = (request, self._now_s, output.refusal.code)
                self.refusals.append(refusal)
            elif isinstance(output, entry.SendToControl):
                received = control.EntryMessageReceived(number, output.message)
                at_s = self._now_s + NETWORK_DELAY_S
                self._schedule(at_s, self._step_control, received)

    def _start(self, number: int, attempt: entry.StartAttempt) -> None:
        request = self._requests[attempt.request_id]
        is_answered = request.service_s <= attempt.timeout_s
        ended_s = self._now_s + min(request.service_s, attempt.timeout_s)
        run = RequestRun(request, self._now_s, ended_s, is_answered)
        self.runs.append(run)
        result = entry.AttemptResult.answered
        if not is_answered:
            result = entry.AttemptResult.timed_out
        ended = entry.AttemptEnded(attempt.request_id, result)
        self._schedule(ended_s, self._step, number, ended)
