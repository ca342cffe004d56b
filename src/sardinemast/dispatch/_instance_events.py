"""Orders for instances and their answers."""

from typing import NamedTuple

from sardinemast.dispatch._outcomes import OrderOutcome


class OrderMaintenance(NamedTuple):
    """Have an instance maintained; all that runs on it ends at once.

    ``token`` fences the order, and ``boot_ms`` is the boot of the worker that
    is taken down.
    """

    instance: str
    wave: int
    token: int
    boot_ms: int
    timeout_s: float


class MaintenanceAnswered(NamedTuple):
    """Hand over what became of an order for an instance."""

    instance: str
    wave: int
    boot_ms: int
    outcome: OrderOutcome
    is_unknown_instance: bool = False
    reason: str = ''


class OrderMove(NamedTuple):
    """Have an instance change its pool; all that runs on it ends at once."""

    instance: str
    pool: str
    token: int
    timeout_s: float


class MoveAnswered(NamedTuple):
    """Hand over what became of a move."""

    instance: str
    pool: str
    outcome: OrderOutcome


class ListInstances(NamedTuple):
    """Ask for all instances, those that stand by included."""

    timeout_s: float
    asked_s: float


class ListedInstance(NamedTuple):
    """Hold an instance as whoever runs it lists it.

    It may be neither up nor down, while it is moved or maintained.
    """

    name: str
    pool: str
    is_up: bool
    is_down: bool = False


class InstancesListed(NamedTuple):
    """Hand over the list of instances, as asked for at ``asked_s``."""

    instances: tuple[ListedInstance, ...]
    asked_s: float
