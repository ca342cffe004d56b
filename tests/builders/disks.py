"""File functions with injected errors, crashes and power loss."""

import errno
import os
from pathlib import Path

from sardinemast.storage import OS_FILE_FUNCTIONS, FileFunctions


class KilledError(Exception):
    """Raised where a simulated crash interrupts a file operation."""


def limit_disk(folder: Path, capacity: int) -> FileFunctions:
    """Return the file functions of a disk that holds only so many bytes."""

    def write(descriptor: int, content: bytes) -> int:
        used = sum(path.stat().st_size for path in folder.iterdir())
        if used + len(content) > capacity:
            raise OSError(errno.ENOSPC, 'No space left on device')
        return os.write(descriptor, content)

    return OS_FILE_FUNCTIONS._replace(write=write)


class CountingFiles:
    """Perform file operations, and record writes and syncs in turn."""

    def __init__(self) -> None:
        self.written_bytes = 0
        self.operations: list[str] = []

    @property
    def functions(self) -> FileFunctions:
        """Return the file functions to pass to a store."""
        return OS_FILE_FUNCTIONS._replace(
            write=self._write, write_at=self._write_at, sync=self._sync
        )

    def _write(self, descriptor: int, content: bytes) -> int:
        self.written_bytes += len(content)
        self.operations.append('write')
        return OS_FILE_FUNCTIONS.write(descriptor, content)

    def _write_at(self, descriptor: int, content: bytes, position: int) -> int:
        self.written_bytes += len(content)
        self.operations.append('write')
        return OS_FILE_FUNCTIONS.write_at(descriptor, content, position)

    def _sync(self, descriptor: int) -> None:
        self.operations.append('sync')
        OS_FILE_FUNCTIONS.sync(descriptor)


class FaultyFiles:
    """Perform file operations and inject a fault after a set number.

    ``lose_power`` reverts what was not synced: bytes at the end of files, and
    renames in a folder that was not synced. Some of both may be kept.

    After a failed sync, the kernel takes all pages for written: a later sync
    makes only what was written since then durable.
    """

    def __init__(self) -> None:
        self.operations_until_kill: int | None = None
        self.operations_until_error: int | None = None
        self.fails_sync = False
        self.synced_folders: list[Path] = []
        self._paths: dict[int, Path] = {}
        self._synced_bytes: dict[Path, int] = {}
        # Where the bytes begin that the kernel still has to write.
        self._unwritten_from: dict[Path, int] = {}
        self._renames: list[tuple[Path, bytes | None]] = []

    @property
    def functions(self) -> FileFunctions:
        """Return the file functions to pass to a store."""
        return FileFunctions(
            self._create,
            self._reopen,
            self._modify,
            self._write,
            self._write_at,
            self._truncate,
            self._sync,
            OS_FILE_FUNCTIONS.close,
            self._rename,
            self._sync_folder,
        )

    def lose_power(
        self,
        kept_quarters: int = 0,
        *,
        keeps_renames: bool = False,
        keeps_sizes: bool = False,
    ) -> None:
        """Discard writes and renames that were not synced.

        ``kept_quarters`` of the bytes that a file has beyond its synced ones
        are kept. If sizes are kept, the others become zeros.
        """
        for path, size in self._synced_bytes.items():
            if path.exists() and path.stat().st_size > size:
                old_size = path.stat().st_size
                kept = (old_size - size) * kept_quarters // 4
                os.truncate(path, size + kept)
                if keeps_sizes:
                    os.truncate(path, old_size)
        if not keeps_renames:
            self._revert_renames()
        self._renames.clear()
        self._synced_bytes.clear()
        self._unwritten_from.clear()

    def _revert_renames(self) -> None:
        for path, content in reversed(self._renames):
            if content is None:
                path.unlink()
            else:
                path.write_bytes(content)

    def _step(self) -> None:
        if self.operations_until_error is not None:
            self.operations_until_error -= 1
            if self.operations_until_error < 0:
                raise OSError(errno.ENOSPC, 'No space left on device')
        if self.operations_until_kill is not None:
            self.operations_until_kill -= 1
            if self.operations_until_kill < 0:
                raise KilledError

    def _create(self, path: Path) -> int:
        self._step()
        descriptor = OS_FILE_FUNCTIONS.create(path)
        self._paths[descriptor] = path
        self._synced_bytes[path] = 0
        self._unwritten_from[path] = 0
        return descriptor

    def _reopen(self, path: Path) -> int:
        self._step()
        descriptor = OS_FILE_FUNCTIONS.reopen(path)
        self._paths[descriptor] = path
        self._synced_bytes.setdefault(path, path.stat().st_size)
        return descriptor

    def _modify(self, path: Path) -> int:
        self._step()
        descriptor = OS_FILE_FUNCTIONS.modify(path)
        self._paths[descriptor] = path
        self._synced_bytes.setdefault(path, path.stat().st_size)
        return descriptor

    def _write(self, descriptor: int, content: bytes) -> int:
        self._record_write(descriptor)
        half = content[: len(content) // 2]
        try:
            self._step()
        except (KilledError, OSError):
            os.write(descriptor, half)
            raise
        return os.write(descriptor, half or content)

    def _write_at(self, descriptor: int, content: bytes, position: int) -> int:
        os.lseek(descriptor, position, os.SEEK_SET)
        self._record_write(descriptor, position)
        return self._write(descriptor, content)

    def _truncate(self, descriptor: int, size: int) -> None:
        self._step()
        path = self._paths[descriptor]
        os.ftruncate(descriptor, size)
        self._synced_bytes[path] = min(self._synced_bytes[path], size)

    def _record_write(
        self, descriptor: int, position: int | None = None
    ) -> None:
        path = self._paths[descriptor]
        if position is None:
            position = path.stat().st_size
        self._unwritten_from[path] = min(
            position, self._unwritten_from.get(path, position)
        )

    def _sync(self, descriptor: int) -> None:
        path = self._paths[descriptor]
        size = path.stat().st_size
        try:
            self._step()
        except OSError:
            self._unwritten_from.pop(path, None)
            raise
        unwritten_from = self._unwritten_from.pop(path, size)
        if self.fails_sync:
            raise OSError(errno.EIO, 'Input/output error')
        if unwritten_from <= self._synced_bytes[path]:
            self._synced_bytes[path] = size

    def _rename(self, source: Path, target: Path) -> None:
        self._step()
        old = target.read_bytes() if target.exists() else None
        self._renames.append((target, old))
        source.replace(target)
        for sizes in (self._synced_bytes, self._unwritten_from):
            if source in sizes:
                sizes[target] = sizes.pop(source)

    def _sync_folder(self, folder: Path) -> None:
        self._step()
        self.synced_folders.append(folder)
        self._renames.clear()
