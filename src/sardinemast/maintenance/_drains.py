"""Proof that no entry may have work at an instance."""

from collections.abc import Container, Iterable

from sardinemast.maintenance._events import DrainsReported
from sardinemast.maintenance._records import EntryRun, Instance


class DrainProofs:
    """Hold which runs of entries have confirmed which steps."""

    def __init__(self) -> None:
        self._confirmed: dict[str, dict[EntryRun, int]] = {}

    def clear(self) -> None:
        """Forget all; a new leader asks anew."""
        self._confirmed.clear()

    def take_report(
        self,
        report: DrainsReported,
        uncut: Iterable[Instance],
    ) -> None:
        """Note the steps that the run knows of and has no work for.

        A run that has applied a step sends the instance nothing more, so that
        what it confirms once stays true until the step ends.
        """
        for instance in uncut:
            step = instance.step
            if step is None or instance.name in report.busy:
                continue
            if report.applied_index >= step.log_index:
                by_run = self._confirmed.setdefault(instance.name, {})
                by_run[report.run] = step.log_index

    def get_missing(
        self,
        instance: Instance,
        runs: Iterable[EntryRun],
    ) -> list[EntryRun]:
        """Give the runs that may still have work at the instance."""
        if instance.step is None:
            return list(runs)
        by_run = self._confirmed.get(instance.name, {})
        index = instance.step.log_index
        return [run for run in runs if by_run.get(run) != index]

    def keep_only(self, uncut: Container[str]) -> None:
        """Drop what was confirmed for instances whose step has ended."""
        for name in tuple(self._confirmed):
            if name not in uncut:
                self._confirmed.pop(name)
