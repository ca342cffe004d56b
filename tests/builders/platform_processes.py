"""Real processes of the platform's entry point, started and signalled."""

import json
import os
import resource
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any

_WAIT_S = 20.0
_POLL_S = 0.05
_MASK_BASE = 16


class PlatformProcesses:
    """Hold processes by name; each writes its log beside its settings."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    @property
    def ids(self) -> dict[str, int]:
        """Give the ids of the processes that were started and not ended."""
        return {
            name: process.pid
            for name, process in tuple(self._processes.items())
            if process.poll() is None
        }

    def start(self, name: str, settings: dict[str, Any]) -> None:
        """Start a process with its settings."""
        path = self.folder / f'{name}.yaml'
        path.write_text(json.dumps(settings))
        process = subprocess.Popen(
            (sys.executable, '-m', 'sardinemast.platform'),
            env={**os.environ, 'SARDINEMAST_BOOT': str(path)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        self._processes[name] = process
        # By a pipe, so that a limit on the process's files spares its log.
        log = self.folder / f'{name}.log'
        threading.Thread(target=_copy, args=(process, log)).start()

    def stop(self, name: str, signal_number: int = signal.SIGTERM) -> int:
        """Send a signal and wait for the end."""
        process = self._processes.pop(name)
        process.send_signal(signal_number)
        return process.wait(_WAIT_S)

    def send_signal(self, name: str, signal_number: int) -> None:
        """Send a signal to a process that goes on."""
        self._processes[name].send_signal(signal_number)

    def kill_all(self) -> None:
        """End what is left."""
        for process in self._processes.values():
            process.kill()
            process.wait()

    def limit_files(self, name: str, size: int) -> None:
        """Have writes beyond a size refused, as by a full disk."""
        resource.prlimit(
            self._processes[name].pid,
            resource.RLIMIT_FSIZE,
            (size, resource.RLIM_INFINITY),
        )

    def list_ended(self) -> dict[str, int]:
        """Give the processes that ended by themselves, with their codes."""
        return {
            name: process.returncode
            for name, process in tuple(self._processes.items())
            if process.poll() is not None
        }

    def has_hold_of(self, name: str, signal_number: int) -> bool:
        """Tell whether a process ignores a signal or has a handler for it."""
        status = Path(f'/proc/{self._processes[name].pid}/status').read_text()
        masks = [
            int(line.split()[1], _MASK_BASE)
            for line in status.splitlines()
            if line.startswith(('SigIgn', 'SigCgt'))
        ]
        return any(mask >> (signal_number - 1) & 1 for mask in masks)

    def is_running(self, name: str) -> bool:
        """Tell whether a process has not ended."""
        return self._processes[name].poll() is None

    def wait_for_log(self, name: str, text: str) -> None:
        """Wait until a process has logged a text."""
        due_s = time.monotonic() + _WAIT_S
        while time.monotonic() < due_s:
            if text in (self.folder / f'{name}.log').read_text():
                return
            time.sleep(_POLL_S)
        raise TimeoutError(f'{name} does not say {text!r}.')


def _copy(process: subprocess.Popen[bytes], path: Path) -> None:
    """Write what a process says to a file, until it ends."""
    with path.open('ab', buffering=0) as log:
        for line in process.stdout or ():
            log.write(line)
