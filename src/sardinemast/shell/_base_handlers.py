"""Base classes of operators' handlers: authorization and leadership."""

import time
from http import HTTPStatus
from typing import Any, Protocol

from tornado.web import RequestHandler

from sardinemast import control
from sardinemast.shell._security import Access, CertificateUnit


class HandlerService(Protocol):
    """Define what a handler requires from its service."""

    core: control.ControlCore
    access: Access


class OperatorHandler(RequestHandler):
    """Serve clients with an operator's certificate."""

    def initialize(self, service: Any) -> None:
        """Store the service that submits requests to the core."""
        self.service = service

    def prepare(self) -> None:
        """Refuse clients that are not operators."""
        service: HandlerService = self.service
        connection: Any = self.request.connection
        if not service.access.is_allowed(
            connection.stream.socket, CertificateUnit.operator
        ):
            self.refuse(
                HTTPStatus.FORBIDDEN,
                'control.E003',
                "The certificate is not an operator's certificate.",
            )

    def refuse(self, status: HTTPStatus, code: str, text: str) -> None:
        """Respond with an error code and the name of the leader."""
        self.set_status(status)
        leader = self.service.core.replica.leader
        self.finish({'code': code, 'text': text, 'leader': leader})


class LeaderHandler(OperatorHandler):
    """Serve operators while this process is the leader."""

    def prepare(self) -> None:
        """Refuse unless the client is an operator and this is the leader."""
        super().prepare()
        service: HandlerService = self.service
        if not self._finished and not service.core.is_leader(time.monotonic()):
            self.refuse(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'control.E001',
                'This process is not the leader.',
            )
