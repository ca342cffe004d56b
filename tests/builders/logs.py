"""Logs of large changes, and replicas that apply them."""

from collections.abc import Callable

from builders.workers import make_catalog
from sardinemast import consensus, control
from sardinemast.fleet import COMMANDS
from sardinemast.jobs.commands import PutCatalog

_ELECTION_S = 10


def make_catalog_log(
    log_bytes: int, change_bytes: int
) -> tuple[consensus.LogEntry, ...]:
    """Return changes of the catalog that hold so many bytes together."""
    return tuple(
        consensus.LogEntry(
            version,
            1,
            COMMANDS.encode(
                PutCatalog(make_catalog(version), bytes(change_bytes))
            ),
        )
        for version in range(1, 1 + log_bytes // change_bytes)
    )


def run_until_applied(
    core: control.ControlCore, observe: Callable[[], None] | None = None
) -> list[control.ControlOutput]:
    """Let a sole replica lead and apply its whole log; return all outputs.

    ``observe`` is called after each step.
    """
    outputs = core.step(control.Tick(), 0)
    event: control.ControlEvent = control.Tick()
    is_done = False
    while not is_done:
        new = core.step(event, _ELECTION_S)
        if observe is not None:
            observe()
        outputs += new
        event = control.ApplyDue()
        is_done = not any(isinstance(one, control.ScheduleApply) for one in new)
    return outputs
