"""Certificates of a test authority."""

from pathlib import Path

import trustme

from sardinemast.conf import Security


def write_certificate(
    folder: Path,
    authority: trustme.CA,
    name: str,
    unit: str,
) -> Security:
    """Issue a certificate and write it, replacing an older one."""
    security = Security(
        folder / 'authority.pem',
        folder / f'{name}.pem',
        folder / f'{name}.key',
    )
    issued = authority.issue_cert(
        f'{name}.invalid',
        common_name=name,
        organization_unit_name=unit,
    )
    authority.cert_pem.write_to_path(security.authority)
    issued.private_key_pem.write_to_path(security.private_key)
    security.certificate.write_bytes(
        b''.join(part.bytes() for part in issued.cert_chain_pems),
    )
    return security
