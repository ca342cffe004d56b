"""Credentials of processes and operators: mutual TLS."""

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
    """Say what the holder of a certificate may do."""

    process = 'process'
    operator = 'operator'


class PeerIdentity(NamedTuple):
    """Hold the name and the unit of a verified certificate."""

    name: str
    unit: str


class ServerCredentials:
    """Hold a server's TLS context and follow its files.

    A certificate that runs out must be replaced while the process serves;
    a restart of each control process only for that would cost leases and an
    election. New connections use the new files, open ones stay.
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
        """Read the files again where they changed, and tell whether."""
        mtimes_ns = _get_mtimes_ns(self._security)
        if mtimes_ns == self._mtimes_ns:
            return False
        _load_files(self.context, self._security)
        self._mtimes_ns = mtimes_ns
        return True


class Access:
    """Decide who may connect to this process, and as whom it connects.

    Without settings for security everybody may; the check of settings allows
    that on loopback addresses only. Where ``source_host`` is set, connections
    to other processes come from that address.
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
        """Give the context that this process's servers use."""
        return self._credentials.context if self._credentials else None

    def create_client_context(self) -> ssl.SSLContext | None:
        """Make the context for one connection to another process."""
        if self._security is None:
            return None
        return create_client_context(self._security)

    def is_allowed(
        self, tls: Any, unit: CertificateUnit, name: str = ''
    ) -> bool:
        """Tell whether the other end may act as the unit, and as the name.

        ``tls`` is the connection's ``ssl_object``. Comparing the name keeps
        an entry's certificate from speaking for a control process.
        """
        if self._security is None:
            return True
        if tls is None:
            return False
        identity = get_peer_identity(tls.getpeercert())
        return identity.unit == unit and name in {'', identity.name}

    async def refresh_periodically(self) -> None:
        """Use changed files for new connections, until cancelled."""
        while True:
            await asyncio.sleep(_REFRESH_INTERVAL_S)
            self._refresh()

    def _refresh(self) -> None:
        if self._credentials is None:
            return
        # A file that is half written must not stop the process; it is read
        # again at the next turn, and open connections go on meanwhile.
        try:
            is_changed = self._credentials.refresh()
        except OSError as error:
            _log.warning('New credentials cannot be used: {}.', error)
            return
        if is_changed:
            _log.info('New credentials are in use.')


def create_client_context(security: Security) -> ssl.SSLContext:
    """Make the context for one connection, from the files as they are."""
    context = _create_context(ssl.PROTOCOL_TLS_CLIENT, security)
    # Processes are known by IP addresses and certificates by names, so the
    # name is compared by the protocol above and not by TLS.
    context.check_hostname = False
    return context


def get_peer_identity(certificate: Any) -> PeerIdentity:
    """Read the name and the unit from ``getpeercert()``'s answer."""
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
