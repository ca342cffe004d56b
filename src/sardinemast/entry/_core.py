"""Decide what an entry does with requests, without input or output."""

from functools import singledispatchmethod
from http import HTTPStatus
from typing import NamedTuple

from sardinemast.admission import (
    Refusal,
    TeamUsage,
    Waiting,
    WaitingQueue,
    check_arrival,
    refuse_not_run,
    refuse_unknown,
    refuse_without_lease,
)
from sardinemast.entry._events import (
    AttemptEnded,
    AttemptResult,
    CallerLeft,
    ControlLost,
    ControlReceived,
    EntryEvent,
    EntryOutput,
    PassAnswer,
    RefuseRequest,
    RequestArrived,
    SendToControl,
    StartAttempt,
    Tick,
    UpstreamAnnounced,
)
from sardinemast.entry._link import ControlLink
from sardinemast.fleet import FleetState, get_pool
from sardinemast.membership import Announcement
from sardinemast.protocol import (
    LeaseGranted,
    ReportUpstreams,
    RosterChanged,
    StateChanged,
    StateReplaced,
    TeamDemand,
)
from sardinemast.routing import UpstreamPicker

_COME_BACK_S = 1.0


class EntrySettings(NamedTuple):
    """Name the entry and the data centre it stands in."""

    name: str
    incarnation: int
    data_centre: str


class _Running(NamedTuple):
    waiting: Waiting
    upstream: Announcement
    bound_until_s: float


