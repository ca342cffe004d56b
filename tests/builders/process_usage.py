"""Memory of processes, and the disk that their folders take."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

_PEAK_FIELD = 'VmHWM:'
_KIB_BYTES = 1024
_SAMPLE_INTERVAL_S = 0.005


def read_peak_bytes(process_id: int) -> int:
    """Return the most memory that a process has used so far."""
    status = Path(f'/proc/{process_id}/status').read_text()
    line = next(
        line for line in status.splitlines() if line.startswith(_PEAK_FIELD)
    )
    return int(line.split()[1]) * _KIB_BYTES


class FolderSizes:
    """Observe the largest size that each of some folders reaches."""

    def __init__(self, folders: tuple[Path, ...]) -> None:
        self.largest_bytes = 0
        self._folders = folders
        self._is_stopped = threading.Event()

    @contextmanager
    def observe(self) -> Iterator[None]:
        """Observe until the context exits."""
        thread = threading.Thread(target=self._run)
        thread.start()
        try:
            yield
        finally:
            self._is_stopped.set()
            thread.join()

    def _run(self) -> None:
        while not self._is_stopped.wait(_SAMPLE_INTERVAL_S):
            sizes = map(_measure_bytes, self._folders)
            self.largest_bytes = max(self.largest_bytes, *sizes)


def _measure_bytes(folder: Path) -> int:
    size = 0
    for path in folder.rglob('*'):
        # Files are renamed and removed meanwhile.
        with suppress(FileNotFoundError):
            size += path.stat().st_size
    return size
