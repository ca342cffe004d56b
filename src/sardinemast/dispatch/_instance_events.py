"""Orders for instances and the events that answer them."""

from typing import NamedTuple

from sardinemast.dispatch._outcomes import OrderOutcome


class OrderMaintenance(NamedTuple):
    """Order the maintenance of an instance, which ends all runs on it.

    ``token`` is the fencing token. ``boot_ms`` identifies the boot of the
    worker that the maintenance ends, 0 if there is none.
    """

    instance: str
    wave: int
    token: int
    boot_ms: int
    timeout_s: float


class MaintenanceAnswered(NamedTuple):
    """Report the outcome of a maintenance order."""

    instance: str
    wave: int
    boot_ms: int
    outcome: OrderOutcome
    is_unknown_instance: bool = False
    reason: str = ''


class OrderMove(NamedTuple):
    """Order the move of an instance to a pool, which ends all its runs."""

    instance: str
    pool: str
    token: int
    timeout_s: float


class MoveAnswered(NamedTuple):
    """Report the outcome of a move order."""

    instance: str
    pool: str
    outcome: OrderOutcome


class ListInstances(NamedTuple):
    """Request the list of all instances, standby ones included."""

    timeout_s: float
    asked_s: float


class ListedInstance(NamedTuple):
    """Hold an instance as the platform lists it.

    It is neither up nor down while it is being moved or maintained.
    """

    name: str
    pool: str
    is_up: bool
    is_down: bool = False
    data_centre: str = ''


class InstancesListed(NamedTuple):
    """Report all instances, as requested at ``asked_s``."""

    instances: tuple[ListedInstance, ...]
    asked_s: float
