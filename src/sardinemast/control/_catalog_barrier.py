"""Hold submissions back while a catalog is on its way through the log."""

from typing import Generic, TypeVar

from sardinemast.jobs import commands

_Held = TypeVar('_Held')


class CatalogBarrier(Generic[_Held]):
    """Hold submissions until no catalog is in flight.

    A submission names its queue in the log. By the time it is applied, a
    catalog that was proposed before it may have given that name to another
    queue.
    """

    def __init__(self) -> None:
        self._in_flight: set[tuple[int, bytes]] = set()
        self._held: list[_Held] = []

    @property
    def is_closed(self) -> bool:
        """Check whether a catalog is in flight."""
        return bool(self._in_flight)

    def record_proposed(self, catalog: commands.PutCatalog) -> None:
        """Close the barrier until a catalog is applied."""
        self._in_flight.add(_get_key(catalog))

    def record_applied(self, catalog: commands.PutCatalog) -> list[_Held]:
        """Return what was held if this was the last catalog in flight."""
        self._in_flight.discard(_get_key(catalog))
        return [] if self._in_flight else self._take_held()

    def hold(self, submission: _Held) -> None:
        """Hold a submission until the barrier opens."""
        self._held.append(submission)

    def end_term(self) -> list[_Held]:
        """Open the barrier, and return what was held and not proposed."""
        self._in_flight.clear()
        return self._take_held()

    def _take_held(self) -> list[_Held]:
        held = list(self._held)
        self._held.clear()
        return held


def _get_key(catalog: commands.PutCatalog) -> tuple[int, bytes]:
    return catalog.catalog.version, catalog.source
