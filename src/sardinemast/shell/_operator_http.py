"""HTTP server for operators: commands and queries."""

import asyncio
import time
from collections.abc import Callable, Sequence
from http import HTTPStatus
from itertools import count
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from sardinemast import control
from sardinemast.conf import Address
from sardinemast.fleet import (
    OPERATOR_COMMANDS,
    describe_state,
    diff_versions,
)
from sardinemast.shell._base_handlers import LeaderHandler, OperatorHandler
from sardinemast.shell._identity import Identity
from sardinemast.shell._security import Access
from sardinemast.wire import WireError, dump_plain

# Keeps a command within one frame between control processes.
_MAX_BODY_BYTES = 4 * 1024 * 1024
_ANSWER_TIMEOUT_S = 10.0
# A sync takes 4 to 9 ms.
_DURABILITY_POLL_S = 0.002


class OperatorService:
    """Submit operators' commands to the core and wait for its answers."""

    def __init__(
        self,
        core: control.ControlCore,
        identity: Identity,
        access: Access,
    ) -> None:
        self.core = core
        self.identity = identity
        self.access = access
        self._put: Callable[[control.ControlEvent], None] | None = None
        self._is_core_blocked: Callable[[], bool] = bool
        self._request_ids = count(1)
        self._pending: dict[int, asyncio.Future[control.OperatorAnswer]] = {}

    def attach(
        self,
        put: Callable[[control.ControlEvent], None],
        is_core_blocked: Callable[[], bool],
    ) -> None:
        """Connect to the core's inbox and to the check for pending outputs."""
        self._put = put
        self._is_core_blocked = is_core_blocked

    async def wait_until_durable(self) -> None:
        """Wait until the state of the core is durable.

        Otherwise a single control process could show a change that is lost in
        a power failure.
        """
        while self._is_core_blocked():
            await asyncio.sleep(_DURABILITY_POLL_S)

    async def ask(self, command: Any) -> control.OperatorAnswer:
        """Submit a command to the core and wait for the answer."""
        request_id = next(self._request_ids)
        answer = asyncio.get_running_loop().create_future()
        self._pending[request_id] = answer
        if self._put is not None:
            self._put(
                control.CommandRequested(request_id, command, time.time()),
            )
        try:
            return await asyncio.wait_for(answer, _ANSWER_TIMEOUT_S)
        finally:
            self._pending.pop(request_id, None)

    def answer(self, output: control.AnswerOperator) -> None:
        """Resolve the pending request of an answer."""
        pending = self._pending.get(output.request_id)
        if pending is not None and not pending.done():
            pending.set_result(output.answer)
            self.identity.recorder.record(
                'operator answered',
                index=output.answer.log_index,
                in_force=output.answer.entries_in_force,
                total=output.answer.entries_total,
            )


class CommandHandler(OperatorHandler):
    """Accept a command as CBOR and respond once it is in force."""

    async def post(self) -> None:
        """Decode and replicate a command."""
        try:
            command = OPERATOR_COMMANDS.decode(self.request.body)
        except WireError as error:
            self.refuse(HTTPStatus.BAD_REQUEST, error.code, error.text)
            return
        try:
            answer = await self.service.ask(command)
        except TimeoutError:
            self._refuse_unknown()
            return
        if answer.is_unknown:
            self._refuse_unknown()
        else:
            self._write_answer(answer)

    def _refuse_unknown(self) -> None:
        self.refuse(
            HTTPStatus.GATEWAY_TIMEOUT,
            'control.E002',
            'No majority answered in time; the command may still be '
            'accepted. Resend it with the same command id.',
        )

    def _write_answer(self, answer: control.OperatorAnswer) -> None:
        if answer.outcome is None:
            self.refuse(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'control.E001',
                'This process is not the leader.',
            )
            return
        if not answer.outcome.is_accepted:
            self.set_status(HTTPStatus.CONFLICT)
        self.finish(
            {
                **answer.outcome._asdict(),
                'changes': _list_records(answer.outcome.changes),
                'findings': _list_records(answer.outcome.findings),
                'index': answer.log_index,
                'entries_in_force': answer.entries_in_force,
                'entries_total': answer.entries_total,
            },
        )


class StateHandler(LeaderHandler):
    """Serve the replicated state."""

    async def get(self) -> None:
        """Return the state once it is durable."""
        await self.service.wait_until_durable()
        self.finish(describe_state(self.service.core.state))


class DiffHandler(LeaderHandler):
    """Serve the differences between two versions of the document."""

    async def get(self, before: str, after: str) -> None:
        """Return the changed fields."""
        await self.service.wait_until_durable()
        changes = diff_versions(
            self.service.core.state,
            int(before),
            int(after),
        )
        if changes is None:
            self.refuse(
                HTTPStatus.NOT_FOUND,
                'fleet.E007',
                'One of the versions is not stored.',
            )
            return
        self.finish({'changes': _list_records(changes)})


class TimelineHandler(RequestHandler):
    """Serve the recorded events of this process."""

    def initialize(self, identity: Identity) -> None:
        """Store the identity of the process."""
        self.identity = identity

    def get(self) -> None:
        """Return the recorded events."""
        events = self.identity.recorder.get_events()
        self.finish({'events': dump_plain(events)})


def listen_for_operators(
    service: OperatorService,
    address: Address,
    more_routes: Sequence[Any] = (),
) -> HTTPServer:
    """Start the HTTP server for operators."""
    options = {'service': service}
    application = Application(
        [
            ('/v1/commands', CommandHandler, options),
            ('/v1/state', StateHandler, options),
            (r'/v1/diff/(\d{1,9})/(\d{1,9})', DiffHandler, options),
            *more_routes,
            ('/-/timeline', TimelineHandler, {'identity': service.identity}),
        ],
        log_function=_log_nothing,
    )
    server = HTTPServer(
        application,
        max_body_size=_MAX_BODY_BYTES,
        ssl_options=service.access.server_context,
    )
    server.listen(address.port, address.host)
    return server


def _list_records(records: tuple[Any, ...]) -> list[dict[str, Any]]:
    return [record._asdict() for record in records]


def _log_nothing(handler: RequestHandler) -> None:
    """Disable Tornado's access log; the timeline records requests."""
