"""Control process: connect the control core to sockets and storage."""

import asyncio
from contextlib import suppress
from functools import partial, singledispatchmethod
from itertools import count
from random import Random

from logbook import Logger
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from sardinemast import consensus, control, dispatch
from sardinemast.conf import (
    Address,
    Cluster,
    ControlAddress,
    ProcessSettings,
)
from sardinemast.exceptions import CodedError
from sardinemast.metrics import ProcessMetrics
from sardinemast.protocol import (
    CONTROL_MESSAGES,
    ENTRY_MESSAGES,
    NotLeader,
)
from sardinemast.shell._call_forwarder import CallForwarder
from sardinemast.shell._caller_streams import CallerStreams
from sardinemast.shell._gateway import NO_EXTRAS, ControlExtras
from sardinemast.shell._identity import Identity, get_wall_ms
from sardinemast.shell._log_writer import LogWriter
from sardinemast.shell._loop import CoreLoop
from sardinemast.shell._operator_http import (
    OperatorService,
    listen_for_operators,
)
from sardinemast.shell._peer_senders import PeerSenders
from sardinemast.shell._replica_http import ReplicaService
from sardinemast.shell._security import Access
from sardinemast.shell._websockets import (
    CALLS_PATH,
    FORWARD_PATH,
    WEBSOCKET_OPTIONS,
    Outbox,
    decode_frame_from,
)
from sardinemast.shell.exceptions import (
    CoreFailedError,
    FolderReplacedError,
)
from sardinemast.storage import (
    StorageError,
    open_or_replace_log_store,
    set_folder_aside,
)
from sardinemast.wire import WireError, load_plain

_log = Logger('control')
_decisions = Logger('dispatch')
_FOLDER_NAME = 'replica'
# Proposals within this time share one write and sync. It is short compared
# with the sync itself, which takes 4 to 9 ms on the intended disks.
BATCH_DELAY_S = 0.002
# A full or hanging disk fails for seconds, and each retry reads the whole log.
_STORAGE_RETRY_DELAY_S = 0.5
_RETRYABLE_CODES = frozenset(('storage.E002',))


