"""Identify a data folder, and tell a copy from the original."""

import os
import uuid
from pathlib import Path
from typing import NamedTuple

from sardinemast.consensus import FolderIdentity
from sardinemast.storage._files import FileFunctions, replace_file
from sardinemast.storage._records import frame_record, iterate_records
from sardinemast.wire import MessageSet

ASIDE_SUFFIX = '.aside-'
_FILE_NAME = 'identity'
_RECORDS = MessageSet(FolderIdentity)


class FolderSeal(NamedTuple):
    """Identify the file that holds the identity, to detect copies.

    Only the operating system sets the change time, and a copied or restored
    file gets a new one. The inode number alone may be reused.
    """

    identity: str
    inode: int
    changed_at_ns: int


def make_identity(folder: Path, files: FileFunctions) -> FolderIdentity:
    """Write and sync a new identity.

    A folder next to one that was set aside may not bootstrap a cluster, so
    that replicas with damaged folders do not start an empty cluster.
    """
    replaced_folders = folder.parent.glob(f'{folder.name}{ASIDE_SUFFIX}*')
    identity = FolderIdentity(
        uuid.uuid4().hex, may_found=not any(replaced_folders)
    )
    content = frame_record(_RECORDS.encode(identity))
    replace_file(files, folder / _FILE_NAME, (content,))
    return identity


def read_identity(folder: Path) -> FolderIdentity | None:
    """Return the identity of the folder, if it has one."""
    path = folder / _FILE_NAME
    if not path.exists():
        return None
    with path.open('rb') as file:
        stored = next(iterate_records(file), None)
    if stored is None:
        return None
    identity = _RECORDS.decode(stored.content)
    return identity if isinstance(identity, FolderIdentity) else None


def read_seal(folder: Path, identity: FolderIdentity) -> FolderSeal:
    """Return the seal of the identity file as it is on this disk."""
    status = os.stat(folder / _FILE_NAME)
    return FolderSeal(identity.identity, status.st_ino, status.st_ctime_ns)
