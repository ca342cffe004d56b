"""Decide what an entry does with requests, without input or output."""

from functools import singledispatchmethod
from random import Random
from typing import NamedTuple

from sardinemast.admission import (
    Admitted,
    Arrival,
    Dispatcher,
    Refusal,
    check_arrival,
    refuse_without_lease,
)
from sardinemast.entry._events import (
    AttemptEnded,
    CallerLeft,
    ControlLost,
    ControlReceived,
    EntryEvent,
    EntryOutput,
    PassAnswer,
    RefuseRequest,
    RequestArrived,
    SendToControl,
    Tick,
    UpstreamAnnounced,
)
from sardinemast.entry._link import ControlLink
from sardinemast.entry._reports import UpstreamReports
from sardinemast.fleet import FleetState, get_pool
from sardinemast.membership import Announcement, RosterUpstream, RosterView
from sardinemast.protocol import (
    LeaseGranted,
    RosterChanged,
    StateChanged,
    StateReplaced,
)
from sardinemast.routing import AttemptTable, NextStep


class EntrySettings(NamedTuple):
    """Name the entry and the data centre it stands in."""

    name: str
    incarnation: int
    data_centre: str


class EntryCore:
    """Join admission and routing on one replicated state."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._link = ControlLink(settings.name, settings.incarnation)
        self._dispatcher = Dispatcher()
        self._attempts = AttemptTable(
            settings.data_centre,
            Random(settings.incarnation),
        )
        self._view = RosterView()
        self._reports = UpstreamReports(self._view)
        self._outputs: list[EntryOutput] = []

    @property
    def state(self) -> FleetState:
        """Give the state as this entry has it."""
        return self._link.state

    @property
    def upstreams(self) -> tuple[Announcement, ...]:
        """Give the upstreams as this entry knows them."""
        return self._view.announcements

    def is_ready(self, now_s: float) -> bool:
        """Tell the balancer whether to send requests here."""
        return self._link.has_lease(now_s)

    def holds_grants(self) -> bool:
        """Tell whether the log has grants of this entry."""
        return any(
            self._link.get_amount(team)
            for team in self._link.get_granted_teams()
        )

    def check_head(self, arrival: Arrival, now_s: float) -> Refusal | int:
        """Give the limit of the body in bytes, or refuse by the head."""
        refusal = self._check(arrival, now_s)
        if isinstance(refusal, Refusal):
            return refusal
        pool = get_pool(self.state, arrival.pool, self._settings.data_centre)
        return pool.body_limit_bytes if pool else 0

    def step(self, event: EntryEvent, now_s: float) -> list[EntryOutput]:
        """Take an event and give the outputs, to be carried out in order."""
        self._outputs = []
        self._handle(event, now_s)
        for request_id, refusal in self._dispatcher.expire(now_s):
            self._refuse(request_id, refusal)
        self._dispatch(now_s)
        self._renew(now_s)
        return self._outputs

    @singledispatchmethod
    def _handle(self, event: EntryEvent, now_s: float) -> None:
        raise TypeError(event)

    @_handle.register
    def _handle_tick(self, event: Tick, now_s: float) -> None:
        self._outputs.extend(
            SendToControl(message) for message in self._reports.take_due(now_s)
        )

    @_handle.register
    def _handle_arrival(self, event: RequestArrived, now_s: float) -> None:
        refusal = self._admit(event, now_s)
        if refusal is not None:
            self._refuse(event.arrival.request_id, refusal)

    def _admit(self, event: RequestArrived, now_s: float) -> Refusal | None:
        checked = self._check(event.arrival, now_s)
        if isinstance(checked, Refusal):
            return checked
        return self._dispatcher.take(event.arrival, checked, now_s)

    def _check(self, arrival: Arrival, now_s: float) -> Admitted | Refusal:
        if not self._link.has_lease(now_s):
            return refuse_without_lease()
        return check_arrival(
            self.state,
            self._settings.data_centre,
            arrival,
            now_s,
        )

    @_handle.register
    def _handle_caller_left(self, event: CallerLeft, now_s: float) -> None:
        # What runs goes on and keeps its place; only what waits is dropped.
        self._dispatcher.drop(event.request_id)
        self._attempts.leave(event.request_id)

    @_handle.register
    def _handle_ended(self, event: AttemptEnded, now_s: float) -> None:
        ending = self._attempts.end(
            event.request_id,
            event.attempt_result,
            now_s,
        )
        if ending.next_step is NextStep.retry:
            refusal = self._dispatcher.take_again(
                ending.waiting,
                now_s,
                ending.held_until_s,
            )
        else:
            self._dispatcher.end(event.request_id, ending.held_until_s)
            refusal = ending.refusal
        if refusal is not None:
            self._refuse(event.request_id, refusal)
        elif ending.next_step is NextStep.pass_answer:
            self._outputs.append(PassAnswer(event.request_id))

    @_handle.register
    def _handle_announced(
        self,
        event: UpstreamAnnounced,
        now_s: float,
    ) -> None:
        self._reports.hear(event.announcement, now_s)
        if self._view.take_leaving(event.announcement, now_s):
            self._attempts.replace_roster(self._view.announcements, now_s)

    @_handle.register
    def _handle_lost(self, event: ControlLost, now_s: float) -> None:
        """Let the lease run out by itself; the handles are the leader's."""
        self._view.forget_handles()

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
            self._take_roster(message, now_s)

    def _take_roster(self, message: RosterChanged, now_s: float) -> None:
        handles = message.handles or (0,) * len(message.announcements)
        upstreams = tuple(
            map(RosterUpstream, handles, message.announcements),
        )
        if message.is_whole:
            self._view.replace(
                upstreams,
                now_s,
                is_complete=message.is_complete,
            )
            self._reports.start_epoch(message.epoch)
        else:
            self._view.change(upstreams, message.gone, now_s)
        self._attempts.replace_roster(self._view.announcements, now_s)

    def _dispatch(self, now_s: float) -> None:
        if not self._link.has_lease(now_s):
            return
        for waiting in self._dispatcher.get_ready(
            self._link.get_amount,
            now_s,
        ):
            attempt = self._attempts.start(self.state, waiting, now_s)
            if attempt is not None:
                self._dispatcher.start(waiting)
                self._outputs.append(attempt)

    def _renew(self, now_s: float) -> None:
        demands = self._dispatcher.get_demands()
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

    def _refuse(self, request_id: int, refusal: Refusal) -> None:
        refusal = self._attempts.conclude(request_id, refusal)
        self._outputs.append(RefuseRequest(request_id, refusal))