class ControlServer:
    """Feed the control core with messages and execute its outputs."""

    def __init__(
        self,
        settings: ProcessSettings,
        identity: Identity,
        extras: ControlExtras,
    ) -> None:
        self._folder = settings.data_folder / _FOLDER_NAME
        store, loaded = open_or_replace_log_store(self._folder)
        self._writer = LogWriter(store)
        self._gateway = extras.gateway
        self._metrics = extras.metrics or ProcessMetrics()
        self.core = control.ControlCore(
            control.ControlSettings(
                _get_replica_settings(settings),
                dispatching=extras.dispatching,
            ),
            loaded.hard_state,
            loaded.entries,
            Random(),
            folder=_apply_may_found(loaded.folder, settings.cluster),
            snapshot=loaded.snapshot,
        )
        self._metrics.list_gauges = partial(
            control.list_gauges,
            self.core.replica,
            self.core.state,
            self.core.list_leader_gauges,
        )
        cluster = settings.cluster
        self._access = Access(
            settings.security,
            cluster.bind_host if cluster else '',
        )
        self.operator_service = OperatorService(
            self.core, identity, self._access
        )
        self.loop = CoreLoop[control.ControlEvent, control.ControlOutput](
            self._step,
            # Bound once: each access to a ``singledispatchmethod`` creates a
            # function.
            self._execute,
            _make_tick,
        )
        self._replica_service = ReplicaService(
            self.core,
            self.loop.put,
            self._access,
        )
        self._queued_commands: list[control.CommandRequested] = []
        self._identity = identity
        self._stream_ids = count(1)
        self._outboxes: dict[int, Outbox] = {}
        self._peers = PeerSenders(settings, identity, self._access)
        self._callers = CallerStreams(identity, self._access, self.loop.put)
        self._forwarder: CallForwarder | None = None
        if extras.relay is not None:
            self._forwarder = CallForwarder(
                extras.relay, identity, self._access
            )

    async def run(self, own: ControlAddress) -> None:
        """Serve peers, entries and operators until cancelled."""
        self.operator_service.attach(
            self._put_operator_event, lambda: self.loop.is_blocked
        )
        operator_server = listen_for_operators(
            self.operator_service,
            own.operator,
            self._replica_service.get_routes(),
        )
        try:
            async with (
                serve(
                    self._handle_connection,
                    own.peer.host,
                    own.peer.port,
                    ssl=self._access.server_context,
                    **WEBSOCKET_OPTIONS,
                ),
                asyncio.TaskGroup() as tasks,
            ):
                self._peers.start(tasks)
                tasks.create_task(self.loop.run())
                tasks.create_task(self._access.refresh_periodically())
                _log.info('Control process {} is listening.', own.name)
        finally:
            operator_server.stop()
            self._writer.close()

    def _put_operator_event(self, event: control.ControlEvent) -> None:
        if isinstance(event, control.CommandRequested):
            self._queued_commands.append(event)
            event = control.CommandsRequested(())
        self.loop.put(event)

    def _step(
        self,
        event: control.ControlEvent,
        now_s: float,
    ) -> list[control.ControlOutput]:
        # Commands that arrived during the previous write are proposed as one
        # batch and share a sync.
        if isinstance(event, control.CommandsRequested):
            if not self._queued_commands:
                return []
            event = control.CommandsRequested(tuple(self._queued_commands))
            self._queued_commands.clear()
        return self.core.step(event, now_s)

    async def _handle_connection(self, websocket: ServerConnection) -> None:
        path = websocket.request.path if websocket.request else ''
        with suppress(ConnectionClosed, WireError):
            if path == '/peer':
                await self._receive_from_peer(websocket)
            elif path == '/entry':
                await self._receive_from_entry(websocket)
            elif path == CALLS_PATH:
                await self._callers.serve_stream(websocket)
            elif path == FORWARD_PATH and self._forwarder is not None:
                await self._forwarder.serve_stream(websocket)

    async def _receive_from_peer(self, websocket: ServerConnection) -> None:
        async for frame in websocket:
            envelope = decode_frame_from(
                websocket, frame, self._identity, self._access
            )
            received = consensus.unpack_routed_message(
                envelope.sender, envelope.body
            )
            self.loop.put(control.PeerMessageReceived(*received))

    async def _receive_from_entry(self, websocket: ServerConnection) -> None:
        first = decode_frame_from(
            websocket,
            await websocket.recv(),
            self._identity,
            self._access,
        )
        stream_id = next(self._stream_ids)
        outbox = Outbox(websocket.send, self._identity)
        send_task = asyncio.create_task(outbox.run())
        self._outboxes[stream_id] = outbox
        self.loop.put(
            control.EntryConnected(
                stream_id,
                first.sender,
                first.incarnation,
                *load_plain(Address, first.body),
            ),
        )
        try:
            async for frame in websocket:
                envelope = decode_frame_from(
                    websocket, frame, self._identity, self._access
                )
                message = ENTRY_MESSAGES.unpack(envelope.body)
                self.loop.put(control.EntryMessageReceived(stream_id, message))
        finally:
            send_task.cancel()
            self._remove_stream(stream_id)

    def _remove_stream(self, stream_id: int) -> None:
        self._outboxes.pop(stream_id)
        self.loop.put(control.EntryDisconnected(stream_id))

    @singledispatchmethod
    def _execute(
        self,
        output: control.ControlOutput,
    ) -> asyncio.Future[None] | None:
        raise TypeError(output)

    @_execute.register
    def _execute_send(self, output: consensus.SendMessage) -> None:
        self._peers.send(output)

    @_execute.register
    def _execute_save(
        self,
        output: consensus.SaveHardState,
    ) -> asyncio.Future[None]:
        return self._writer.write(
            self._writer.store.save_hard_state, output.hard_state
        )

    @_execute.register
    def _execute_append(
        self,
        output: consensus.AppendToLog,
    ) -> asyncio.Future[None]:
        return self._writer.write(
            self._writer.store.append_entries, output.entries
        )

    @_execute.register
    def _execute_snapshot(
        self,
        output: consensus.SaveSnapshot,
    ) -> asyncio.Future[None]:
        _log.info(
            'Saving a snapshot up to index {}.', output.snapshot.last_index
        )
        return self._writer.write(
            self._writer.store.save_snapshot,
            output.snapshot,
            output.entries,
        )

    @_execute.register
    def _execute_replace_folder(self, output: consensus.ReplaceFolder) -> None:
        self._writer.close()
        _log.warning(
            'The data folder was set aside as {}.',
            set_folder_aside(self._folder),
        )
        raise FolderReplacedError

    @_execute.register
    def _execute_repair_answer(self, output: control.AnswerRepair) -> None:
        self._replica_service.answer(output)

    @_execute.register
    def _execute_role(self, output: consensus.RoleChanged) -> None:
        _log.info('Term {}: {}.', output.term, output.role)
        self._identity.recorder.record(
            'role changed',
            role=str(output.role),
            term=output.term,
        )

    @_execute.register
    def _execute_answer(self, output: control.AnswerOperator) -> None:
        self.operator_service.answer(output)

    @_execute.register
    def _execute_entry_send(self, output: control.SendToEntry) -> None:
        outbox = self._outboxes.get(output.stream_id)
        if outbox is not None:
            outbox.put(CONTROL_MESSAGES.pack(output.message))
            if isinstance(output.message, NotLeader):
                _log.debug(
                    'Entry on stream {} is redirected to the leader.',
                    output.stream_id,
                )

    @_execute.register
    def _execute_schedule_proposals(
        self, output: control.ScheduleProposals
    ) -> None:
        asyncio.get_running_loop().call_later(
            BATCH_DELAY_S,
            self.loop.put,
            control.ProposalsDue(),
        )

    @_execute.register
    def _execute_schedule_apply(self, output: control.ScheduleApply) -> None:
        # Lets the event loop read sockets first.
        asyncio.get_running_loop().call_soon(
            self.loop.put,
            control.ApplyDue(),
        )

    @_execute.register
    def _execute_call_answer(
        self,
        output: control.AnswerCall | control.SendToCaller,
    ) -> None:
        self._callers.send(output)

    @_execute.register
    def _execute_order(self, output: control.SendOrder) -> None:
        self._gateway.send(output.order, output.valid_until_s, self.loop.put)

    @_execute.register
    def _execute_log(self, output: dispatch.LogDecision) -> None:
        extra = {'subject': output.subject, **output.details}
        _decisions.info('{}', output.event, extra=extra)
        self._metrics.record_decision(output.event)


