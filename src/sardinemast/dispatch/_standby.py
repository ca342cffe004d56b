"""Instances of the standby pool, which may be switched on."""

from sardinemast.dispatch._instance_events import InstancesListed
from sardinemast.dispatch._state import DispatchState


class StandbyInstances:
    """Hold the instances that are off, and their data centres.

    A data centre is empty if it is not known. ``is_listed`` is set once the
    instances were listed in this term.
    """

    def __init__(self, state: DispatchState) -> None:
        self.is_listed = False
        self._state = state
        self._data_centres: dict[str, str] = {}

    def start_term(self) -> None:
        """Discard the instances known in the previous term."""
        self.is_listed = False
        self._data_centres.clear()

    def handle_list(self, event: InstancesListed, pool: str) -> None:
        """Replace the instances by those that are listed in the pool."""
        self.is_listed = True
        self._data_centres = {
            one.name: one.data_centre
            for one in event.instances
            if one.pool == pool and one.is_up
        }

    def add(self, instance: str) -> None:
        """Add an instance that was switched off."""
        worker = self._state.jobs.worker_index.find_newest(instance)
        self._data_centres[instance] = worker.data_centre if worker else ''

    def remove(self, instance: str) -> None:
        """Remove an instance that is ordered to a pool."""
        self._data_centres.pop(instance)

    def list_allowed(self) -> list[str]:
        """Return the instances that are in no evacuated data centre."""
        return [name for name in self._data_centres if self._is_allowed(name)]

    def _is_allowed(self, instance: str) -> bool:
        data_centres = self._state.jobs.data_centres
        data_centre = self._data_centres[instance]
        if not data_centre:
            # Nothing tells where the instance is until it is listed again.
            return not data_centres.evacuated
        return not data_centres.is_evacuated(data_centre)
