"""Control process as a deterministic state machine without I/O."""

from functools import singledispatchmethod
from random import Random
from typing import NamedTuple

from sardinemast import consensus, dispatch
from sardinemast.control._apply_queue import ApplyQueue
from sardinemast.control._context import INTERNAL_REQUEST, ControlContext
from sardinemast.control._entry_handler import EntryHandler
from sardinemast.control._events import (
    AnswerOperator,
    AnswerRepair,
    ApplyDue,
    CommandRequested,
    CommandsRequested,
    ControlEvent,
    ControlOutput,
    EntryConnected,
    EntryDisconnected,
    EntryMessageReceived,
    JobEvent,
    OperatorAnswer,
    PeerMessageReceived,
    RepairRequested,
    ScheduleApply,
    Tick,
)
from sardinemast.control._grant_planner import GrantPlanner
from sardinemast.control._job_controller import JobController, ReplicaAccess
from sardinemast.control._pending_commands import PendingCommands
from sardinemast.control._sessions import LEASE_S, EntrySessions
from sardinemast.control._slot_allocator import SlotAllocator
from sardinemast.control._snapshot_schedule import SnapshotSchedule
from sardinemast.control._snapshots import encode_snapshot, restore_snapshot
from sardinemast.fleet import (
    COMMANDS,
    AdvanceTime,
    Command,
    EntryUpdate,
    FleetState,
    RetireEntry,
    apply_command,
    is_known_command,
    make_entry_update,
)
from sardinemast.protocol import (
    HeardUpstreams,
    NotLeader,
    RenewLease,
    ReportDemand,
    ReportPools,
    ReportUpstreams,
)

_TIME_COMMAND_INTERVAL_S = 60.0
_SNAPSHOT_BYTES = 16_777_216


class ControlSettings(NamedTuple):
    """Configure the replica, leases, snapshots and dispatching.

    A snapshot is taken after every ``snapshot_entries`` applied entries, and
    earlier once they hold ``snapshot_bytes`` and more than the last snapshot.
    """

    replica: consensus.ReplicaSettings
    lease_s: float = LEASE_S
    snapshot_entries: int = 10_000
    snapshot_bytes: int = _SNAPSHOT_BYTES
    dispatching: dispatch.DispatchSettings = dispatch.DispatchSettings()


