"""Bounds of time of the maintenance core."""

from typing import NamedTuple


class MaintenanceSettings(NamedTuple):
    """Bound each stage of an instance.

    ``replace_after_s`` is how long an instance may be down before a spare
    takes its place; ``return_bound_s`` how long a reboot may take until the
    instance has proved itself; ``proof_s`` how long it must be healthy.
    """

    plan_period_s: float = 1
    suspect_after_s: float = 3
    down_after_s: float = 10
    replace_after_s: float = 120
    drain_bound_s: float = 120
    drain_retry_s: float = 3600
    return_bound_s: float = 600
    proof_s: float = 10
    ask_again_s: float = 5
    propose_again_s: float = 2
