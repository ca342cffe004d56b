"""Client for calls to the leader of the control processes."""

import asyncio
import time
from enum import StrEnum
from itertools import count
from random import Random
from typing import NamedTuple

from logbook import Logger
from websockets.asyncio.client import ClientConnection

from sardinemast.conf import Address, Cluster, ControlAddress
from sardinemast.protocol import (
    LEADER_MESSAGES,
    Call,
    CallAnswer,
    CallOutcome,
    LeaderBeat,
    NotLeader,
    PassAnswer,
    PassCall,
    pack_call,
)
from sardinemast.shell._identity import Identity
from sardinemast.shell._security import Access
from sardinemast.shell._websockets import (
    CALLS_PATH,
    CONNECTION_ERRORS,
    FORWARD_PATH,
    Outbox,
    decode_frame_from,
    open_websocket,
)
from sardinemast.wire import WireError

_log = Logger('relay')
_STREAM_ERRORS = (*CONNECTION_ERRORS, WireError)
# Three intervals of the leader's beats.
_READ_TIMEOUT_S = 0.6
_RECONNECT_DELAY_S = 0.05
# Bounds the delay by a frozen process, whose system still accepts connections.
# A connection between data centres opens within some milliseconds.
_CONNECT_TIMEOUT_S = 0.25
# A forwarding process that reports no leader for so long may be partitioned
# from the others, so the next one is tried.
_LEADERLESS_TIMEOUT_S = 1.5
# A call waits so long for a leader before it is refused unsent: a quarter of
# the shortest latency target, about 0.6 s.
_LEADER_WAIT_S = 0.15
_MS = 1000


class _PendingCall(NamedTuple):
    request: PassCall
    answer: asyncio.Future[CallAnswer]
    received_s: float


class CallRoute(StrEnum):
    """Select how calls reach the leader.

    A control process connects to the leader (``direct``). An entry connects
    to any control process, which forwards its calls (``forwarded``).
    """

    direct = CALLS_PATH
    forwarded = FORWARD_PATH


