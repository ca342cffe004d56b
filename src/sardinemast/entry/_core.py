"""Decide how an entry handles requests, without performing any I/O."""

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, NamedTuple

from sardinemast.admission import (
    Admission,
    Arrival,
    Refusal,
    RequestScheduler,
    SlotAllotments,
    check_arrival,
    refuse_without_lease,
)
from sardinemast.entry._control_link import ControlLink
from sardinemast.entry._demand_reports import DemandReports
from sardinemast.entry._events import (
    AttemptEnded,
    CallerDisconnected,
    ControlDisconnected,
    ControlReceived,
    EntryEvent,
    EntryOutput,
    ForwardAnswer,
    RefuseRequest,
    RequestArrived,
    SendToControl,
    Tick,
    UpstreamAnnounced,
)
from sardinemast.entry._reports import UpstreamReports
from sardinemast.fleet import FleetState, get_pool
from sardinemast.grants import GrantHolder
from sardinemast.membership import Announcement, RosterUpstream, RosterView
from sardinemast.protocol import (
    AllotSlots,
    LeaseGranted,
    RecallGrants,
    RosterChanged,
    StateChanged,
    StateReplaced,
)
from sardinemast.routing import AttemptTable, NextStep


class EntrySettings(NamedTuple):
    """Identify the entry and its data centre."""

    name: str
    incarnation: int
    data_centre: str


