"""Records of what instances did to their runs."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple


class InstanceRecord(NamedTuple):
    """Hold the troubles of an instance, in hundredths, as of ``noted_ms``.

    ``failures`` are those not explained by the task, ``silences`` polls and
    ``unanswered`` starts without an answer, ``flaps`` returns soon after a
    silence. The leader lets them decay. An instance on probation has
    ``successes_due`` above 0: so many runs must still end successfully.
    """

    instance: str
    noted_ms: int
    failures: int = 0
    silences: int = 0
    unanswered: int = 0
    flaps: int = 0
    successes_due: int = 0

    @property
    def is_empty(self) -> bool:
        """Check whether nothing is left of the record."""
        counts = (self.failures, self.silences, self.unanswered, self.flaps)
        return not any(counts) and not self.successes_due


def merge_records(
    known: Mapping[str, InstanceRecord],
    changed: Iterable[InstanceRecord],
    instances: Mapping[str, str],
) -> dict[str, InstanceRecord]:
    """Return the records after a change, at most one for each instance.

    Records of instances that are not known and empty ones are left out.
    """
    merged = {**known, **{one.instance: one for one in changed}}
    return {
        name: record
        for name, record in merged.items()
        if name in instances and not record.is_empty
    }
