"""Index of workers by instance and by address."""

from collections import defaultdict

from sardinemast.jobs._records import Worker

_WorkersByName = dict[str, dict[str, Worker]]


class WorkerIndex:
    """Index workers by instance and by address."""

    def __init__(self) -> None:
        self._by_instance: _WorkersByName = defaultdict(dict)
        self._by_address: _WorkersByName = defaultdict(dict)

    def put(self, worker: Worker) -> None:
        """Add a worker."""
        self._by_address[worker.address][worker.name] = worker
        if worker.instance:
            self._by_instance[worker.instance][worker.name] = worker

    def drop(self, worker: Worker) -> None:
        """Remove a worker."""
        _drop(self._by_address, worker.address, worker.name)
        _drop(self._by_instance, worker.instance, worker.name)

    def list_on_instance(self, instance: str) -> list[Worker]:
        """Return the known workers of an instance."""
        return list(self._by_instance.get(instance, {}).values())

    def find_newest(self, instance: str) -> Worker | None:
        """Return the worker of an instance that started last."""
        # A tie must not depend on the order of insertion, which a snapshot does
        # not keep.
        return max(
            self.list_on_instance(instance),
            key=lambda worker: (worker.boot_ms, worker.name),
            default=None,
        )

    def list_colocated(self, worker: Worker) -> list[Worker]:
        """Return the other workers of its instance or address, by name."""
        found = {
            **self._by_address.get(worker.address, {}),
            **self._by_instance.get(worker.instance, {}),
        }
        found.pop(worker.name, None)
        # All replicas must end the runs of these workers in the same order.
        return [found[name] for name in sorted(found)]


def _drop(index: _WorkersByName, location: str, name: str) -> None:
    workers = index.get(location, {})
    workers.pop(name, None)
    if not workers:
        index.pop(location, None)