class EntryCore:
    """Combine admission and routing on the replicated state."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._link = ControlLink()
        self._holder = GrantHolder(settings.name, settings.incarnation)
        self._scheduler = RequestScheduler()
        self._slots = SlotAllotments(settings.data_centre)
        self._demand_reports = DemandReports(
            self._link,
            self._holder,
            self._scheduler,
            self._slots,
        )
        self._attempts = AttemptTable(
            settings.data_centre,
            Random(settings.incarnation),
        )
        self._roster = RosterView()
        self._upstream_reports = UpstreamReports(self._roster)
        # A dict, since functools.singledispatchmethod builds a closure on each
        # call, which costs more than the rest of a step.
        self._handlers: dict[type, Callable[[Any, float], None]] = {
            Tick: self._handle_tick,
            RequestArrived: self._handle_arrival,
            CallerDisconnected: self._handle_caller_disconnected,
            AttemptEnded: self._handle_attempt_ended,
            UpstreamAnnounced: self._handle_announced,
            ControlReceived: self._handle_control,
            ControlDisconnected: self._handle_control_disconnected,
        }
        self._outputs: list[EntryOutput] = []

    @property
    def state(self) -> FleetState:
        """Return the replicated state as applied at this entry."""
        return self._link.state

    @property
    def upstreams(self) -> tuple[Announcement, ...]:
        """Return the upstreams known to this entry."""
        return self._roster.announcements

    def is_ready(self, now_s: float) -> bool:
        """Check whether the balancer may send requests to this entry."""
        return self._link.has_lease(now_s)

    def start_returning_grants(self) -> None:
        """Return all grants; call this once no request is waiting."""
        self._holder.start_returning_grants()

    def holds_grants(self) -> bool:
        """Check whether the log holds any grant of this entry."""
        return self._holder.holds_any(self.state)

    def check_head(self, arrival: Arrival, now_s: float) -> Refusal | int:
        """Return the body size limit in bytes, or refuse by the headers."""
        refusal = self._check_arrival(arrival, now_s)
        if isinstance(refusal, Refusal):
            return refusal
        pool = get_pool(self.state, arrival.pool, self._settings.data_centre)
        return pool.body_limit_bytes if pool else 0

    def step(self, event: EntryEvent, now_s: float) -> list[EntryOutput]:
        """Process an event; return the outputs to execute in order."""
        self._outputs = []
        self._handlers[type(event)](event, now_s)
        for request_id, refusal in self._scheduler.expire(now_s):
            self._refuse(request_id, refusal)
        self._dispatch(now_s)
        for message in self._demand_reports.build(now_s):
            self._outputs.append(SendToControl(message))
        return self._outputs

    def _handle_tick(self, event: Tick, now_s: float) -> None:
        self._outputs.extend(
            SendToControl(message)
            for message in self._upstream_reports.build_due_reports(now_s)
        )

    def _handle_arrival(self, event: RequestArrived, now_s: float) -> None:
        refusal = self._admit(event, now_s)
        if refusal is not None:
            self._refuse(event.arrival.request_id, refusal)

    def _admit(self, event: RequestArrived, now_s: float) -> Refusal | None:
        checked = self._check_arrival(event.arrival, now_s)
        if isinstance(checked, Refusal):
            return checked
        return self._scheduler.enqueue(event.arrival, checked, now_s)

    def _check_arrival(
        self, arrival: Arrival, now_s: float
    ) -> Admission | Refusal:
        if not self._link.has_lease(now_s):
            return refuse_without_lease()
        return check_arrival(
            self.state,
            self._settings.data_centre,
            arrival,
            now_s,
        )

    def _handle_caller_disconnected(
        self, event: CallerDisconnected, now_s: float
    ) -> None:
        # Running attempts continue and keep their slots; only a request that
        # still waits is dropped.
        self._scheduler.cancel(event.request_id)
        self._attempts.abandon(event.request_id)

    def _handle_attempt_ended(self, event: AttemptEnded, now_s: float) -> None:
        outcome = self._attempts.end(
            event.request_id,
            event.attempt_result,
            now_s,
        )
        if outcome.next_step is NextStep.retry:
            refusal = self._scheduler.requeue(
                outcome.request,
                now_s,
                outcome.held_until_s,
                outcome.not_before_s,
            )
        else:
            self._scheduler.end(
                outcome.request,
                outcome.held_until_s,
                now_s,
            )
            refusal = outcome.refusal
        if refusal is not None:
            self._refuse(event.request_id, refusal)
        elif outcome.next_step is NextStep.pass_answer:
            self._outputs.append(ForwardAnswer(event.request_id))

    def _handle_announced(
        self,
        event: UpstreamAnnounced,
        now_s: float,
    ) -> None:
        self._upstream_reports.record(event.announcement, now_s)
        if self._roster.accept_departure(event.announcement, now_s):
            self._apply_roster(now_s)

    def _handle_control_disconnected(
        self, event: ControlDisconnected, now_s: float
    ) -> None:
        """Keep the lease until it expires; report all to the next leader."""
        self._roster.clear_handles()
        self._demand_reports.reset()

    def _handle_control(self, event: ControlReceived, now_s: float) -> None:
        message = event.message
        if isinstance(message, LeaseGranted):
            self._link.handle_lease(message)
        elif isinstance(message, StateReplaced):
            self._link.replace_state(message)
        elif isinstance(message, StateChanged):
            self._link.apply_commands(message)
        elif isinstance(message, RosterChanged):
            self._handle_roster(message, now_s)
        elif isinstance(message, RecallGrants):
            self._holder.record_recalls(message.recalls)
        elif isinstance(message, AllotSlots):
            self._slots.replace_allotments(message.pools)
            self._scheduler.replace_allotments(message.pools)

    def _handle_roster(self, message: RosterChanged, now_s: float) -> None:
        handles = message.handles or (0,) * len(message.announcements)
        upstreams = tuple(
            map(RosterUpstream, handles, message.announcements),
        )
        if message.is_snapshot:
            self._roster.replace(
                upstreams,
                now_s,
                is_complete=message.is_complete,
            )
            self._upstream_reports.start_epoch(message.epoch)
        else:
            self._roster.apply_changes(
                upstreams, message.removed_handles, now_s
            )
        self._apply_roster(now_s)

    def _apply_roster(self, now_s: float) -> None:
        self._attempts.replace_roster(self._roster.announcements, now_s)
        self._slots.replace_roster(self._roster.announcements)

    def _dispatch(self, now_s: float) -> None:
        if not self._link.has_lease(now_s):
            return
        for request in self._scheduler.get_ready(
            partial(self._holder.get_usable, self.state),
            partial(self._slots.get_slots, self.state),
            now_s,
        ):
            attempt = self._attempts.start(self.state, request, now_s)
            if attempt is not None:
                self._scheduler.start(request, now_s)
                self._outputs.append(
                    attempt._replace(valid_until_s=self._link.lease_until_s),
                )

    def _refuse(self, request_id: int, refusal: Refusal) -> None:
        refusal = self._attempts.resolve_refusal(request_id, refusal)
        self._outputs.append(RefuseRequest(request_id, refusal))
