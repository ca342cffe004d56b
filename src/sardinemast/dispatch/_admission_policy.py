"""Settings of the refusal of jobs that cannot end while they are of use."""

from typing import NamedTuple


class AdmissionPolicy(NamedTuple):
    """Configure which submitted jobs are refused.

    A job is refused if its expected wait for capacity is more than ``margin``
    times the longest wait after which it would still be of use. Above 1 it
    allows for declared durations that are too long. At most
    ``max_live_jobs`` accepted jobs may not have ended; 0 is no limit.
    """

    enabled: bool = False
    margin: float = 1.5
    max_live_jobs: int = 20_000