def _make_tick() -> control.Tick:
    return control.Tick(get_wall_ms())


def _get_replica_settings(
    settings: ProcessSettings,
) -> consensus.ReplicaSettings:
    voters = tuple(one.name for one in settings.controls)
    if settings.cluster is None:
        return consensus.ReplicaSettings(settings.name, voters)
    # A majority of 2 n + 1 voters survives n failures.
    voters_max = 2 * settings.cluster.failures_tolerated + 1
    return consensus.ReplicaSettings(
        settings.name,
        voters,
        voters_max=voters_max,
    )


def _apply_may_found(
    folder: consensus.FolderIdentity,
    cluster: Cluster | None,
) -> consensus.FolderIdentity:
    if cluster is None or cluster.may_found:
        return folder
    return folder._replace(may_found=False)


async def run_control(
    settings: ProcessSettings,
    identity: Identity,
    extras: ControlExtras = NO_EXTRAS,
) -> None:
    """Run a control process until cancelled.

    Raise a ``CodedError`` when the core or the storage fails, so that a
    process that can no longer decide does not look alive to its peers. In a
    cluster, storage that cannot be used is retried, because this process also
    forwards calls to the leader; it doesn't answer peers meanwhile.
    """
    own = _get_own_address(settings)
    while True:
        try:
            await _run_once(settings, identity, extras, own)
        except StorageError as error:
            if settings.cluster is None or error.code not in _RETRYABLE_CODES:
                raise
            _log.warning('Storage is not usable, retrying: {}', error)
            await asyncio.sleep(_STORAGE_RETRY_DELAY_S)


async def _run_once(
    settings: ProcessSettings,
    identity: Identity,
    extras: ControlExtras,
    own: ControlAddress,
) -> None:
    control_server = ControlServer(settings, identity, extras)
    try:
        await control_server.run(own)
    except ExceptionGroup as group:
        _raise_unless_replaced(group)


def _get_own_address(settings: ProcessSettings) -> ControlAddress:
    if settings.cluster is not None:
        return settings.cluster.listen_address
    return next(one for one in settings.controls if one.name == settings.name)


def _raise_unless_replaced(group: ExceptionGroup[Exception]) -> None:
    for error in group.exceptions:
        if isinstance(error, CodedError):
            raise error
        if not isinstance(error, FolderReplacedError):
            raise CoreFailedError(
                'control.E003',
                f'The core failed: {type(error).__name__}: {error}.',
                'Report it with the log; other processes keep running.',
            ) from error
