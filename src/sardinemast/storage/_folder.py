"""Identity of a data folder, and how a copy is told from the original."""

import os
import uuid
from pathlib import Path
from typing import NamedTuple

from sardinemast.consensus import FolderIdentity
from sardinemast.storage._files import FileFunctions, replace_file
from sardinemast.storage._records import frame_record, read_records
from sardinemast.wire import MessageSet

ASIDE_SUFFIX = '.aside-'
_FILE_NAME = 'identity'
_RECORDS = MessageSet(FolderIdentity)


class FolderSeal(NamedTuple):
    """Tell which file on which disk carries the identity.

    The change time is set by the system and by nobody else, and a file that
    is copied or restored gets a new one; the inode alone may be used again.
    """

    identity: str
    inode: int
    changed_ns: int


def make_identity(folder: Path, files: FileFunctions) -> FolderIdentity:
    """Write and sync a new identity.

    A folder beside one that was set aside may not found a cluster: three
    damaged folders must not turn into an empty cluster that answers as if
    nothing had ever been there.
    """
    replaced = folder.parent.glob(f'{folder.name}{ASIDE_SUFFIX}*')
    made = FolderIdentity(uuid.uuid4().hex, may_found=not any(replaced))
    content = frame_record(_RECORDS.encode(made))
    replace_file(files, folder / _FILE_NAME, content)
    return made


def read_identity(folder: Path) -> FolderIdentity | None:
    """Give the identity of the folder, or nothing where it has none."""
    path = folder / _FILE_NAME
    if not path.exists():
        return None
    found = read_records(path.read_bytes())
    if not found.records:
        return None
    identity = _RECORDS.decode(found.records[0])
    return identity if isinstance(identity, FolderIdentity) else None


def make_seal(folder: Path, identity: FolderIdentity) -> FolderSeal:
    """Give the seal of the identity file as it stands on this disk."""
    found = os.stat(folder / _FILE_NAME)
    return FolderSeal(identity.identity, found.st_ino, found.st_ctime_ns)