class ControlCore:
    """Replicate commands; serve entries, operators and callers as leader."""

    def __init__(
        self,
        settings: ControlSettings,
        hard_state: consensus.HardState,
        entries: tuple[consensus.LogEntry, ...],
        random: Random,
        *,
        folder: consensus.FolderIdentity | None = None,
        snapshot: consensus.Snapshot | None = None,
    ) -> None:
        self.state = FleetState()
        self.replica = consensus.Replica(
            settings.replica,
            hard_state,
            entries,
            random,
            folder=folder,
            snapshot=snapshot,
        )
        if snapshot is not None:
            restore_snapshot(self.state, snapshot.image)
        self._snapshot_schedule = SnapshotSchedule(
            settings.snapshot_entries, settings.snapshot_bytes
        )
        self._batch: list[consensus.CommandProposed] | None = None
        self._outputs: list[ControlOutput] = []
        self._context = ControlContext(
            self.state,
            self._outputs,
            self._propose,
            settings.lease_s,
        )
        self._sessions = EntrySessions(settings.lease_s)
        self._entry_handler = EntryHandler(self._context, self._sessions)
        self._grant_planner = GrantPlanner(self._context, self._sessions)
        self._slot_allocator = SlotAllocator(self._context, self._sessions)
        self._pending = PendingCommands()
        self._job_controller = JobController(
            self._context,
            settings.dispatching,
            ReplicaAccess(self.replica, self.is_leader, self._step_replica),
        )
        self.list_leader_gauges = self._job_controller.list_gauges
        self._is_ready = False
        self._apply_queue = ApplyQueue(self._apply)
        # Bound once: each attribute access of a singledispatchmethod creates a
        # new function.
        self._handle_event = self._handle

    def is_leader(self, now_s: float) -> bool:
        """Return whether this process leads, is up to date and has a lease."""
        return self._is_ready and self.replica.has_lease(now_s)

    def step(self, event: ControlEvent, now_s: float) -> list[ControlOutput]:
        """Handle an event and return the outputs, to be executed in order."""
        self._outputs.clear()
        self._apply_queue.begin_step(now_s)
        self._handle_event(event, now_s)
        self._sessions.record_log_index(self.state.log_index, now_s)
        self._entry_handler.streams.send_applied(now_s)
        self._answer_operators(now_s)
        self._take_snapshot(now_s)
        if self._apply_queue.schedule_step():
            self._outputs.append(ScheduleApply())
        return list(self._outputs)

    @singledispatchmethod
    def _handle(self, event: ControlEvent, now_s: float) -> None:
        raise TypeError(event)

    @_handle.register
    def _handle_tick(self, event: Tick, now_s: float) -> None:
        self._step_replica(consensus.Tick(), now_s)
        self._job_controller.tick(now_s, event.wall_ms)
        if self.is_leader(now_s):
            self._entry_handler.roster.check(now_s)
            self._entry_handler.retire_expired(now_s)
            self._grant_planner.tick(now_s)
            self._slot_allocator.tick(now_s)

    @_handle.register
    def _handle_apply(self, event: ApplyDue, now_s: float) -> None:
        self._apply_queue.clear_scheduled()

    @_handle.register
    def _handle_job_event(self, event: JobEvent, now_s: float) -> None:
        self._job_controller.handle(event, now_s)

    @_handle.register
    def _handle_peer(self, event: PeerMessageReceived, now_s: float) -> None:
        received = consensus.MessageReceived(*event)
        self._step_replica(received, now_s)

    @_handle.register
    def _handle_operator(self, event: CommandRequested, now_s: float) -> None:
        if event.wall_s >= self.state.wall_s + _TIME_COMMAND_INTERVAL_S:
            self._propose(AdvanceTime(event.wall_s), INTERNAL_REQUEST, now_s)
        self._propose(event.command, event.request_id, now_s)

    @_handle.register
    def _handle_operators(self, event: CommandsRequested, now_s: float) -> None:
        self._batch = []
        for request in event.requests:
            self._handle_operator(request, now_s)
        proposals = consensus.BatchProposed(tuple(self._batch))
        self._batch = None
        self._step_replica(proposals, now_s)

    @_handle.register
    def _handle_repair(self, event: RepairRequested, now_s: float) -> None:
        request = consensus.RepairRequested(INTERNAL_REQUEST, event.name)
        outputs = self.replica.step(request, now_s)
        is_accepted = any(
            isinstance(one, consensus.ProposalAccepted) for one in outputs
        )
        for output in outputs:
            self._handle_output(output, now_s)
        self._outputs.append(
            AnswerRepair(event.request_id, is_accepted, self.replica.leader),
        )

    @_handle.register
    def _handle_connected(self, event: EntryConnected, now_s: float) -> None:
        if self.is_leader(now_s):
            self._entry_handler.connect(event, now_s)
        else:
            not_leader = NotLeader(self.replica.leader)
            self._context.send(event.stream_id, not_leader)

    @_handle.register
    def _handle_disconnected(
        self,
        event: EntryDisconnected,
        now_s: float,
    ) -> None:
        self._sessions.close(event.stream_id)
        self._entry_handler.streams.discard_closed()

    @_handle.register
    def _handle_entry(self, event: EntryMessageReceived, now_s: float) -> None:
        session = self._sessions.sessions.get(event.stream_id)
        if session is None or not self.is_leader(now_s):
            self._sessions.close(event.stream_id)
            not_leader = NotLeader(self.replica.leader)
            self._context.send(event.stream_id, not_leader)
        elif isinstance(event.message, ReportUpstreams):
            self._entry_handler.roster.handle_report(event.message, now_s)
        elif isinstance(event.message, HeardUpstreams):
            self._entry_handler.roster.handle_digest(event.message, now_s)
        elif self._grant_planner.is_releasing(session):
            return
        elif isinstance(event.message, RenewLease):
            if self._entry_handler.renew(session, event.message, now_s):
                self._grant_planner.handle_demand(session, event.message, now_s)
        elif isinstance(event.message, ReportPools):
            self._slot_allocator.handle_report(session, event.message)
        elif isinstance(event.message, ReportDemand):
            self._grant_planner.handle_demand(session, event.message, now_s)

    def _propose(self, command: Command, request_id: int, now_s: float) -> None:
        proposal = consensus.CommandProposed(
            request_id,
            COMMANDS.encode(command),
        )
        if self._batch is None:
            self._step_replica(proposal, now_s)
        else:
            self._batch.append(proposal)

    def _take_snapshot(self, now_s: float) -> None:
        index = self.state.log_index
        last = self.replica.log.snapshot
        # A restarted replica applies its whole log first: a snapshot is saved
        # with all entries that it does not cover, beside the old log.
        if not self._apply_queue.is_empty:
            return
        if self._snapshot_schedule.is_due(index, last):
            self._snapshot_schedule.restart()
            image = encode_snapshot(self.state)
            self._step_replica(consensus.SnapshotTaken(index, image), now_s)

    def _step_replica(self, event: consensus.Event, now_s: float) -> None:
        for output in self.replica.step(event, now_s):
            self._handle_output(output, now_s)

    def _handle_output(self, output: consensus.Output, now_s: float) -> None:
        if isinstance(output, consensus.ApplyEntry):
            self._apply_queue.put(output.entry, now_s)
        elif isinstance(output, consensus.RestoreSnapshot):
            # The snapshot contains all entries that were still queued.
            self._apply_queue.clear()
            self._snapshot_schedule.restart()
            restore_snapshot(self.state, output.snapshot.image)
            self._job_controller.handle_restored(now_s)
        elif isinstance(output, consensus.ProposalAccepted):
            self._pending.record_proposal(output)
        elif isinstance(output, consensus.ProposalRejected):
            self._answer_not_leader(output.proposal_id)
        else:
            if isinstance(output, consensus.RoleChanged):
                self._change_role(output, now_s)
            self._outputs.append(output)

    def _apply(self, entry: consensus.LogEntry, now_s: float) -> None:
        applied = EntryUpdate(entry.log_index, b'', {})
        if entry.payload:
            applied = self._apply_command(entry, now_s)
        self.state.log_index = entry.log_index
        self._snapshot_schedule.record_applied(entry)
        # Only after applying an entry of its own term does a leader know that
        # it has applied every entry acknowledged in earlier terms.
        if entry.term == self.replica.term:
            was_ready = self._is_ready
            self._is_ready = self.replica.role is consensus.Role.leader
            if self._is_ready and not was_ready:
                self._job_controller.start_term(now_s)
        self._entry_handler.streams.handle_applied(applied)

    def _apply_command(
        self,
        entry: consensus.LogEntry,
        now_s: float,
    ) -> EntryUpdate:
        command = COMMANDS.decode(entry.payload)
        is_known = is_known_command(self.state, command)
        outcome = apply_command(self.state, command, entry.log_index)
        self._pending.handle_applied(entry, outcome, now_s)
        self._grant_planner.handle_applied(command, self.state)
        if isinstance(command, RetireEntry):
            self._entry_handler.handle_retired(command)
        self._job_controller.handle_applied(command, now_s)
        # Entries don't deduplicate commands, so a resent command is withheld
        # from them; a rejected one changes nothing.
        if is_known or not outcome.is_accepted:
            return EntryUpdate(entry.log_index, b'', {})
        return make_entry_update(self.state, command, entry.log_index)

    def _change_role(
        self,
        changed: consensus.RoleChanged,
        now_s: float,
    ) -> None:
        self._is_ready = False
        self._grant_planner.start_term(now_s)
        self._slot_allocator.start_term()
        if changed.role is consensus.Role.leader:
            self._entry_handler.start_term(changed.term, now_s)
            return
        self._job_controller.end_term()
        self._outputs.extend(
            self._pending.answer_on_step_down(
                self.state, self._sessions, now_s
            ),
        )
        self._entry_handler.end_term(self.replica.leader)

    def _answer_not_leader(self, request_id: int) -> None:
        if request_id != INTERNAL_REQUEST:
            answer = OperatorAnswer(None, 0, 0, 0, self.replica.leader)
            self._outputs.append(AnswerOperator(request_id, answer))

    def _answer_operators(self, now_s: float) -> None:
        if self._pending.has_applied and self.is_leader(now_s):
            answers = self._pending.pop_answers(
                self.state,
                self._sessions,
                now_s,
            )
            self._outputs.extend(answers)
