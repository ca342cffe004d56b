"""Provide the file functions of the stores, which tests can replace."""

import os
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

_MODE = 0o600


class FileFunctions(NamedTuple):
    """Hold the file operations that can fail or be interrupted by a crash.

    ``create`` returns a descriptor for writing to a new or truncated file,
    ``reopen`` one for appending to an existing file.
    """

    create: Callable[[Path], int]
    reopen: Callable[[Path], int]
    write: Callable[[int, bytes], int]
    sync: Callable[[int], None]
    close: Callable[[int], None]
    rename: Callable[[Path, Path], None]
    sync_folder: Callable[[Path], None]


def write_all(files: FileFunctions, descriptor: int, content: bytes) -> None:
    """Write all of the content, repeating partial writes."""
    position = 0
    while position < len(content):
        position += files.write(descriptor, content[position:])


def replace_file(files: FileFunctions, path: Path, content: bytes) -> None:
    """Replace the content of a file atomically.

    The new file is synced before the rename and the folder after it. In
    another order, a crash could leave an empty file under the path.
    """
    temporary = path.with_suffix('.new')
    descriptor = files.create(temporary)
    try:
        write_all(files, descriptor, content)
        files.sync(descriptor)
    finally:
        files.close(descriptor)
    files.rename(temporary, path)
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