class EntryCore:
    """Admit, queue, route and answer requests."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._link = ControlLink(settings.name, settings.incarnation)
        self._queue = WaitingQueue()
        self._usage = TeamUsage()
        self._picker = UpstreamPicker(settings.data_centre)
        self._running: dict[int, _Running] = {}
        self._heard: dict[str, Announcement] = {}
        self._outputs: list[EntryOutput] = []

    @property
    def state(self) -> FleetState:
        """Give the state as this entry has it."""
        return self._link.state

    def is_ready(self, now_s: float) -> bool:
        """Tell the balancer whether to send requests here."""
        return self._link.has_lease(now_s)

    def step(self, event: EntryEvent, now_s: float) -> list[EntryOutput]:
        """Take an event and give the outputs, to be carried out in order."""
        self._outputs = []
        self._handle(event, now_s)
        self._refuse_overdue(now_s)
        self._dispatch(now_s)
        self._renew(now_s)
        return self._outputs

    @singledispatchmethod
    def _handle(self, event: EntryEvent, now_s: float) -> None:
        raise TypeError(event)

    @_handle.register
    def _handle_tick(self, event: Tick, now_s: float) -> None:
        self._usage.release_held(now_s)
        if self._heard:
            heard = tuple(self._heard.values())
            self._outputs.append(SendToControl(ReportUpstreams(heard)))
            self._heard.clear()

    @_handle.register
    def _handle_arrival(self, event: RequestArrived, now_s: float) -> None:
        arrival = event.arrival
        if not self._link.has_lease(now_s):
            self._refuse(arrival.request_id, refuse_without_lease())
            return
        checked = check_arrival(
            self.state,
            self._settings.data_centre,
            arrival,
            now_s,
        )
        if isinstance(checked, Refusal):
            self._refuse(arrival.request_id, checked)
            return
        waiting = Waiting(
            arrival.request_id,
            checked.team,
            arrival.pool,
            checked.due_s,
            arrival.is_repeatable,
        )
        if not self._queue.add(waiting):
            self._refuse(
                arrival.request_id,
                refuse_not_run(
                    'admission.E007',
                    HTTPStatus.TOO_MANY_REQUESTS,
                    'Too many requests of your team wait.',
                    _COME_BACK_S,
                ),
            )

    @_handle.register
    def _handle_caller_left(self, event: CallerLeft, now_s: float) -> None:
        # What runs goes on and keeps its place; only what waits is dropped.
        self._queue.remove(event.request_id)

    @_handle.register
    def _handle_ended(self, event: AttemptEnded, now_s: float) -> None:
        running = self._running.pop(event.request_id)
        self._picker.end(running.upstream.instance)
        if event.attempt_result is AttemptResult.answered:
            self._usage.end(event.request_id)
            self._outputs.append(PassAnswer(event.request_id))
        elif event.attempt_result is AttemptResult.not_sent:
            self._usage.end(event.request_id)
            self._retry(running, now_s)
        else:
            self._usage.hold(event.request_id, running.bound_until_s)
            self._refuse(event.request_id, _describe_unknown(event))

    @_handle.register
    def _handle_announced(
        self,
        event: UpstreamAnnounced,
        now_s: float,
    ) -> None:
        self._heard[event.announcement.instance] = event.announcement

    @_handle.register
    def _handle_lost(self, event: ControlLost, now_s: float) -> None:
        """Let the lease run out by itself."""

    @_handle.register
    def _handle_control(self, event: ControlReceived, now_s: float) -> None:
        message = event.message
        if isinstance(message, LeaseGranted):
            self._link.take_lease(message)
        elif isinstance(message, StateReplaced):
            self._link.take_state(message)
        elif isinstance(message, StateChanged):
            self._link.take_commands(message)
        elif isinstance(message, RosterChanged):
            self._picker.replace_roster(message.announcements)

    def _retry(self, running: _Running, now_s: float) -> None:
        if now_s < running.waiting.due_s and self._queue.add(running.waiting):
            return
        self._refuse(running.waiting.request_id, _describe_late())

    def _refuse_overdue(self, now_s: float) -> None:
        for waiting in self._queue.get_ordered():
            if waiting.due_s > now_s:
                return
            self._queue.remove(waiting.request_id)
            self._refuse(waiting.request_id, _describe_late())

    def _dispatch(self, now_s: float) -> None:
        if not self._link.has_lease(now_s):
            return
        for waiting in self._queue.get_ordered():
            if self._usage.count(waiting.team) < self._link.get_amount(
                waiting.team,
            ):
                self._start(waiting, now_s)

    def _start(self, waiting: Waiting, now_s: float) -> None:
        upstream = self._picker.choose(self.state, waiting.pool)
        site = self._settings.data_centre
        pool = get_pool(self.state, waiting.pool, site)
        if upstream is None or pool is None:
            return
        self._queue.remove(waiting.request_id)
        self._usage.start(waiting.request_id, waiting.team)
        self._picker.start(upstream.instance)
        self._running[waiting.request_id] = _Running(
            waiting,
            upstream,
            now_s + pool.run_bound_s,
        )
        timeout_s = min(waiting.due_s - now_s, pool.run_bound_s)
        self._outputs.append(
            StartAttempt(waiting.request_id, upstream, timeout_s),
        )

    def _renew(self, now_s: float) -> None:
        demands = self._get_demands()
        is_urgent = any(
            demand.wanted > self._link.get_amount(demand.team)
            for demand in demands
        )
        renewal = self._link.get_renewal(
            now_s,
            demands,
            is_urgent=is_urgent,
        )
        if renewal is not None:
            self._outputs.append(SendToControl(renewal))

    def _get_demands(self) -> tuple[TeamDemand, ...]:
        waiting_teams = {one.team for one in self._queue.get_ordered()}
        return tuple(
            TeamDemand(
                team,
                self._usage.count(team) + self._queue.count(team),
                self._usage.count(team),
            )
            for team in sorted(waiting_teams | self._usage.get_teams())
        )

    def _refuse(self, request_id: int, refusal: Refusal) -> None:
        self._outputs.append(RefuseRequest(request_id, refusal))


def _describe_late() -> Refusal:
    return refuse_not_run(
        'admission.E008',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'No slot or no part of the limit came free before the deadline.',
        _COME_BACK_S,
    )


def _describe_unknown(event: AttemptEnded) -> Refusal:
    if event.attempt_result is AttemptResult.timed_out:
        return refuse_unknown(
            'routing.E001',
            HTTPStatus.GATEWAY_TIMEOUT,
            'The upstream did not answer in time; it may have run this.',
        )
    return refuse_unknown(
        'routing.E002',
        HTTPStatus.BAD_GATEWAY,
        'The upstream broke off its answer; it may have run this.',
    )
