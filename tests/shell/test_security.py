"""Credentials of processes."""

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


def _shake_hands(
    client_context: ssl.SSLContext,
    credentials: ServerCredentials,
) -> tuple[PeerIdentity, PeerIdentity]:
    """Connect in memory, and give whom each side sees."""
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
    """Make an authority."""
    return trustme.CA()


@pytest.fixture
def server(tmp_path: Path, authority: trustme.CA) -> Security:
    """Write a control process's certificate."""
    return write_certificate(tmp_path, authority, 'control-1', 'process')


def test_both_sides_know_each_other(
    tmp_path: Path,
    authority: trustme.CA,
    server: Security,
) -> None:
    """Name and unit are read from verified certificates."""
    client = write_certificate(tmp_path, authority, 'ops', 'operator')
    seen = _shake_hands(
        create_client_context(client),
        ServerCredentials(server),
    )
    assert seen == (
        PeerIdentity('control-1', 'process'),
        PeerIdentity('ops', 'operator'),
    )


def test_stranger_is_refused(tmp_path: Path, server: Security) -> None:
    """Refuse a process whose certificate another authority issued.

    Somebody who reaches the port starts a process with a certificate of
    their own. Let in, it could vote or read the digests of all keys.
    """
    folder = tmp_path / 'stranger'
    folder.mkdir()
    stranger = write_certificate(folder, trustme.CA(), 'entry-1', 'process')
    context = create_client_context(stranger)
    context.load_verify_locations(server.authority)
    with pytest.raises(ssl.SSLError):
        _shake_hands(context, ServerCredentials(server))


def test_new_certificate_needs_no_restart(
    tmp_path: Path,
    authority: trustme.CA,
    server: Security,
) -> None:
    """Use a certificate that was replaced while the process serves.

    A certificate is about to run out and an operator puts a new one in its
    place. Without a new reading the process is cut off when the old one ends.
    """
    credentials = ServerCredentials(server)
    client = create_client_context(server)
    before = credentials.context.get_ca_certs()
    assert not credentials.refresh()
    write_certificate(tmp_path, authority, 'control-1', 'other')
    os.utime(server.certificate, ns=(1, 1))
    assert credentials.refresh()
    assert _shake_hands(client, credentials)[0].unit == 'other'
    assert credentials.context.get_ca_certs() == before
