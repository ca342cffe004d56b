"""Mutual TLS between processes and with operators."""

import asyncio
import ssl
from enum import StrEnum
from itertools import chain
from pathlib import Path
from typing import Any, NamedTuple

from logbook import Logger

from sardinemast.conf import Security

_log = Logger('security')
_REFRESH_INTERVAL_S = 10.0
_UNIT_FIELD = 'organizationalUnitName'
_NAME_FIELD = 'commonName'


class CertificateUnit(StrEnum):
    """List the organizational units that grant permissions."""

    process = 'process'
    operator = 'operator'


class PeerIdentity(NamedTuple):
    """Hold the common name and the unit of a verified certificate."""

    name: str
    unit: str


class ServerCredentials:
    """Hold a server's TLS context and reload its files.

    Certificates can be renewed without a restart, which would cost leases
    and an election. New connections use the new files, open ones stay.
    """

    def __init__(self, security: Security) -> None:
        self.context = _create_context(
            ssl.PROTOCOL_TLS_SERVER,
            security,
        )
        self.context.verify_mode = ssl.CERT_REQUIRED
        self._security = security
        self._mtimes_ns = _get_mtimes_ns(security)

    def refresh(self) -> bool:
        """Reload changed files; return whether any has changed."""
        mtimes_ns = _get_mtimes_ns(self._security)
        if mtimes_ns == self._mtimes_ns:
            return False
        _load_files(self.context, self._security)
        self._mtimes_ns = mtimes_ns
        return True


class Access:
    """Authorize clients of this process, and provide its own credentials.

    Without security settings all clients are allowed; the settings permit
    that on loopback addresses only. If ``source_host`` is set, connections to
    other processes are made from that address.
    """

    def __init__(
        self,
        security: Security | None,
        source_host: str = '',
    ) -> None:
        self.source_host = source_host
        self._security = security
        self._credentials: ServerCredentials | None = None
        if security is not None:
            self._credentials = ServerCredentials(security)

    @property
    def server_context(self) -> ssl.SSLContext | None:
        """Return the TLS context of this process's servers."""
        return self._credentials.context if self._credentials else None

    def create_client_context(self) -> ssl.SSLContext | None:
        """Create the TLS context of one connection to another process."""
        if self._security is None:
            return None
        return create_client_context(self._security)

    def is_allowed(
        self, tls: Any, unit: CertificateUnit, name: str = ''
    ) -> bool:
        """Check whether the peer has the unit and, if given, the name.

        ``tls`` is the connection's ``ssl_object``. The check of the name
        keeps an entry from impersonating a control process.
        """
        if self._security is None:
            return True
        if tls is None:
            return False
        identity = get_peer_identity(tls.getpeercert())
        return identity.unit == unit and name in {'', identity.name}

    async def refresh_periodically(self) -> None:
        """Reload changed credentials until cancelled."""
        while True:
            await asyncio.sleep(_REFRESH_INTERVAL_S)
            self._refresh()

    def _refresh(self) -> None:
        if self._credentials is None:
            return
        # A partially written file is read again at the next interval.
        try:
            is_changed = self._credentials.refresh()
        except OSError as error:
            _log.warning('New credentials cannot be loaded: {}.', error)
            return
        if is_changed:
            _log.info('New credentials are loaded.')


def create_client_context(security: Security) -> ssl.SSLContext:
    """Create the TLS context of one connection from the current files."""
    context = _create_context(ssl.PROTOCOL_TLS_CLIENT, security)
    # Processes are addressed by IP, but certificates hold names, which
    # ``Access.is_allowed`` checks.
    context.check_hostname = False
    return context


def get_peer_identity(certificate: Any) -> PeerIdentity:
    """Return the name and the unit from the result of ``getpeercert()``."""
    parts = (certificate or {}).get('subject', ())
    subject = dict(chain.from_iterable(parts))
    return PeerIdentity(
        subject.get(_NAME_FIELD, ''),
        subject.get(_UNIT_FIELD, ''),
    )


def _create_context(protocol: int, security: Security) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    _load_files(context, security)
    return context


def _load_files(context: ssl.SSLContext, security: Security) -> None:
    context.load_verify_locations(security.authority)
    context.load_cert_chain(security.certificate, security.private_key)


def _get_mtimes_ns(security: Security) -> tuple[int, ...]:
    return tuple(Path(path).stat().st_mtime_ns for path in security)
