"""Processes that run the platform's entry point."""

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
    """Manage processes by name; logs are written beside their settings."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    @property
    def ids(self) -> dict[str, int]:
        """Return the process ids of running processes by name."""
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
        # A pipe keeps the log outside the file size limit of the process.
        log = self.folder / f'{name}.log'
        threading.Thread(target=_copy, args=(process, log)).start()

    def stop(self, name: str, signal_number: int = signal.SIGTERM) -> int:
        """Send a signal, wait for the exit and return the exit code."""
        process = self._processes.pop(name)
        process.send_signal(signal_number)
        return process.wait(_WAIT_S)

    def kill(self, names: tuple[str, ...]) -> None:
        """Kill processes at the same moment, and wait for their exits."""
        killed = [self._processes.pop(name) for name in names]
        for process in killed:
            process.kill()
        for ended in killed:
            ended.wait(_WAIT_S)

    def send_signal(self, name: str, signal_number: int) -> None:
        """Send a signal to a process without waiting."""
        self._processes[name].send_signal(signal_number)

    def kill_all(self) -> None:
        """Kill all processes that are left."""
        for process in self._processes.values():
            process.kill()
            process.wait()

    def limit_files(self, name: str, size: int) -> None:
        """Limit the file size of a process, to simulate a full disk."""
        resource.prlimit(
            self._processes[name].pid,
            resource.RLIMIT_FSIZE,
            (size, resource.RLIM_INFINITY),
        )

    def list_ended(self) -> dict[str, int]:
        """Return the exit codes of processes that ended by themselves."""
        return {
            name: process.returncode
            for name, process in tuple(self._processes.items())
            if process.poll() is not None
        }

    def handles_signal(self, name: str, signal_number: int) -> bool:
        """Check whether a process ignores or handles a signal."""
        status = Path(f'/proc/{self._processes[name].pid}/status').read_text()
        masks = [
            int(line.split()[1], _MASK_BASE)
            for line in status.splitlines()
            if line.startswith(('SigIgn', 'SigCgt'))
        ]
        return any(mask >> (signal_number - 1) & 1 for mask in masks)

    def is_running(self, name: str) -> bool:
        """Check whether a process is running."""
        return self._processes[name].poll() is None

    def wait_for_log(self, name: str, text: str) -> None:
        """Wait until the log of a process contains a text."""
        due_s = time.monotonic() + _WAIT_S
        while time.monotonic() < due_s:
            if text in (self.folder / f'{name}.log').read_text():
                return
            time.sleep(_POLL_S)
        raise TimeoutError(f'{text!r} is not in the log of {name}.')


def _copy(process: subprocess.Popen[bytes], path: Path) -> None:
    """Copy the output of a process to a file until it exits."""
    with path.open('ab', buffering=0) as log:
        for line in process.stdout or ():
            log.write(line)
