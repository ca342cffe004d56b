"""Shell of an entry process."""

import asyncio
import time
from functools import singledispatchmethod
from itertools import count

from logbook import Logger
from websockets.asyncio.client import ClientConnection

from sardinemast import entry
from sardinemast.admission import Arrival, Refusal
from sardinemast.conf import ControlAddress, ProcessSettings
from sardinemast.protocol import CONTROL_MESSAGES, ENTRY_MESSAGES, NotLeader
from sardinemast.shell._caller_exchange import Answer, CallerAnswer
from sardinemast.shell._caller_http import listen_for_callers
from sardinemast.shell._identity import Identity, seal, unseal
from sardinemast.shell._links import LINK_ERRORS, Outbox, open_link
from sardinemast.shell._loop import CoreLoop
from sardinemast.shell._security import Access
from sardinemast.shell._upstream_client import (
    Attempt,
    CallerRequest,
    UpstreamClient,
)
from sardinemast.wire import WireError

_log = Logger('entry')
_STREAM_ERRORS = (*LINK_ERRORS, WireError)
_RECONNECT_S = 0.1
_SILENCE_S = 1.0


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
        self._access = Access(settings.security)
        self._request_ids = count(1)
        self._requests: dict[int, CallerRequest] = {}
        self._callers: dict[int, Answer] = {}
        self._attempts: dict[int, Attempt] = {}
        self._sending: set[asyncio.Task[None]] = set()
        self._outbox: Outbox | None = None
        self.client = UpstreamClient()

    def is_ready(self) -> bool:
        """Tell the balancer whether to send requests here."""
        return self.core.is_ready(time.monotonic())

    def is_stopping(self) -> bool:
        """Tell whether callers should go elsewhere."""
        return False

    def check_head(self, arrival: Arrival) -> Refusal | int:
        """Give the limit of the body in bytes, or refuse by the head."""
        return self.core.check_head(arrival, time.monotonic())

    def take_request(
        self,
        request: CallerRequest,
        arrival: Arrival,
        answer: Answer,
    ) -> int:
        """Run a caller's request, and give its id."""
        request_id = next(self._request_ids)
        self._requests[request_id] = request
        self._callers[request_id] = answer
        arrival = arrival._replace(request_id=request_id)
        self.loop.put(entry.RequestArrived(arrival))
        return request_id

    def forget_caller(self, request_id: int) -> None:
        """Note that nobody waits for the answer any more."""
        if self._callers.pop(request_id, None) is not None:
            self._requests.pop(request_id, None)
            self.loop.put(entry.CallerLeft(request_id))

    async def hold_control_link(self) -> None:
        """Keep a stream to the leader until cancelled."""
        while True:
            address = self._controls[0]
            try:
                await self._read_control(address)
            except _STREAM_ERRORS as error:
                _log.warning('No stream to {}: {}.', address.name, error)
            self._outbox = None
            self.loop.put(entry.ControlLost())
            self._controls.append(self._controls.pop(0))
            await asyncio.sleep(_RECONNECT_S)

    async def _read_control(self, address: ControlAddress) -> None:
        async with open_link(address.peer, '/entry', self._access) as link:
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
        if attempt.answer is not None:
            self._answer(output.request_id, attempt.answer)

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
        self._requests.pop(request_id, None)
        give_answer = self._callers.pop(request_id, None)
        if give_answer is not None:
            give_answer(answer)

    async def _attempt(self, output: entry.StartAttempt) -> None:
        request = self._requests.get(output.request_id)
        attempt = Attempt(entry.AttemptResult.not_sent)
        if request is not None:
            attempt = await self.client.send(output, request)
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
            tasks.create_task(shell.client.run())
            tasks.create_task(shell.hold_control_link())
            _log.info('Entry {} listens.', settings.name)
    finally:
        server.stop()
