"""Times at which steps may start."""

from sardinemast.maintenance._records import Instance, WavePlan, Window

STEP_S = 300.0


def is_open(
    plan: WavePlan,
    instance: Instance,
    wall_s: float,
    step_s: float = STEP_S,
) -> bool:
    """Tell whether a step of the usual length fits into a window now."""
    windows = [
        window
        for window in plan.windows
        if window.data_centre in {'', instance.data_centre}
    ]
    if not plan.windows:
        return True
    return any(_has_room(window, wall_s, step_s) for window in windows)


def _has_room(window: Window, wall_s: float, step_s: float) -> bool:
    into_s = (wall_s - window.offset_s) % window.period_s
    return into_s + step_s <= window.duration_s
