"""Apply commands about maintenance waves and moves of instances."""

from sardinemast.jobs import commands
from sardinemast.jobs._records import MaintenanceStatus, Wave, WaveItem
from sardinemast.jobs._state import JobsState


def declare_wave(
    command: commands.DeclareWave,
    state: JobsState,
    log_index: int,
) -> None:
    """Store a wave unless its number is known."""
    if command.number not in state.waves:
        state.waves[command.number] = Wave(
            command.number,
            command.cap,
            command.started_ms,
            command.due_ms,
            tuple(map(WaveItem, command.instances)),
        )


def record_maintenance(
    command: commands.NoteUpkeep,
    state: JobsState,
    log_index: int,
) -> None:
    """Update the maintenance status of an instance of a wave."""
    state.last_order_ms[command.instance] = command.recorded_ms
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


def record_move(
    command: commands.NoteMove,
    state: JobsState,
    log_index: int,
) -> None:
    """Record that an instance is ordered to move."""
    state.last_order_ms[command.instance] = command.recorded_ms
    # A standby instance that never had a worker has no home pool.
    state.home_pools.setdefault(command.instance, '')
