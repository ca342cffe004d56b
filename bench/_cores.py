"""Drive the cores of a control process and of entries in virtual time."""

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

HOP_S = 0.001
COMMIT_S = 0.003
TICK_S = 0.02
_ANNOUNCE_S = 1.0


class _Moment(NamedTuple):
    at_s: float
    number: int
    action: Callable[[], None]


class Call(NamedTuple):
    """Declare a request: when, where, for whom, and how long it runs."""

    at_s: float
    entry: int
    team: str
    pool: str
    service_s: float
    deadline_s: float
    is_urgent: bool = False


class Run(NamedTuple):
    """Hold what became of a request."""

    call: Call
    started_s: float
    ended_s: float
    is_answered: bool


class Load:
    """Hold the queue of moments and what was seen.

    Each message takes a hop. The log has one replica, so ``COMMIT_S`` is
    added to each message of the control process that follows a change of the
    log; it stands for a sync and a round to the other replicas.
    """

    def __init__(
        self, document: FleetDocument, entries: int, upstreams: int
    ) -> None:
        self.runs: list[Run] = []
        self.refusals: list[tuple[Call, float, str]] = []
        self.appends = 0
        self.steps = 0
        self._ids = count(1)
        self._queue: list[_Moment] = []
        self._now_s: float = 0
        self._calls: dict[int, Call] = {}
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
        self._set_up()

    def run(self, calls: Iterable[Call], until_s: float) -> None:
        """Let the declared requests arrive, and run until a moment."""
        for call in calls:
            self._at(call.at_s, self._arrive, call)
        while self._queue and self._queue[0][0] <= until_s:
            moment = heapq.heappop(self._queue)
            self._now_s = moment.at_s
            moment.action()

    def _set_up(self) -> None:
        self._at(0, self._tick_control)
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
            asked = control.CommandRequested(0, command)
            self._at(1.5, self._step_control, asked)
        for number, _ in enumerate(self.cores):
            connected = control.EntryConnected(number, f'entry-{number}', 1)
            self._at(1.6, self._step_control, connected)
            self._at(1.7 + number * TICK_S / 9, self._tick, number)
        self._at(1.8, self._announce)

    def _at(self, at_s: float, action: Callable[..., None], *args: Any) -> None:
        moment = _Moment(at_s, next(self._ids), lambda: action(*args))
        heapq.heappush(self._queue, moment)

    def _tick_control(self) -> None:
        self._step_control(control.Tick())
        self._at(self._now_s + TICK_S, self._tick_control)

    def _tick(self, number: int) -> None:
        self._step(number, entry.Tick())
        self._at(self._now_s + TICK_S, self._tick, number)

    def _announce(self) -> None:
        for one in self._upstreams:
            self._step(0, entry.UpstreamAnnounced(one))
        self._at(self._now_s + _ANNOUNCE_S, self._announce)

    def _arrive(self, call: Call) -> None:
        request_id = next(self._ids)
        self._calls[request_id] = call
        arrival = Arrival(
            request_id,
            call.pool,
            digest_key(call.team),
            False,
            call.deadline_s,
            1,
            call.is_urgent,
        )
        self._step(call.entry, entry.RequestArrived(arrival))

    def _step_control(self, event: control.ControlEvent) -> None:
        delay_s = HOP_S
        for output in self._control.step(event, self._now_s):
            if isinstance(output, consensus.AppendToLog):
                self.appends += 1
                delay_s = HOP_S + COMMIT_S
            elif isinstance(output, control.SendToEntry):
                received = entry.ControlReceived(output.message)
                at_s = self._now_s + delay_s
                self._at(at_s, self._step, output.stream_id, received)

    def _step(self, number: int, event: entry.EntryEvent) -> None:
        self.steps += 1
        for output in self.cores[number].step(event, self._now_s):
            if isinstance(output, entry.StartAttempt):
                self._start(number, output)
            elif isinstance(output, entry.RefuseRequest):
                call = self._calls.pop(output.request_id)
                refusal = (call, self._now_s, output.refusal.code)
                self.refusals.append(refusal)
            elif isinstance(output, entry.SendToControl):
                received = control.EntryMessageReceived(number, output.message)
                at_s = self._now_s + HOP_S
                self._at(at_s, self._step_control, received)

    def _start(self, number: int, attempt: entry.StartAttempt) -> None:
        call = self._calls[attempt.request_id]
        is_answered = call.service_s <= attempt.timeout_s
        ended_s = self._now_s + min(call.service_s, attempt.timeout_s)
        run = Run(call, self._now_s, ended_s, is_answered)
        self.runs.append(run)
        ending = entry.AttemptResult.answered
        if not is_answered:
            ending = entry.AttemptResult.timed_out
        ended = entry.AttemptEnded(attempt.request_id, ending)
        self._at(ended_s, self._step, number, ended)
