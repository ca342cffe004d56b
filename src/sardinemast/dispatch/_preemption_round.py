"""Decide for all pressed steps which runs give way."""

from collections import defaultdict
from typing import NamedTuple

from sardinemast.dispatch._disruptions import count_stoppable
from sardinemast.dispatch._eligibility import fits_team_cap
from sardinemast.dispatch._expected_ends import ExpectedEnds
from sardinemast.dispatch._preemption import (
    Candidate,
    Choice,
    Rank,
    choose_victims,
    get_rank,
    may_preempt,
)
from sardinemast.dispatch._preemption_costs import (
    CheckpointTimes,
    make_candidate,
)
from sardinemast.dispatch._pressed_steps import PressedStep
from sardinemast.dispatch._state import DispatchState
from sardinemast.jobs import ZERO_SIZE, Size, StepKey, StepState

# Bounds the size of a command and the work of one round.
_PREEMPTIONS_MAX = 32
# A stop takes up to 0.5 s, and its record and the new start a little more.
_STOP_ALLOWANCE_MS = 600

_Candidates = dict[str, list[Candidate]]


class Preemption(NamedTuple):
    """Hold a worker and its runs that give way to the tasks of a step."""

    step: StepKey
    rank: Rank
    worker: str
    victims: tuple[Candidate, ...]


class PreemptionRound:
    """Choose victims until the waiting tasks of pressed steps find capacity.

    ``open_preemptions`` are earlier ones that are not resolved. Their capacity
    counts as if it was free already, so that no task makes two runs stop.
    """

    def __init__(
        self,
        state: DispatchState,
        checkpoints: CheckpointTimes,
        open_preemptions: list[Preemption],
        now_s: float,
    ) -> None:
        self._state = state
        self._checkpoints = checkpoints
        self._now_s = now_s
        self._expected_ends = ExpectedEnds(state, now_s)
        self._held: dict[str, Rank] = {}
        self._expected_free: dict[str, Size] = {}
        self._used_by_team = dict(state.jobs.usage.by_team)
        self._candidates: dict[tuple[str, Rank], _Candidates] = {}
        self._chosen: list[Preemption] = []
        for preemption in open_preemptions:
            self._hold(preemption)

    def choose(self, pressed_steps: list[PressedStep]) -> list[Preemption]:
        """Return the preemptions, those of the most urgent step first."""
        for pressed in pressed_steps:
            self._place_step(pressed)
        return self._chosen

    def _place_step(self, pressed: PressedStep) -> None:
        if self._can_wait(pressed):
            return
        for _ in pressed.step.waiting:
            if len(self._chosen) >= _PREEMPTIONS_MAX:
                return
            if not self._charge_team(pressed) or not self._place_task(pressed):
                return

    def _place_task(self, pressed: PressedStep) -> bool:
        worker = self._find_expected(pressed)
        if worker is None:
            worker = self._make_room(pressed)
        if worker is None:
            return False
        self._expected_free[worker] = self._expected_free[worker].plus(
            pressed.demand.size, -1
        )
        return True

    def _find_expected(self, pressed: PressedStep) -> str | None:
        """Find a held worker whose expected free capacity fits a task."""
        return next(
            (
                worker
                for worker, free in self._expected_free.items()
                if pressed.demand.size.fits(free)
                and pressed.rank <= self._held[worker]
                and self._is_eligible(pressed, worker)
            ),
            None,
        )

    def _make_room(self, pressed: PressedStep) -> str | None:
        candidates = {
            worker: runs
            for worker, runs in self._get_candidates(pressed).items()
            if worker not in self._held and self._is_eligible(pressed, worker)
        }
        free = {
            worker: self._state.jobs.usage.free.get(worker)
            for worker in candidates
        }
        choice = choose_victims(pressed.demand, free, candidates)
        if choice is None:
            return None
        preemption = _make_preemption(pressed, choice)
        self._hold(preemption)
        self._chosen.append(preemption)
        return choice.worker

    def _hold(self, preemption: Preemption) -> None:
        worker = preemption.worker
        runs = self._state.get_runs(worker)
        free = self._state.jobs.usage.free.get(worker)
        for victim in preemption.victims:
            if runs.get(victim.task) == victim.number:
                free = free.plus(victim.size)
        self._held[worker] = preemption.rank
        self._expected_free[worker] = free

    def _can_wait(self, pressed: PressedStep) -> bool:
        """Check that tasks find capacity in time without stopping runs."""
        if self._fits_now(pressed) or not self._get_candidates(pressed):
            return True
        if pressed.slack_ms <= _STOP_ALLOWANCE_MS:
            return False
        wait_ms = self._expected_ends.get_wait_ms(
            pressed.pool, pressed.demand.size
        )
        return wait_ms <= pressed.slack_ms

    def _fits_now(self, pressed: PressedStep) -> bool:
        fitting = self._state.jobs.usage.free.iterate_fitting(
            pressed.pool, pressed.demand.size
        )
        return any(
            worker not in self._held and self._is_eligible(pressed, worker)
            for worker in fitting
        )

    def _is_eligible(self, pressed: PressedStep, name: str) -> bool:
        """Check that the tasks of a step may start on a worker."""
        worker = self._state.jobs.workers.get(name)
        session = self._state.sessions.get(name)
        if worker is None or session is None or worker.pool != pressed.pool:
            return False
        spec = pressed.step.spec
        if not spec.allows_labels(worker.labels):
            return False
        if spec.max_per_worker:
            running = pressed.step.running.values()
            if sum(run.worker == name for run in running) >= (
                spec.max_per_worker
            ):
                return False
        return self._state.is_usable(session, self._now_s)

    def _charge_team(self, pressed: PressedStep) -> bool:
        """Count a task against its team's cap, and return whether it fits."""
        jobs, step = self._state.jobs, pressed.step
        fits = fits_team_cap(jobs, step, self._used_by_team)
        name = jobs.get_job(step).team
        used = self._used_by_team.get(name, ZERO_SIZE)
        self._used_by_team[name] = used.plus(step.spec.size)
        return fits

    def _get_candidates(self, pressed: PressedStep) -> _Candidates:
        key = (pressed.pool, pressed.rank)
        if key not in self._candidates:
            self._candidates[key] = self._collect_candidates(*key)
        return self._candidates[key]

    def _collect_candidates(self, pool: str, rank: Rank) -> _Candidates:
        state = self._state
        collected: _Candidates = defaultdict(list)
        for step in state.jobs.ready.values():
            queue = state.jobs.get_queue(step)
            # Stopping a member of a gang would stop all of them.
            if queue.pool != pool or step.spec.is_gang:
                continue
            if not may_preempt(rank, get_rank(queue.priority, step.spec)):
                continue
            for worker, runs in self._list_candidates(step).items():
                collected[worker].extend(runs)
        return collected

    def _list_candidates(self, step: StepState) -> _Candidates:
        listed: _Candidates = defaultdict(list)
        limit = count_stoppable(self._state, step, self._now_s)
        for position, run in step.running.items():
            candidate = make_candidate(
                self._state, self._checkpoints, step, position, self._now_s
            )
            if candidate is not None and len(listed[run.worker]) < limit:
                listed[run.worker].append(candidate)
        return listed


def _make_preemption(pressed: PressedStep, choice: Choice) -> Preemption:
    return Preemption(
        pressed.step.key, pressed.rank, choice.worker, choice.victims
    )
