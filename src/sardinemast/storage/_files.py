"""File functions that the stores use, to be replaced in tests."""

import os
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

_MODE = 0o600


class FileFunctions(NamedTuple):
    """Hold each step that can fail or be cut short by a crash.

    ``create`` and ``reopen`` give a descriptor for writing: of a new empty
    file, and at the end of one that exists.
    """

    create: Callable[[Path], int]
    reopen: Callable[[Path], int]
    write: Callable[[int, bytes], int]
    sync: Callable[[int], None]
    close: Callable[[int], None]
    rename: Callable[[Path, Path], None]
    sync_folder: Callable[[Path], None]


def write_all(files: FileFunctions, descriptor: int, content: bytes) -> None:
    """Write all of the content, however many calls it takes."""
    position = 0
    while position < len(content):
        position += files.write(descriptor, content[position:])


def replace_file(files: FileFunctions, path: Path, content: bytes) -> None:
    """Put content under the path so that a crash leaves old or new.

    The new file is synced before it takes the name, and the folder after;
    in another order a crash could leave the name on an empty file.
    """
    fresh = path.with_suffix('.new')
    descriptor = files.create(fresh)
    try:
        write_all(files, descriptor, content)
        files.sync(descriptor)
    finally:
        files.close(descriptor)
    files.rename(fresh, path)
    files.sync_folder(path.parent)


def _create(path: Path) -> int:
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
    return os.open(path, flags | os.O_CLOEXEC, _MODE)


def _reopen(path: Path) -> int:
    return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)


def _rename(source: Path, target: Path) -> None:
    source.replace(target)


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


OS_FILE_FUNCTIONS = FileFunctions(
    _create,
    _reopen,
    os.write,
    os.fdatasync,
    os.close,
    _rename,
    _sync_folder,
)
