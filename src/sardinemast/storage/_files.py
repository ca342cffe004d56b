"""Provide the file functions of the stores, which tests can replace."""

import os
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NamedTuple

_MODE = 0o600
_TEMPORARY_SUFFIX = '.new'
# Bounds the memory that a read or a write of a large file needs.
CHUNK_BYTES = 1024 * 1024


class FileFunctions(NamedTuple):
    """Hold the file operations that can fail or be interrupted by a crash.

    ``create`` returns a descriptor for writing to a new or truncated file,
    ``reopen`` one for appending to an existing file, and ``modify`` one for
    writing inside an existing file, from a position on.
    """

    create: Callable[[Path], int]
    reopen: Callable[[Path], int]
    modify: Callable[[Path], int]
    write: Callable[[int, bytes], int]
    write_at: Callable[[int, bytes, int], int]
    truncate: Callable[[int, int], None]
    sync: Callable[[int], None]
    close: Callable[[int], None]
    rename: Callable[[Path, Path], None]
    sync_folder: Callable[[Path], None]


def write_all(files: FileFunctions, descriptor: int, content: bytes) -> None:
    """Write all of the content, repeating partial writes."""
    position = 0
    while position < len(content):
        position += files.write(descriptor, content[position:])


def rewrite_in_place(
    files: FileFunctions, path: Path, start_bytes: int, end_bytes: int
) -> None:
    """Write a part of a file again where it is, drop what follows, and sync.

    A sync alone is not enough: after an earlier one failed, the kernel may
    hold pages as written that the disk does not have. Each chunk is synced
    before the next one is written, so that a loss of power keeps no later one
    without an earlier one.
    """
    descriptor = files.modify(path)
    try:
        files.truncate(descriptor, end_bytes)
        with path.open('rb') as source:
            source.seek(start_bytes)
            while chunk := source.read(CHUNK_BYTES):
                _write_all_at(files, descriptor, chunk, start_bytes)
                start_bytes += len(chunk)
                files.sync(descriptor)
    finally:
        files.close(descriptor)


def replace_file(
    files: FileFunctions, path: Path, chunks: Iterable[bytes]
) -> None:
    """Replace the content of a file atomically.

    The new file is synced before the rename and the folder after it. In
    another order, a crash could leave an empty file under the path.
    """
    temporary = path.with_suffix(_TEMPORARY_SUFFIX)
    descriptor = files.create(temporary)
    try:
        for chunk in chunks:
            write_all(files, descriptor, chunk)
        files.sync(descriptor)
    finally:
        files.close(descriptor)
    files.rename(temporary, path)
    files.sync_folder(path.parent)


def remove_unfinished_file(path: Path) -> None:
    """Remove what an interrupted replacement of a file left on the disk."""
    path.with_suffix(_TEMPORARY_SUFFIX).unlink(missing_ok=True)


def _write_all_at(
    files: FileFunctions, descriptor: int, content: bytes, position: int
) -> None:
    written = 0
    while written < len(content):
        written += files.write_at(
            descriptor, content[written:], position + written
        )


def _create(path: Path) -> int:
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
    return os.open(path, flags | os.O_CLOEXEC, _MODE)


def _reopen(path: Path) -> int:
    return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)


def _modify(path: Path) -> int:
    return os.open(path, os.O_WRONLY | os.O_CLOEXEC)


def _write_at(descriptor: int, content: bytes, position: int) -> int:
    os.lseek(descriptor, position, os.SEEK_SET)
    return os.write(descriptor, content)


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
    _modify,
    os.write,
    _write_at,
    os.ftruncate,
    os.fdatasync,
    os.close,
    _rename,
    _sync_folder,
)
