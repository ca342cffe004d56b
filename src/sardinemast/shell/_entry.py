"""Entry process: connect the entry core to callers and upstreams."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import singledispatchmethod
from http import HTTPStatus
from itertools import count

from logbook import Logger

from sardinemast import entry, idempotency
from sardinemast.admission import Arrival, Refusal, refuse_not_run
from sardinemast.conf import ProcessSettings
from sardinemast.fleet import find_team_by_key, get_pool
from sardinemast.shell._caller_exchange import CallerResponse, ResponseCallback
from sardinemast.shell._caller_http import listen_for_callers
from sardinemast.shell._control_stream import ControlStream
from sardinemast.shell._drain import drain
from sardinemast.shell._entry_metrics import EntryMetrics
from sardinemast.shell._entry_peers import EntryPeers
from sardinemast.shell._headers import IDEMPOTENCY_HEADER
from sardinemast.shell._idempotent_requests import (
    cap_deadline,
    digest_parts,
    digest_request,
    parse_key,
)
from sardinemast.shell._identity import Identity
from sardinemast.shell._key_claims import KeyClaims
from sardinemast.shell._loop import CoreLoop
from sardinemast.shell._security import Access
from sardinemast.shell._upstream_client import (
    Attempt,
    CallerRequest,
    UpstreamClient,
)

_log = Logger('entry')
_RETRY_AFTER_S = 1.0


class EntryServer:
    """Feed the entry core with requests and execute its outputs."""

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
            entry.Tick,
        )
        self.identity = identity
        access = Access(settings.security)
        self._data_centre = settings.data_centre
        self._request_ids = count(1)
        self._arrivals: dict[int, Arrival] = {}
        self._requests: dict[int, CallerRequest] = {}
        self._responders: dict[int, ResponseCallback] = {}
        self._attempts: dict[int, Attempt] = {}
        self._is_stopping = False
        self._pending_writes: set[asyncio.Future[None]] = set()
        self._attempt_tasks: set[asyncio.Task[None]] = set()
        self.client = UpstreamClient()
        self.metrics = EntryMetrics()
        self.peers = EntryPeers(identity, access)
        self.holds_keys = self.peers.holds_keys
        self.control = ControlStream(
            identity,
            settings.controls,
            access,
            self._handle_control_event,
        )
        self._keys = KeyClaims(self.peers, self._admit, self._respond)

    def is_ready(self) -> bool:
        """Check whether the entry is ready to serve requests."""
        return not self._is_stopping and self.core.is_ready(time.monotonic())

    def is_stopping(self) -> bool:
        """Check whether a planned stop has begun."""
        return self._is_stopping

    def start_stopping(self) -> None:
        """Begin a planned stop: refuse new requests from now on."""
        self._is_stopping = True

    def is_busy(self) -> bool:
        """Check whether a request or the write of a response is pending."""
        return bool(
            self._responders or self._pending_writes or self._attempt_tasks
        )

    def track_write(self, written: asyncio.Future[None]) -> None:
        """Track a response until it has been written completely."""
        self._pending_writes.add(written)
        written.add_done_callback(self._pending_writes.discard)

    def check_head(self, arrival: Arrival) -> Refusal | int:
        """Return the body limit in bytes, or refuse based on the headers."""
        return self.core.check_head(arrival, time.monotonic())

    def handle_request(
        self,
        request: CallerRequest,
        arrival: Arrival,
        respond: ResponseCallback,
    ) -> int:
        """Start to process a request and return its id."""
        request_id = next(self._request_ids)
        self._requests[request_id] = request
        self._responders[request_id] = respond
        self._arrivals[request_id] = arrival._replace(request_id=request_id)
        self._record_arrival(request_id, arrival)
        if self._is_stopping:
            self._respond(request_id, refuse_while_stopping())
            return request_id
        key = parse_key(request.headers, IDEMPOTENCY_HEADER)
        if isinstance(key, Refusal):
            self._respond(request_id, key)
        elif key is None:
            self._admit(request_id)
        else:
            self._claim(request_id, key)
        return request_id

    def discard_caller(self, request_id: int) -> None:
        """Cancel a request whose caller has disconnected."""
        if self._responders.pop(request_id, None) is not None:
            self._requests.pop(request_id, None)
            self._arrivals.pop(request_id, None)
            self.loop.put(entry.CallerDisconnected(request_id))
            self._keys.release_unsent(request_id)
            self.metrics.discard(request_id)

    @asynccontextmanager
    async def listen_for_peers(self, host: str) -> AsyncIterator[None]:
        """Listen for other entries, and announce the address."""
        async with self.peers.listen(host) as address:
            self.control.own_address = address
            yield

    def _record_arrival(self, request_id: int, arrival: Arrival) -> None:
        team = find_team_by_key(self.core.state, arrival.key_digest) or ''
        self.metrics.record_arrival(request_id, team, arrival.pool)
        self.identity.recorder.record(
            'request arrived',
            request=request_id,
            team=team,
            pool=arrival.pool,
        )

    def _claim(self, request_id: int, key: str) -> None:
        arrival = self._arrivals[request_id]
        state = self.core.state
        pool = get_pool(state, arrival.pool, self._data_centre)
        if pool is None or isinstance(self.check_head(arrival), Refusal):
            self._admit(request_id)
            return
        remaining_s = cap_deadline(arrival.deadline_s, pool.deadline_s)
        self._arrivals[request_id] = arrival._replace(deadline_s=remaining_s)
        team = find_team_by_key(state, arrival.key_digest) or ''
        self._keys.claim(
            idempotency.ClaimRequested(
                request_id,
                digest_parts(team, arrival.pool, key),
                digest_request(self._requests[request_id]),
                remaining_s + idempotency.CLAIM_TIMEOUT_S,
            ),
        )

    def _admit(self, request_id: int) -> bool:
        arrival = self._arrivals.pop(request_id, None)
        if arrival is None or request_id not in self._responders:
            return False
        self.loop.put(entry.RequestArrived(arrival))
        return True

    def _handle_control_event(self, event: entry.EntryEvent) -> None:
        self.loop.put(event)
        self.peers.update_entries(self.core.state.idempotency_entries.values())

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
        self._keys.record_sent(output.request_id)
        self.metrics.record_attempt(
            output.request_id,
            output.upstream.instance,
        )
        task = asyncio.create_task(self._run_attempt(output))
        self._attempt_tasks.add(task)
        task.add_done_callback(self._attempt_tasks.discard)

    @_execute.register
    def _execute_forward_answer(self, output: entry.ForwardAnswer) -> None:
        attempt = self._attempts.pop(output.request_id)
        self.identity.recorder.record(
            'answer passed',
            request=output.request_id,
        )
        if attempt.response is not None:
            self._respond(output.request_id, attempt.response)

    @_execute.register
    def _execute_refuse(self, output: entry.RefuseRequest) -> None:
        self._attempts.pop(output.request_id, None)
        self.identity.recorder.record(
            'request refused',
            request=output.request_id,
            code=output.refusal.code,
            outcome=str(output.refusal.outcome),
        )
        self._respond(output.request_id, output.refusal)

    @_execute.register
    def _execute_send(self, output: entry.SendToControl) -> None:
        self.control.send(output.message)

    def _respond(self, request_id: int, response: CallerResponse) -> None:
        self._keys.record_response(request_id, response)
        self.metrics.record_response(request_id, response)
        self._arrivals.pop(request_id, None)
        self._requests.pop(request_id, None)
        respond = self._responders.pop(request_id, None)
        if respond is not None:
            respond(response)

    async def _send(
        self,
        output: entry.StartAttempt,
        request: CallerRequest,
    ) -> Attempt:
        try:
            return await self.client.send(output, request)
        except Exception:
            # Without an ended attempt, the request would hold its slot forever.
            _log.exception(
                'Sending request {} raised an exception.', output.request_id
            )
            return Attempt(entry.AttemptResult.broken)

    async def _run_attempt(self, output: entry.StartAttempt) -> None:
        request = self._requests.get(output.request_id)
        attempt = Attempt(entry.AttemptResult.not_sent)
        if request is not None:
            attempt = await self._send(output, request)
        self._attempts[output.request_id] = attempt
        self.loop.put(
            entry.AttemptEnded(output.request_id, attempt.attempt_result),
        )


def refuse_while_stopping() -> Refusal:
    """Return the refusal of a request that arrives during a stop."""
    return refuse_not_run(
        'shell.E002',
        HTTPStatus.SERVICE_UNAVAILABLE,
        'This entry is stopping. Retry; the load balancer picks another.',
        _RETRY_AFTER_S,
    )


async def run_entry(settings: ProcessSettings, identity: Identity) -> None:
    """Run an entry until cancelled, then finish accepted requests."""
    entry_server = EntryServer(settings, identity)
    async with entry_server.listen_for_peers(settings.callers.host):
        server = listen_for_callers(entry_server, settings.callers)
        serve_task = asyncio.create_task(_serve(entry_server))
        _log.info('Entry {} is listening.', settings.name)
        try:
            await asyncio.shield(serve_task)
        except asyncio.CancelledError:
            await drain(entry_server, server)
            raise
        finally:
            server.stop()
            serve_task.cancel()


async def _serve(entry_server: EntryServer) -> None:
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(entry_server.loop.run())
        tasks.create_task(entry_server.client.run())
        tasks.create_task(entry_server.peers.loop.run())
        tasks.create_task(entry_server.control.run())
