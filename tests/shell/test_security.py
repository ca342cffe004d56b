"""Mutual TLS between processes."""

import os
import ssl
from contextlib import suppress
from pathlib import Path

import pytest
import trustme

from builders.certificates import write_certificate
from sardinemast.conf import Security
from sardinemast.shell._security import (
    PeerIdentity,
    ServerCredentials,
    create_client_context,
    get_peer_identity,
)


def _perform_handshake(
    client_context: ssl.SSLContext,
    credentials: ServerCredentials,
) -> tuple[PeerIdentity, PeerIdentity]:
    """Perform a handshake in memory; return each side's view of its peer."""
    to_server, to_client = ssl.MemoryBIO(), ssl.MemoryBIO()
    client = client_context.wrap_bio(to_client, to_server)
    server = credentials.context.wrap_bio(
        to_server,
        to_client,
        server_side=True,
    )
    for side in (client, server, client, server):
        with suppress(ssl.SSLWantReadError):
            side.do_handshake()
    return (
        get_peer_identity(client.getpeercert()),
        get_peer_identity(server.getpeercert()),
    )


@pytest.fixture
def authority() -> trustme.CA:
    """Create a certificate authority."""
    return trustme.CA()


@pytest.fixture
def server(tmp_path: Path, authority: trustme.CA) -> Security:
    """Write the certificate of a control process."""
    return write_certificate(tmp_path, authority, 'control-1', 'process')


def test_both_sides_identify_each_other(
    tmp_path: Path,
    authority: trustme.CA,
    server: Security,
) -> None:
    """Read name and unit from verified certificates."""
    client = write_certificate(tmp_path, authority, 'ops', 'operator')
    seen = _perform_handshake(
        create_client_context(client),
        ServerCredentials(server),
    )
    assert seen == (
        PeerIdentity('control-1', 'process'),
        PeerIdentity('ops', 'operator'),
    )


def test_certificate_of_another_authority_is_refused(
    tmp_path: Path, server: Security
) -> None:
    """Guard against access with a certificate from another authority."""
    folder = tmp_path / 'foreign'
    folder.mkdir()
    foreign_client = write_certificate(
        folder, trustme.CA(), 'entry-1', 'process'
    )
    context = create_client_context(foreign_client)
    context.load_verify_locations(server.authority)
    with pytest.raises(ssl.SSLError):
        _perform_handshake(context, ServerCredentials(server))


def test_renewed_certificate_needs_no_restart(
    tmp_path: Path,
    authority: trustme.CA,
    server: Security,
) -> None:
    """Guard against an expired certificate after the file was replaced."""
    credentials = ServerCredentials(server)
    client = create_client_context(server)
    before = credentials.context.get_ca_certs()
    assert not credentials.refresh()
    write_certificate(tmp_path, authority, 'control-1', 'other')
    os.utime(server.certificate, ns=(1, 1))
    assert credentials.refresh()
    assert _perform_handshake(client, credentials)[0].unit == 'other'
    assert credentials.context.get_ca_certs() == before
