"""Preview of a wave: each step with its time, each refusal with its reason."""

from typing import NamedTuple

from sardinemast.maintenance._choice import Judged, judge_wave
from sardinemast.maintenance._records import (
    Condition,
    Instance,
    Wave,
    WavePlan,
    WaveStatus,
)
from sardinemast.maintenance._state import (
    MaintenanceState,
    dump_state,
    load_state,
)
from sardinemast.maintenance._windows import STEP_S

_MAX_ROUNDS = 10_000


class PreviewLine(NamedTuple):
    """Foretell one start, or tell why an instance is not taken.

    ``at_s`` is seconds from now.
    """

    at_s: float
    instance: str
    pool: str
    is_start: bool
    code: str = ''
    text: str = ''


def preview_wave(
    state: MaintenanceState,
    plan: WavePlan,
    wall_s: float,
    step_s: float = STEP_S,
) -> tuple[PreviewLine, ...]:
    """Play a wave on a copy of the state, each step lasting ``step_s``.

    Each refusal is told once for each instance and code. What is down now
    stays down in the play.
    """
    copied = load_state(dump_state(state))
    wave = Wave(plan, WaveStatus.running, wall_s)
    known = state.waves.get(plan.name)
    if known is not None and known.status is WaveStatus.running:
        wave = known
    return tuple(_Play(copied, wave, wall_s, step_s).run())


class _Play:
    """Hold a copy of the state while a wave is played on it."""

    def __init__(
        self,
        state: MaintenanceState,
        wave: Wave,
        wall_s: float,
        step_s: float,
    ) -> None:
        self._state = state
        self._wave = wave
        self._start_s = wall_s
        self._step_s = step_s
        self._told: set[tuple[str, str]] = set()
        self._busy: list[tuple[float, Instance]] = []

    def run(self) -> list[PreviewLine]:
        lines: list[PreviewLine] = []
        now_s = self._start_s
        for _ in range(_MAX_ROUNDS):
            lines.extend(self._play_round(now_s))
            if not self._busy:
                break
            now_s = self._get_next_s(now_s)
            self._finish_until(now_s)
        return lines

    def _play_round(self, now_s: float) -> list[PreviewLine]:
        with self._state.ledger.trial():
            judged = list(judge_wave(self._state, self._wave, now_s))
        lines = []
        for one in judged:
            line = self._tell(one, now_s)
            if line is not None:
                lines.append(line)
        return lines

    def _tell(self, judged: Judged, now_s: float) -> PreviewLine | None:
        instance, refusal = judged
        at_s = now_s - self._start_s
        if refusal is None:
            self._start(instance, now_s)
            return PreviewLine(at_s, instance.name, instance.pool, True)
        if instance.condition is Condition.draining:
            return None
        told = (instance.name, refusal.code)
        if told in self._told:
            return None
        self._told.add(told)
        return PreviewLine(at_s, instance.name, instance.pool, False, *refusal)

    def _start(self, instance: Instance, now_s: float) -> None:
        self._wave = self._wave._replace(last_start_s=now_s)
        started = instance._replace(condition=Condition.draining)
        self._state.put(started)
        self._busy.append((now_s + self._step_s, started))

    def _get_next_s(self, now_s: float) -> float:
        next_s = self._busy[0][0]
        paced_s = self._wave.last_start_s + self._wave.plan.pace_s
        return min(next_s, paced_s) if paced_s > now_s else next_s

    def _finish_until(self, now_s: float) -> None:
        while self._busy and self._busy[0][0] <= now_s:
            end_s, instance = self._busy.pop(0)
            self._state.put(
                instance._replace(
                    condition=Condition.serving,
                    maintained_at_s=end_s,
                ),
            )
