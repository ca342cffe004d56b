"""Base of operators' handlers: who may ask, and whom."""

import time
from http import HTTPStatus
from typing import Any, Protocol

from tornado.web import RequestHandler

from sardinemast import control
from sardinemast.shell._security import Access, CertificateUnit


class HandlerService(Protocol):
    """Say what a handler needs of the desk that it serves."""

    core: control.ControlCore
    access: Access


class OperatorHandler(RequestHandler):
    """Serve whoever presents an operator's certificate."""

    def initialize(self, service: Any) -> None:
        """Take the desk that pairs requests with answers."""
        self.service = service

    def prepare(self) -> None:
        """Refuse whoever is no operator."""
        service: HandlerService = self.service
        connection: Any = self.request.connection
        if not service.access.is_allowed(
            connection.stream.socket, CertificateUnit.operator
        ):
            self.refuse(
                HTTPStatus.FORBIDDEN,
                'control.E003',
                "The certificate is not an operator's.",
            )

    def refuse(self, status: HTTPStatus, code: str, text: str) -> None:
        """Answer with a code, and with the leader to ask instead."""
        self.set_status(status)
        leader = self.service.core.replica.leader
        self.finish({'code': code, 'text': text, 'leader': leader})


class LeaderHandler(OperatorHandler):
    """Serve operators while this process leads."""

    def prepare(self) -> None:
        """Refuse whoever is no operator, and name the leader otherwise."""
        super().prepare()
        service: HandlerService = self.service
        if not self._finished and not service.core.is_leader(time.monotonic()):
            self.refuse(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'control.E001',
                'This process does not lead.',
            )
