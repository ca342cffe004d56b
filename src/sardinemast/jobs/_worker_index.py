"""Which workers stand on an instance or at an address."""

from collections import defaultdict

from sardinemast.jobs._records import Worker

_Names = dict[str, dict[str, Worker]]


class WorkerIndex:
    """Find workers by where they live, without a look at all others."""

    def __init__(self) -> None:
        self._by_instance: _Names = defaultdict(dict)
        self._by_address: _Names = defaultdict(dict)

    def put(self, worker: Worker) -> None:
        """Take in a worker."""
        self._by_address[worker.address][worker.name] = worker
        if worker.instance:
            self._by_instance[worker.instance][worker.name] = worker

    def drop(self, worker: Worker) -> None:
        """Forget a worker."""
        _drop(self._by_address, worker.address, worker.name)
        _drop(self._by_instance, worker.instance, worker.name)

    def list_on_instance(self, instance: str) -> list[Worker]:
        """Give the workers of an instance, of which one lives at a time."""
        return list(self._by_instance.get(instance, {}).values())

    def find_newest(self, instance: str) -> Worker | None:
        """Give the worker of an instance that started last."""
        return max(
            self.list_on_instance(instance),
            key=lambda worker: worker.boot_ms,
            default=None,
        )

    def list_beside(self, worker: Worker) -> list[Worker]:
        """Give the others of its instance and address, in a fixed order."""
        found = {
            **self._by_address.get(worker.address, {}),
            **self._by_instance.get(worker.instance, {}),
        }
        found.pop(worker.name, None)
        # All replicas must end their runs in the same order.
        return [found[name] for name in sorted(found)]


def _drop(places: _Names, place: str, name: str) -> None:
    names = places.get(place, {})
    names.pop(name, None)
    if not names:
        places.pop(place, None)
