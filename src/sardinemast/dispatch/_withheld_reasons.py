"""Reasons for which a worker gets no new runs."""

from enum import StrEnum


class WithheldReason(StrEnum):
    """Name the condition that keeps new runs off a worker."""

    evacuated = 'evacuated'
    rack_suspected = 'rack_suspected'
    not_synced = 'not_synced'
    not_announced = 'not_announced'
    contested = 'contested'
    draining = 'draining'
    leaving = 'leaving'
    cordoned = 'cordoned'
    backing_off = 'backing_off'
    silent = 'silent'
    unrecorded_runs = 'unrecorded_runs'
