"""Decide on the announcements of workers, as leader."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from sardinemast.control._context import ControlContext
from sardinemast.dispatch import LogDecision
from sardinemast.exceptions import CodedError
from sardinemast.jobs import JobsState, Worker, commands
from sardinemast.jobs.queries import has_pool
from sardinemast.protocol import AnnounceWorker, CallAnswer, CallOutcome

_DONE = CallAnswer(CallOutcome.done)
_POOL_UNKNOWN = CodedError(
    'jobs.E005',
    'No pool of the catalog has the name that the worker gives.',
    'The worker is registered once a catalog names its pool.',
)
_PLACE_TAKEN = CallAnswer(
    CallOutcome.refused, text='Another worker is still there.'
)
# A worker announces itself about every 1.5 s.
_SUCCESSOR_KEPT_S = 3.0
# Bounds the memory that announcements of unknown workers can take.
_REFUSALS_REMEMBERED = 1024


class WorkerHooks(NamedTuple):
    """Hold the functions that tell the dispatcher about a worker by name.

    ``contest`` lets it find out whether a worker is still there.
    """

    record_announcement: Callable[[str, int, float], None]
    record_leaving: Callable[[str, float], None]
    contest: Callable[[str, float], None]


class _Successor(NamedTuple):
    """Hold a worker that waits for the place of another, and since when."""

    worker: Worker
    announced_s: float


class WorkerRegistrar:
    """Register workers that belong to a pool and have a place of their own.

    A worker counts only for a pool that the catalog names. Registering a worker
    removes earlier ones of its instance and its address, and ends their runs.
    So one is registered only once the earlier ones are known to be gone: an
    announcement says nothing about any worker but its sender.
    """

    def __init__(self, context: ControlContext, hooks: WorkerHooks) -> None:
        self._context = context
        self._hooks = hooks
        self._last_sequences: dict[tuple[str, int], int] = {}
        self._successors: dict[str, _Successor] = {}
        self._refused: dict[tuple[str, str], None] = {}

    def start_term(self) -> None:
        """Forget what was announced in an earlier term."""
        self._last_sequences.clear()
        self._successors.clear()
        self._refused.clear()

    def decide(
        self, call: AnnounceWorker, now_s: float
    ) -> commands.RegisterWorker | CallAnswer:
        """Return the command to propose, or the answer if there is none."""
        worker = call.worker
        known = self._state.workers.get(worker.name)
        # One that is known stays, since its runs go on after its pool is gone.
        if known is None or known.pool != worker.pool:
            if not has_pool(self._state, worker.pool):
                self._log_refusal(worker, 'unknown pool')
                return CallAnswer(CallOutcome.invalid, text=str(_POOL_UNKNOWN))
        if self._is_outdated(call, known):
            return _DONE
        if known is not None and _reverts_drain(known, worker):
            worker = worker._replace(is_draining=True)
        if known == worker:
            self._hooks.record_announcement(worker.name, call.clock_ms, now_s)
            return _DONE
        earlier = self._list_earlier(worker)
        for other in earlier:
            self._put_successor(other.name, _Successor(worker, now_s))
            self._hooks.contest(other.name, now_s)
        if earlier:
            self._log_refusal(worker, 'place taken')
            return _PLACE_TAKEN
        return commands.RegisterWorker(worker)

    def take_successors(
        self, forgotten: commands.ForgetWorker, now_s: float
    ) -> Iterator[commands.RegisterWorker]:
        """Yield the registration of a worker that waited for this place."""
        successor = self._successors.pop(forgotten.name, None)
        if successor is None or self._list_earlier(successor.worker):
            return
        if now_s < successor.announced_s + _SUCCESSOR_KEPT_S:
            yield commands.RegisterWorker(successor.worker)

    @property
    def _state(self) -> JobsState:
        return self._context.state.subsystems.jobs

    def _is_outdated(self, call: AnnounceWorker, known: Worker | None) -> bool:
        """Check whether a later announcement has arrived before."""
        boot = (call.worker.name, call.worker.boot_ms)
        if call.sequence < self._last_sequences.get(boot, 0):
            return True
        if known is not None and known.boot_ms > call.worker.boot_ms:
            return True
        self._last_sequences[boot] = call.sequence
        return False

    def _list_earlier(self, worker: Worker) -> list[Worker]:
        """Return the known workers whose place a worker would take."""
        return [
            other
            for other in self._state.worker_index.list_colocated(worker)
            if other.boot_ms < worker.boot_ms
        ]

    def _put_successor(self, name: str, successor: _Successor) -> None:
        waiting = self._successors.get(name)
        if waiting is None or waiting.worker.boot_ms <= (
            successor.worker.boot_ms
        ):
            self._successors[name] = successor

    def _log_refusal(self, worker: Worker, reason: str) -> None:
        """Log the first refusal of a worker for a reason."""
        key = (worker.name, reason)
        if key in self._refused:
            return
        if len(self._refused) >= _REFUSALS_REMEMBERED:
            self._refused.clear()
        self._refused[key] = None
        details = {
            'reason': reason,
            'pool': worker.pool,
            'address': worker.address,
            'instance': worker.instance,
        }
        self._context.outputs.append(
            LogDecision('worker.refused', worker.name, details)
        )


def _reverts_drain(known: Worker, worker: Worker) -> bool:
    # A worker does not resume after draining, so an announcement of the same
    # boot without the flag is outdated.
    return known.boot_ms == worker.boot_ms and known.is_draining