class LeaderRelay:
    """Send calls to the leader over one stream, and follow leader changes.

    Pending calls are resent to the next leader. Calls are idempotent: a job
    is identified by its name, a catalog by its version, and an announcement
    of a worker by its sequence number.
    """

    def __init__(
        self,
        identity: Identity,
        founders: tuple[ControlAddress, ...],
        cluster: Cluster,
        access: Access,
        route: CallRoute = CallRoute.direct,
        rng: Random | None = None,
    ) -> None:
        self.leader = ''
        self.controls: tuple[str, ...] = ()
        self._route = route
        self._leaderless_since_s: float | None = None
        self._identity = identity
        self._port = cluster.own.peer.port
        self._access = access
        self._founders = [one.name for one in founders]
        self._names = list(self._founders)
        # Spreads processes that start at the same time.
        (rng or Random()).shuffle(self._names)
        self._call_ids = count(1)
        self._pending: dict[int, _PendingCall] = {}
        self._resent: set[int] = set()
        self._outbox: Outbox | None = None
        self._has_leader = asyncio.Event()
        self._is_outage_logged = False

    @property
    def is_connected(self) -> bool:
        """Check whether a leader is known on the open stream."""
        return self._has_leader.is_set()

    def update_founders(self, founders: tuple[ControlAddress, ...]) -> None:
        """Replace the control processes to try besides those announced."""
        self._founders = [one.name for one in founders]

    async def call(
        self, call: Call, timeout_s: float, waited_ms: int = 0
    ) -> CallAnswer:
        """Send a call, which has waited before, and wait for the answer."""
        received_s = time.monotonic() - waited_ms / _MS
        deadline_s = time.monotonic() + timeout_s
        if not await self._wait_for_leader(min(timeout_s, _LEADER_WAIT_S)):
            return CallAnswer(CallOutcome.refused, text='No leader is known.')
        call_id = next(self._call_ids)
        answer = asyncio.get_running_loop().create_future()
        pending = _PendingCall(PassCall(call_id, call), answer, received_s)
        self._pending[call_id] = pending
        self._send(pending)
        try:
            async with asyncio.timeout(deadline_s - time.monotonic()):
                return await answer  # type: ignore[no-any-return]
        except TimeoutError:
            return CallAnswer(CallOutcome.uncertain, text='No answer in time.')
        finally:
            self._pending.pop(call_id, None)
            self._resent.discard(call_id)

    async def run(self) -> None:
        """Keep the stream open until cancelled."""
        while True:
            name = self._names[0]
            try:
                await self._run_stream(Address(name, self._port))
            except _STREAM_ERRORS as error:
                self._log_outage(name, error)
            self._outbox = None
            self._leaderless_since_s = None
            self._has_leader.clear()
            self._rotate_names(name)
            await asyncio.sleep(_RECONNECT_DELAY_S)

    async def _wait_for_leader(self, timeout_s: float) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._has_leader.wait()
        except TimeoutError:
            return False

    def _send(self, pending: _PendingCall) -> None:
        if self._outbox is not None:
            waited_s = time.monotonic() - pending.received_s
            request = pending.request._replace(waited_ms=int(waited_s * _MS))
            self._outbox.put(pack_call(request))

    def _log_outage(self, name: str, error: Exception) -> None:
        # Warns once per outage, not at each attempt to reconnect.
        log = _log.debug if self._is_outage_logged else _log.warning
        log('No leader reachable at {}: {!r}.', name, error)
        self._is_outage_logged = True

    def _rotate_names(self, name: str) -> None:
        known = {*self._names, *self._founders}
        rest = [one for one in self._names if one in known and one != name]
        rest.extend(sorted(known.difference(rest, {name})))
        self._names = [*rest, name]

    async def _run_stream(self, address: Address) -> None:
        async with open_websocket(
            address,
            self._route,
            self._access,
            _CONNECT_TIMEOUT_S,
        ) as websocket:
            outbox = Outbox(websocket.send, self._identity)
            send_task = asyncio.create_task(outbox.run())
            self._outbox = outbox
            try:
                await self._receive_messages(websocket)
            except TimeoutError:
                # A closing handshake with an unresponsive process would
                # delay the reconnection by the close timeout.
                websocket.transport.abort()
                raise
            finally:
                send_task.cancel()

    async def _receive_messages(self, websocket: ClientConnection) -> None:
        while True:
            async with asyncio.timeout(_READ_TIMEOUT_S):
                frame = await websocket.recv()
            envelope = decode_frame_from(
                websocket,
                frame,
                self._identity,
                self._access,
            )
            message = LEADER_MESSAGES.unpack(envelope.body)
            if isinstance(message, NotLeader):
                if self._handle_not_leader(message):
                    return
            if isinstance(message, LeaderBeat):
                self._handle_beat(message)
            elif isinstance(message, PassAnswer):
                self._handle_answer(message)

    def _handle_not_leader(self, message: NotLeader) -> bool:
        """Clear the leader; return whether to try another process."""
        if self._route is CallRoute.direct:
            self._prioritize_leader(message.leader)
            return True
        # The process will learn of the next leader soon. Reconnecting at once
        # would load the control processes during their election.
        self._has_leader.clear()
        now_s = time.monotonic()
        if self._leaderless_since_s is None:
            self._leaderless_since_s = now_s
        return now_s >= self._leaderless_since_s + _LEADERLESS_TIMEOUT_S

    def _prioritize_leader(self, leader: str) -> None:
        # ``run`` rotates the list by one after each stream, so the second
        # process is connected to next.
        if leader and leader != self._names[0]:
            rest = [one for one in self._names[1:] if one != leader]
            self._names = [self._names[0], leader, *rest]

    def _handle_beat(self, beat: LeaderBeat) -> None:
        first = (
            beat.leader if self._route is CallRoute.direct else self._names[0]
        )
        others = [one for one in beat.controls if one != first]
        self._names = [first, *others]
        self.controls = beat.controls
        self._leaderless_since_s = None
        if not self._has_leader.is_set():
            self.leader = beat.leader
            self._is_outage_logged = False
            self._has_leader.set()
            _log.info('The leader is {}.', beat.leader)
            self._resent.update(self._pending)
            for pending in self._pending.values():
                self._send(pending)

    def _handle_answer(self, message: PassAnswer) -> None:
        pending = self._pending.get(message.call_id)
        if pending is None or pending.answer.done():
            return
        if not self._is_inconclusive(message):
            pending.answer.set_result(message.answer)

    def _is_inconclusive(self, message: PassAnswer) -> bool:
        """Check whether an answer leaves the outcome of the call open."""
        # A leader that lost its term does not know the outcome. The call is
        # resent to the next leader.
        if message.answer.outcome is CallOutcome.uncertain:
            return True
        # After a resend, a refusal by one process does not exclude that
        # another one has forwarded the call before.
        is_refused = message.answer.outcome is CallOutcome.refused
        return is_refused and message.call_id in self._resent
