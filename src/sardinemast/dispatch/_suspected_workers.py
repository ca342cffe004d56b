"""Workers that get no starts because their rack is suspected to be lost."""


class SuspectedWorkers:
    """Hold the workers of suspected racks that have not answered since.

    All of them get no new starts. Those in ``_lost_until_s`` do not count as
    capacity either; those in ``_probed_until_s`` are used again after the
    result of their next poll, whatever it is.
    """

    def __init__(self) -> None:
        self._lost_until_s: dict[str, float] = {}
        self._probed_until_s: dict[str, float] = {}

    def start_term(self) -> None:
        """Discard the workers of the previous term."""
        self._lost_until_s.clear()
        self._probed_until_s.clear()

    def add_lost(self, worker: str, until_s: float) -> None:
        """Suspect a worker until it answers."""
        self._lost_until_s[worker] = until_s

    def add_probed(self, worker: str, until_s: float) -> None:
        """Suspect a worker until the result of its next poll."""
        self._probed_until_s[worker] = until_s

    def is_withheld(self, worker: str) -> bool:
        """Check whether a worker must not get starts or moves."""
        return worker in self._lost_until_s or worker in self._probed_until_s

    def is_lost(self, worker: str) -> bool:
        """Check whether a worker does not count as capacity."""
        return worker in self._lost_until_s

    def end_probe(self, worker: str) -> bool:
        """Release a worker that was only probed; return whether it was."""
        return self._probed_until_s.pop(worker, None) is not None

    def release(self, worker: str) -> bool:
        """Release a worker that answered; return whether it was withheld."""
        was_lost = self._lost_until_s.pop(worker, None) is not None
        return self.end_probe(worker) or was_lost

    def release_expired(self, now_s: float) -> None:
        """Release the workers whose time has passed."""
        for until_s_by_worker in (self._lost_until_s, self._probed_until_s):
            for worker, until_s in tuple(until_s_by_worker.items()):
                if now_s >= until_s:
                    until_s_by_worker.pop(worker)
