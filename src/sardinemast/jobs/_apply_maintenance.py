"""Apply commands about instances: waves of maintenance, and moves."""

from sardinemast.jobs import commands
from sardinemast.jobs._records import MaintenanceStatus, Wave, WaveItem
from sardinemast.jobs._state import JobsState


def declare_wave(
    command: commands.DeclareWave,
    state: JobsState,
    log_index: int,
) -> None:
    """Take in a wave that is not known yet."""
    if command.number not in state.waves:
        state.waves[command.number] = Wave(
            command.number,
            command.cap,
            command.started_ms,
            command.due_ms,
            tuple(map(WaveItem, command.instances)),
        )


def note_upkeep(
    command: commands.NoteUpkeep,
    state: JobsState,
    log_index: int,
) -> None:
    """Note how far an instance of a wave is."""
    state.last_order_ms[command.instance] = command.noted_ms
    wave = state.waves.get(command.wave)
    if wave is None:
        return
    items = tuple(
        item._replace(
            status=command.status,
            boot_ms=command.boot_ms or item.boot_ms,
        )
        if item.instance == command.instance
        and item.status is not MaintenanceStatus.done
        else item
        for item in wave.items
    )
    state.waves[wave.number] = wave._replace(items=items)


def note_move(
    command: commands.NoteMove,
    state: JobsState,
    log_index: int,
) -> None:
    """Note that an instance is moved."""
    state.last_order_ms[command.instance] = command.noted_ms
    # An instance that stood by has no home; it goes where it is needed.
    state.home_pools.setdefault(command.instance, '')
