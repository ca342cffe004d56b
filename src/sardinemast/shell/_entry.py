"""Shell of an entry process."""

import asyncio
import time
from functools import singledispatchmethod
from itertools import count

from logbook import Logger
from tornado.httpclient import AsyncHTTPClient
from tornado.httputil import HTTPServerRequest
from websockets.asyncio.client import ClientConnection

from sardinemast import entry
from sardinemast.admission import Arrival
from sardinemast.conf import ControlAddress, ProcessSettings
from sardinemast.protocol import CONTROL_MESSAGES, ENTRY_MESSAGES, NotLeader
from sardinemast.shell._caller_http import CallerAnswer, listen_for_callers
from sardinemast.shell._identity import Identity, seal, unseal
from sardinemast.shell._links import LINK_ERRORS, Outbox, open_link
from sardinemast.shell._loop import CoreLoop
from sardinemast.shell._upstream_client import Attempt, send_request
from sardinemast.wire import WireError

_log = Logger('entry')
_STREAM_ERRORS = (*LINK_ERRORS, WireError)
_RECONNECT_S = 0.1
_SILENCE_S = 1.0
_MAX_CLIENTS = 512


class EntryShell:
    """Carry out what the core of an entry decides."""

    def __init__(self, settings: ProcessSettings, identity: Identity) -> None:
        self.core = entry.EntryCore(
            entry.EntrySettings(
                settings.name,
                identity.incarnation,
                settings.data_centre,
            ),
        )
        self.loop = CoreLoop[entry.EntryEvent, entry.EntryOutput](
            self.core.step,
            self._execute,
            entry.Tick(),
        )
        self.identity = identity
        self._controls = list(settings.controls)
        self._request_ids = count(1)
        self._requests: dict[int, HTTPServerRequest] = {}
        self._callers: dict[int, asyncio.Future[CallerAnswer]] = {}
        self._attempts: dict[int, Attempt] = {}
        self._sending: set[asyncio.Task[None]] = set()
        self._outbox: Outbox | None = None
        self._client = AsyncHTTPClient(
            force_instance=True, max_clients=_MAX_CLIENTS
        )

    def is_ready(self) -> bool:
        """Tell the balancer whether to send requests here."""
        return self.core.is_ready(time.monotonic())

    async def serve_request(
        self,
        request: HTTPServerRequest,
        arrival: Arrival,
    ) -> CallerAnswer:
        """Run a caller's request and give the final answer."""
        request_id = next(self._request_ids)
        arrival = arrival._replace(request_id=request_id)
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[CallerAnswer] = loop.create_future()
        self._requests[request_id] = request
        self._callers[request_id] = answer
        self.loop.put(entry.RequestArrived(arrival))
        try:
            return await answer
        finally:
            self._forget_caller(request_id)

    async def hold_control_link(self) -> None:
        """Keep a stream to the leader until cancelled."""
        while True:
            address = self._controls[0]
            try:
                await self._read_control(address)
            except _STREAM_ERRORS as error:
                _log.debug('No stream to {}: {}.', address.name, error)
            self._outbox = None
            self.loop.put(entry.ControlLost())
            self._controls.append(self._controls.pop(0))
            await asyncio.sleep(_RECONNECT_S)

    async def _read_control(self, address: ControlAddress) -> None:
        async with open_link(address.peer, '/entry') as link:
            await link.send(seal(self.identity, None))
            outbox = Outbox(link.send, self.identity)
            sending = asyncio.create_task(outbox.run())
            self._outbox = outbox
            try:
                await self._take_messages(link)
            finally:
                sending.cancel()

    async def _take_messages(self, link: ClientConnection) -> None:
        while True:
            async with asyncio.timeout(_SILENCE_S):
                frame = await link.recv()
            envelope = unseal(self.identity, frame)
            message = CONTROL_MESSAGES.unpack(envelope.body)
            if isinstance(message, NotLeader):
                self._prefer(message.leader)
                return
            self.loop.put(entry.ControlReceived(message))

    def _forget_caller(self, request_id: int) -> None:
        self._requests.pop(request_id, None)
        caller = self._callers.pop(request_id, None)
        if caller is not None and caller.cancelled():
            self.loop.put(entry.CallerLeft(request_id))

    def _prefer(self, leader: str) -> None:
        # The list is turned by one after each stream, so the leader is put
        # second to be first next time.
        for one in self._controls[1:]:
            if one.name == leader:
                self._controls.remove(one)
                self._controls.insert(1, one)

    @singledispatchmethod
    def _execute(self, output: entry.EntryOutput) -> None:
        raise TypeError(output)

    @_execute.register
    def _execute_start(self, output: entry.StartAttempt) -> None:
        self.identity.recorder.record(
            'attempt started',
            request=output.request_id,
            upstream=output.upstream.instance,
        )
        task = asyncio.create_task(self._attempt(output))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    @_execute.register
    def _execute_pass(self, output: entry.PassAnswer) -> None:
        attempt = self._attempts.pop(output.request_id)
        self.identity.recorder.record(
            'answer passed',
            request=output.request_id,
        )
        if attempt.response is not None:
            self._answer(output.request_id, attempt.response)

    @_execute.register
    def _execute_refuse(self, output: entry.RefuseRequest) -> None:
        self._attempts.pop(output.request_id, None)
        self.identity.recorder.record(
            'request refused',
            request=output.request_id,
            code=output.refusal.code,
            outcome=str(output.refusal.outcome),
        )
        self._answer(output.request_id, output.refusal)

    @_execute.register
    def _execute_send(self, output: entry.SendToControl) -> None:
        if self._outbox is not None:
            self._outbox.put(ENTRY_MESSAGES.pack(output.message))

    def _answer(self, request_id: int, answer: CallerAnswer) -> None:
        caller = self._callers.get(request_id)
        if caller is not None and not caller.done():
            caller.set_result(answer)

    async def _attempt(self, output: entry.StartAttempt) -> None:
        request = self._requests.get(output.request_id)
        attempt = Attempt(entry.AttemptResult.not_sent)
        if request is not None:
            attempt = await send_request(
                self._client,
                request,
                output.upstream,
                output.timeout_s,
            )
        self._attempts[output.request_id] = attempt
        self.loop.put(
            entry.AttemptEnded(output.request_id, attempt.attempt_result),
        )


async def run_entry(settings: ProcessSettings, identity: Identity) -> None:
    """Run the role entry until cancelled."""
    shell = EntryShell(settings, identity)
    server = listen_for_callers(shell, settings.callers)
    try:
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(shell.loop.run())
            tasks.create_task(shell.hold_control_link())
            _log.info('Entry {} listens.', settings.name)
    finally:
        server.stop()
