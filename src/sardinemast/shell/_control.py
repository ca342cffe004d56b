"""Shell of a control process."""

import asyncio
from contextlib import suppress
from functools import singledispatchmethod
from itertools import count
from random import Random
from typing import Any

from logbook import Logger
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from sardinemast import consensus, control
from sardinemast.conf import ControlAddress, ProcessSettings
from sardinemast.protocol import CONTROL_MESSAGES, ENTRY_MESSAGES, NotLeader
from sardinemast.shell._identity import Identity, unseal
from sardinemast.shell._links import LINK_OPTIONS, Outbox, PeerLink
from sardinemast.shell._loop import CoreLoop
from sardinemast.shell._operator_http import OperatorDesk, listen_for_operators
from sardinemast.shell._security import Access, Unit
from sardinemast.storage import LogStore, open_log_store
from sardinemast.wire import Envelope, WireError

_log = Logger('control')


class ControlShell:
    """Carry out what the core of a control process decides."""

    def __init__(self, settings: ProcessSettings, identity: Identity) -> None:
        store, loaded = open_log_store(settings.data_folder)
        voters = tuple(one.name for one in settings.controls)
        replica = consensus.ReplicaSettings(settings.name, voters)
        self.core = control.ControlCore(
            control.ControlSettings(replica),
            loaded.hard_state,
            loaded.entries,
            Random(),
        )
        self._access = Access(settings.security)
        self.desk = OperatorDesk(self.core, identity, self._access)
        self.loop = CoreLoop[control.ControlEvent, control.ControlOutput](
            self.core.step,
            self._execute,
            control.Tick(),
        )
        self._store: LogStore = store
        self._identity = identity
        self._stream_ids = count(1)
        self._outboxes: dict[int, Outbox] = {}
        self._peers = {
            one.name: PeerLink(identity, one.peer, self._access)
            for one in settings.controls
            if one.name != settings.name
        }

    async def run(self, own: ControlAddress) -> None:
        """Serve peers, entries and operators until cancelled."""
        self.desk.attach(self.loop.put)
        operator_server = listen_for_operators(self.desk, own.operator)
        try:
            async with (
                serve(
                    self._accept,
                    own.peer.host,
                    own.peer.port,
                    ssl=self._access.server_context,
                    **LINK_OPTIONS,
                ),
                asyncio.TaskGroup() as tasks,
            ):
                for peer in self._peers.values():
                    tasks.create_task(peer.run())
                tasks.create_task(self.loop.run())
                tasks.create_task(self._access.follow_files())
                _log.info('Control {} listens.', own.name)
        finally:
            operator_server.stop()
            self._store.close()

    async def _accept(self, link: ServerConnection) -> None:
        path = link.request.path if link.request else ''
        with suppress(ConnectionClosed, WireError):
            if path == '/peer':
                await self._read_peer(link)
            elif path == '/entry':
                await self._read_entry(link)

    async def _read_peer(self, link: ServerConnection) -> None:
        async for frame in link:
            envelope = self._unseal(link, frame)
            message = consensus.MESSAGES.unpack(envelope.body)
            self.loop.put(control.PeerReceived(envelope.sender, message))

    async def _read_entry(self, link: ServerConnection) -> None:
        first = self._unseal(link, await link.recv())
        stream_id = next(self._stream_ids)
        outbox = Outbox(link.send, self._identity)
        sending = asyncio.create_task(outbox.run())
        self._outboxes[stream_id] = outbox
        self.loop.put(
            control.EntryConnected(
                stream_id,
                first.sender,
                first.incarnation,
            ),
        )
        try:
            async for frame in link:
                envelope = unseal(self._identity, frame)
                message = ENTRY_MESSAGES.unpack(envelope.body)
                self.loop.put(control.EntryReceived(stream_id, message))
        finally:
            sending.cancel()
            self._forget_stream(stream_id)

    def _forget_stream(self, stream_id: int) -> None:
        self._outboxes.pop(stream_id)
        self.loop.put(control.EntryDisconnected(stream_id))

    def _unseal(self, link: ServerConnection, frame: Any) -> Envelope:
        envelope = unseal(self._identity, frame)
        tls = link.transport.get_extra_info('ssl_object')
        if not self._access.is_allowed(tls, Unit.process, envelope.sender):
            raise WireError(
                'wire.E006',
                f'The certificate is not that of {envelope.sender!r}.',
            )
        return envelope

    @singledispatchmethod
    def _execute(self, output: control.ControlOutput) -> None:
        raise TypeError(output)

    @_execute.register
    def _execute_send(self, output: consensus.SendMessage) -> None:
        packed = consensus.MESSAGES.pack(output.message)
        self._peers[output.to].send(packed)

    @_execute.register
    def _execute_save(self, output: consensus.SaveHardState) -> None:
        self._store.save_hard_state(output.hard_state)

    @_execute.register
    def _execute_append(self, output: consensus.AppendToLog) -> None:
        self._store.append_entries(output.entries)

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


async def run_control(settings: ProcessSettings, identity: Identity) -> None:
    """Run the role control until cancelled."""
    shell = ControlShell(settings, identity)
    own = next(one for one in settings.controls if one.name == settings.name)
    await shell.run(own)
