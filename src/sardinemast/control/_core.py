"""Decide what a control process does, without input or output."""

from collections.abc import Iterable
from functools import singledispatchmethod
from random import Random
from typing import NamedTuple

from sardinemast import consensus
from sardinemast.control._events import (
    AnswerOperator,
    ControlEvent,
    ControlOutput,
    EntryConnected,
    EntryDisconnected,
    EntryReceived,
    OperatorAnswer,
    OperatorAsked,
    PeerReceived,
    SendToEntry,
    Tick,
)
from sardinemast.control._operators import PendingCommands
from sardinemast.control._sessions import LEASE_S, EntrySessions, Session
from sardinemast.fleet import (
    COMMANDS,
    AssignInstance,
    ChangeGrants,
    Command,
    FleetState,
    GrantChange,
    RegisterEntry,
    apply_command,
    dump_state,
)
from sardinemast.grants import EntryWish, plan_changes, plan_releases
from sardinemast.membership import Roster
from sardinemast.protocol import (
    AppliedCommand,
    ControlMessage,
    LeaseGranted,
    NotLeader,
    RenewLease,
    ReportUpstreams,
    RosterChanged,
    StateChanged,
    StateReplaced,
)

_INTERNAL_REQUEST = 0


class ControlSettings(NamedTuple):
    """Name the process and its peers."""

    replica: consensus.ReplicaSettings
    lease_s: float = LEASE_S


