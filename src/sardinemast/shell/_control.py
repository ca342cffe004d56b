"""Shell of a control process."""

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
from sardinemast.shell.exceptions import CoreFailedError, FolderReplacedError
from sardinemast.storage import (
    StorageError,
    open_or_replace_log_store,
    set_folder_aside,
)
from sardinemast.wire import WireError, load_plain

_log = Logger('control')
_decisions = Logger('dispatch')
_FOLDER_NAME = 'replica'
# What comes within this time is written and synced together. It is a part of
# the sync itself, which takes 4 to 9 ms on the disks that this is meant for.
BATCH_DELAY_S = 0.002
# A full or hanging disk refuses for seconds; each try reads the whole log.
_DISK_AGAIN_S = 0.5
_REFUSED = frozenset(('storage.E002',))


class ControlServer:
    """Carry out what the core of a control process decides."""

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
            folder=_restrict(loaded.folder, settings.cluster),
            snapshot=loaded.snapshot,
        )
        self._metrics.list_gauges = partial(
            control.list_gauges,
            self.core.replica,
            self.core.state,
        )
        cluster = settings.cluster
        self._access = Access(
            settings.security,
            cluster.bind_host if cluster else '',
        )
        self.desk = OperatorService(self.core, identity, self._access)
        self.loop = CoreLoop[control.ControlEvent, control.ControlOutput](
            self._step,
            # Looked up once: each look-up makes a new function.
            self._execute,
            _make_tick,
        )
        self._replica_desk = ReplicaService(
            self.core,
            self.loop.put,
            self._access,
        )
        self._asked: list[control.CommandRequested] = []
        self._identity = identity
        self._stream_ids = count(1)
        self._outboxes: dict[int, Outbox] = {}
        self._peers = PeerSenders(settings, identity, self._access)
        self._callers = CallerStreams(identity, self._access, self.loop.put)
        self._passing: CallForwarder | None = None
        if extras.relay is not None:
            self._passing = CallForwarder(extras.relay, identity, self._access)

    async def run(self, own: ControlAddress) -> None:
        """Serve peers, entries and operators until cancelled."""
        self.desk.attach(self._put_asked, lambda: self.loop.is_waiting)
        operator_server = listen_for_operators(
            self.desk,
            own.operator,
            self._replica_desk.get_routes(),
        )
        try:
            async with (
                serve(
                    self._accept,
                    own.peer.host,
                    own.peer.port,
                    ssl=self._access.server_context,
                    **WEBSOCKET_OPTIONS,
                ),
                asyncio.TaskGroup() as tasks,
            ):
                self._peers.start(tasks)
                tasks.create_task(self.loop.run())
                tasks.create_task(self._access.follow_files())
                _log.info('Control {} listens.', own.name)
        finally:
            operator_server.stop()
            self._writer.close()

    def _put_asked(self, event: control.ControlEvent) -> None:
        if isinstance(event, control.CommandRequested):
            self._asked.append(event)
            event = control.CommandsRequested(())
        self.loop.put(event)

    def _step(
        self,
        event: control.ControlEvent,
        now_s: float,
    ) -> list[control.ControlOutput]:
        # While one write is synced, more commands come in. They are all
        # taken with the first, so that one sync serves them together.
        if isinstance(event, control.CommandsRequested):
            if not self._asked:
                return []
            event = control.CommandsRequested(tuple(self._asked))
            self._asked.clear()
        return self.core.step(event, now_s)

    async def _accept(self, link: ServerConnection) -> None:
        path = link.request.path if link.request else ''
        with suppress(ConnectionClosed, WireError):
            if path == '/peer':
                await self._read_peer(link)
            elif path == '/entry':
                await self._read_entry(link)
            elif path == CALLS_PATH:
                await self._callers.read(link)
            elif path == FORWARD_PATH and self._passing is not None:
                await self._passing.read(link)

    async def _read_peer(self, link: ServerConnection) -> None:
        async for frame in link:
            envelope = decode_frame_from(
                link, frame, self._identity, self._access
            )
            received = consensus.unpack_routed_message(
                envelope.sender, envelope.body
            )
            self.loop.put(control.PeerMessageReceived(*received))

    async def _read_entry(self, link: ServerConnection) -> None:
        first = decode_frame_from(
            link,
            await link.recv(),
            self._identity,
            self._access,
        )
        stream_id = next(self._stream_ids)
        outbox = Outbox(link.send, self._identity)
        sending = asyncio.create_task(outbox.run())
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
            async for frame in link:
                envelope = decode_frame_from(
                    link, frame, self._identity, self._access
                )
                message = ENTRY_MESSAGES.unpack(envelope.body)
                self.loop.put(control.EntryMessageReceived(stream_id, message))
        finally:
            sending.cancel()
            self._forget_stream(stream_id)

    def _forget_stream(self, stream_id: int) -> None:
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
        _log.info('Snapshot to index {}.', output.snapshot.last_index)
        return self._writer.write(
            self._writer.store.save_snapshot,
            output.snapshot,
            output.entries,
        )

    @_execute.register
    def _execute_discard(self, output: consensus.ReplaceFolder) -> None:
        self._writer.close()
        _log.warning(
            'The folder is set aside: {}.', set_folder_aside(self._folder)
        )
        raise FolderReplacedError

    @_execute.register
    def _execute_repair(self, output: control.AnswerRepair) -> None:
        self._replica_desk.answer(output)

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
        self.desk.answer(output)

    @_execute.register
    def _execute_entry_send(self, output: control.SendToEntry) -> None:
        outbox = self._outboxes.get(output.stream_id)
        if outbox is not None:
            outbox.put(CONTROL_MESSAGES.pack(output.message))
            if isinstance(output.message, NotLeader):
                _log.debug('Stream {} is sent on.', output.stream_id)

    @_execute.register
    def _execute_gather(self, output: control.ScheduleProposals) -> None:
        asyncio.get_running_loop().call_later(
            BATCH_DELAY_S,
            self.loop.put,
            control.ProposalsDue(),
        )

    @_execute.register
    def _execute_continue(self, output: control.ScheduleApply) -> None:
        # What sockets have received meanwhile is read first.
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
    # Of 2 n + 1 replicas, n may be lost and the others are a majority.
    voters_max = 2 * settings.cluster.failures_tolerated + 1
    return consensus.ReplicaSettings(
        settings.name,
        voters,
        voters_max=voters_max,
    )


def _restrict(
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
    """Run the role control until cancelled.

    An error of core or files ends it with a ``CodedError``: a process that
    answers its peers but decides nothing would look alive for ever. In a
    cluster a disk that refuses is tried again, since this process also
    passes calls on to the others; meanwhile it answers no peer.
    """
    own = _get_listening(settings)
    while True:
        try:
            await _run_once(settings, identity, extras, own)
        except StorageError as error:
            if settings.cluster is None or error.code not in _REFUSED:
                raise
            _log.warning('The disk is tried again: {}', error)
            await asyncio.sleep(_DISK_AGAIN_S)


async def _run_once(
    settings: ProcessSettings,
    identity: Identity,
    extras: ControlExtras,
    own: ControlAddress,
) -> None:
    shell = ControlServer(settings, identity, extras)
    try:
        await shell.run(own)
    except ExceptionGroup as group:
        _check_discarded(group)


def _get_listening(settings: ProcessSettings) -> ControlAddress:
    if settings.cluster is not None:
        return settings.cluster.listen_address
    return next(one for one in settings.controls if one.name == settings.name)


def _check_discarded(group: ExceptionGroup[Exception]) -> None:
    for error in group.exceptions:
        if isinstance(error, CodedError):
            raise error
        if not isinstance(error, FolderReplacedError):
            raise CoreFailedError(
                'control.E003',
                f'The core failed: {type(error).__name__}: {error}.',
                'Report it with the log; the others go on.',
            ) from error