class ControlCore:
    """Lead or follow, and serve entries and operators."""

    def __init__(
        self,
        settings: ControlSettings,
        hard_state: consensus.HardState,
        entries: tuple[consensus.LogEntry, ...],
        random: Random,
    ) -> None:
        self.state = FleetState()
        self.replica = consensus.Replica(
            settings.replica,
            hard_state,
            entries,
            random,
        )
        self._settings = settings
        self._sessions = EntrySessions()
        self._pending = PendingCommands()
        self._roster = Roster()
        self._planned: set[tuple[str, int, str]] = set()
        self._fresh: list[AppliedCommand] = []
        self._is_ready = False
        self._outputs: list[ControlOutput] = []

    def is_leader(self, now_s: float) -> bool:
        """Tell whether this process may answer for the state now."""
        return self._is_ready and self.replica.has_lease(now_s)

    def step(self, event: ControlEvent, now_s: float) -> list[ControlOutput]:
        """Take an event and give the outputs, to be carried out in order."""
        self._outputs = []
        self._handle(event, now_s)
        self._send_fresh()
        self._answer_operators(now_s)
        return self._outputs

    @singledispatchmethod
    def _handle(self, event: ControlEvent, now_s: float) -> None:
        raise TypeError(event)

    @_handle.register
    def _handle_tick(self, event: Tick, now_s: float) -> None:
        self._step_replica(consensus.Tick(), now_s)
        if not self.is_leader(now_s):
            return
        if self._roster.expire(now_s):
            self._send_roster()
        self._propose_grants(
            plan_releases(self.state, self._get_dead_until_s(), now_s),
            now_s,
        )

    @_handle.register
    def _handle_peer(self, event: PeerReceived, now_s: float) -> None:
        received = consensus.MessageReceived(event.sender, event.message)
        self._step_replica(received, now_s)

    @_handle.register
    def _handle_operator(self, event: OperatorAsked, now_s: float) -> None:
        self._propose(event.command, event.request_id, now_s)

    @_handle.register
    def _handle_connected(self, event: EntryConnected, now_s: float) -> None:
        if not self.is_leader(now_s):
            self._send(event.stream_id, NotLeader(self.replica.leader))
            return
        session = Session(event.stream_id, event.entry, event.incarnation)
        self._sessions.open(session)
        known = self.state.entries.get(event.entry)
        if known is None or known.incarnation != event.incarnation:
            self._propose(
                RegisterEntry(event.entry, event.incarnation),
                _INTERNAL_REQUEST,
                now_s,
            )
        self._send(event.stream_id, StateReplaced(dump_state(self.state)))
        self._send(
            event.stream_id,
            RosterChanged(self._roster.announcements),
        )

    @_handle.register
    def _handle_disconnected(
        self,
        event: EntryDisconnected,
        now_s: float,
    ) -> None:
        self._sessions.close(event.stream_id)

    @_handle.register
    def _handle_entry(self, event: EntryReceived, now_s: float) -> None:
        session = self._sessions.sessions.get(event.stream_id)
        if session is None or not self.is_leader(now_s):
            self._sessions.close(event.stream_id)
            self._send(event.stream_id, NotLeader(self.replica.leader))
        elif isinstance(event.message, RenewLease):
            self._renew(session, event.message, now_s)
        else:
            self._take_report(event.message, now_s)

    def _renew(
        self,
        session: Session,
        message: RenewLease,
        now_s: float,
    ) -> None:
        # A lease goes only to the incarnation that the log knows, so that
        # the count of entries in force misses nobody who serves.
        registered = self.state.entries.get(session.entry)
        if registered is None or registered.incarnation != session.incarnation:
            return
        self._sessions.note_renewal(session.entry, message.applied_index)
        self._sessions.grant_lease(
            (session.entry, session.incarnation),
            now_s,
        )
        self._send(
            session.stream_id,
            LeaseGranted(message.sent_at_s, self._settings.lease_s),
        )
        wish = EntryWish(
            session.entry,
            session.incarnation,
            message.demands,
            message.returns,
        )
        self._propose_grants(plan_changes(self.state, wish), now_s)

    def _take_report(self, report: ReportUpstreams, now_s: float) -> None:
        is_changed = False
        for one in report.announcements:
            is_changed |= self._roster.take_announcement(one, now_s)
            if (
                one.instance not in self.state.instances
                and one.pool in self.state.document.pools
            ):
                self._propose(
                    AssignInstance('', one.instance, one.pool),
                    _INTERNAL_REQUEST,
                    now_s,
                )
        if is_changed:
            self._send_roster()

    def _propose_grants(
        self,
        changes: list[GrantChange],
        now_s: float,
    ) -> None:
        fresh = tuple(
            change
            for change in changes
            if (change.entry, change.incarnation, change.team)
            not in self._planned
        )
        if not fresh:
            return
        self._planned.update(
            (change.entry, change.incarnation, change.team) for change in fresh
        )
        self._propose(ChangeGrants(fresh), _INTERNAL_REQUEST, now_s)

    def _propose(self, command: Command, request_id: int, now_s: float) -> None:
        payload = COMMANDS.encode(command)
        self._step_replica(
            consensus.CommandProposed(request_id, payload),
            now_s,
        )

    def _step_replica(self, event: consensus.Event, now_s: float) -> None:
        for output in self.replica.step(event, now_s):
            self._take_output(output, now_s)

    def _take_output(self, output: consensus.Output, now_s: float) -> None:
        if isinstance(output, consensus.ApplyEntry):
            self._apply(output.entry)
        elif isinstance(output, consensus.ProposalAccepted):
            if output.proposal_id != _INTERNAL_REQUEST:
                self._pending.note_proposal(
                    output.proposal_id,
                    output.log_index,
                    output.term,
                )
        elif isinstance(output, consensus.ProposalRejected):
            self._answer_elsewhere(output.proposal_id)
        else:
            if isinstance(output, consensus.RoleChanged):
                self._change_role(output, now_s)
            self._outputs.append(output)

    def _apply(self, entry: consensus.LogEntry) -> None:
        if entry.payload:
            command = COMMANDS.decode(entry.payload)
            outcome = apply_command(self.state, command, entry.log_index)
            self._pending.note_applied(entry.log_index, entry.term, outcome)
            if isinstance(command, ChangeGrants):
                self._planned.difference_update(
                    (change.entry, change.incarnation, change.team)
                    for change in command.changes
                )
        self.state.log_index = entry.log_index
        # The first entry of the own term shows that all entries of former
        # terms are applied; before that a leader may lack acknowledged ones.
        if entry.term == self.replica.term:
            self._is_ready = self.replica.role is consensus.Role.leader
        self._fresh.append(AppliedCommand(entry.log_index, entry.payload))

    def _change_role(
        self,
        changed: consensus.RoleChanged,
        now_s: float,
    ) -> None:
        self._is_ready = False
        self._planned.clear()
        if changed.role is consensus.Role.leader:
            self._sessions.start_term(now_s)
            return
        for request_id in self._pending.give_up():
            self._answer_elsewhere(request_id)

    def _answer_elsewhere(self, request_id: int) -> None:
        if request_id == _INTERNAL_REQUEST:
            return
        answer = OperatorAnswer(None, 0, 0, 0, self.replica.leader)
        self._outputs.append(AnswerOperator(request_id, answer))

    def _answer_operators(self, now_s: float) -> None:
        if not self.is_leader(now_s):
            return
        for answered in self._pending.take_answers(
            self.state,
            self._sessions,
            now_s,
        ):
            self._outputs.append(AnswerOperator(*answered))

    def _send_fresh(self) -> None:
        if self._fresh:
            self._send_all(StateChanged(tuple(self._fresh)))
            self._fresh = []

    def _send_roster(self) -> None:
        self._send_all(RosterChanged(self._roster.announcements))

    def _send_all(self, message: ControlMessage) -> None:
        for stream_id in self._sessions.sessions:
            self._send(stream_id, message)

    def _send(self, stream_id: int, message: ControlMessage) -> None:
        self._outputs.append(SendToEntry(stream_id, message))

    def _get_dead_until_s(self) -> dict[tuple[str, int], float]:
        bound_s = self._get_longest_run_s()
        holders: Iterable[tuple[str, int]] = {
            (grant.entry, grant.incarnation)
            for grant in self.state.grants.values()
        }
        return {
            holder: self._sessions.get_lease_until_s(holder) + bound_s
            for holder in holders
            if not self._sessions.is_connected(*holder)
        }

    def _get_longest_run_s(self) -> float:
        document = self.state.document
        pools = [
            *document.pools.values(),
            *(
                pool
                for of_site in document.site_pools.values()
                for pool in of_site.values()
            ),
        ]
        return max((pool.run_bound_s for pool in pools), default=0)
