"""Decide at the leader what maintenance does next."""

from collections.abc import Callable, Iterable, Iterator
from functools import singledispatchmethod

from sardinemast.maintenance import _events as events
from sardinemast.maintenance import commands
from sardinemast.maintenance._choice import choose_steps, has_due
from sardinemast.maintenance._drains import DrainProofs
from sardinemast.maintenance._health import HealthWatch
from sardinemast.maintenance._moves import MovePlanner, MoveSettings
from sardinemast.maintenance._records import (
    Condition,
    EntryRun,
    Instance,
    WaveStatus,
)
from sardinemast.maintenance._replacements import choose_replacements
from sardinemast.maintenance._requests import PlatformRequests
from sardinemast.maintenance._settings import MaintenanceSettings
from sardinemast.maintenance._stages import (
    Stage,
    StageContext,
    plan_change,
)
from sardinemast.maintenance._state import MaintenanceState

_NEVER_S = float('-inf')
_UNWELL = frozenset((Condition.suspected, Condition.down))


class MaintenanceCore:
    """Plan commands on the replicated state while this process leads.

    Nothing that matters is kept here: a new leader makes it again from the
    log, from the entries' reports and from the instances' words.
    """

    def __init__(
        self,
        get_state: Callable[[], MaintenanceState],
        settings: MaintenanceSettings | None = None,
        moves: MoveSettings | None = None,
    ) -> None:
        self._get_state = get_state
        self._settings = settings or MaintenanceSettings()
        self._health = HealthWatch(self._settings.suspect_after_s)
        self._drains = DrainProofs()
        self._requests = PlatformRequests(self._settings.ask_again_s)
        self._moves = MovePlanner(moves)
        self._is_leader = False
        self._planned_s = _NEVER_S
        self._wall_s: float = 0
        self._seen: dict[str, tuple[int, float]] = {}
        self._proposed: dict[object, float] = {}
        self._forgetting: dict[EntryRun, int] = {}

    def step(self, event: events.Event, now_s: float) -> list[events.Output]:
        """Take an event and give what to do."""
        if not self._is_leader and not isinstance(event, events.TermStarted):
            return []
        return list(self._handle(event, now_s))

    def may_lease(self, run: EntryRun) -> bool:
        """Tell whether a run of an entry may be given a lease now.

        A run that is unknown, or about to be forgotten, would not be asked
        before a reboot, which would cut the work that it has started.
        """
        noted = self._get_state().entry_runs.get(run)
        return noted is not None and self._forgetting.get(run) != noted

    @singledispatchmethod
    def _handle(
        self,
        event: events.Event,
        now_s: float,
    ) -> Iterable[events.Output]:
        raise TypeError(event)

    @_handle.register
    def _handle_start(
        self,
        event: events.TermStarted,
        now_s: float,
    ) -> Iterable[events.Output]:
        self._is_leader = True
        self._health.start_term(now_s)
        self._drains.clear()
        self._requests.clear()
        self._moves.clear()
        self._seen.clear()
        self._proposed.clear()
        self._forgetting.clear()
        self._planned_s = _NEVER_S
        return ()

    @_handle.register
    def _handle_end(
        self,
        event: events.TermEnded,
        now_s: float,
    ) -> Iterable[events.Output]:
        self._is_leader = False
        return ()

    @_handle.register
    def _handle_instance(
        self,
        event: events.InstancesReported,
        now_s: float,
    ) -> Iterable[events.Output]:
        for report in event.reports:
            self._health.take(report, now_s)
        return ()

    @_handle.register
    def _handle_drains(
        self,
        event: events.DrainsReported,
        now_s: float,
    ) -> Iterable[events.Output]:
        self._drains.take_report(event, self._get_state().get_uncut())
        return ()

    @_handle.register
    def _handle_demand(
        self,
        event: events.DemandReported,
        now_s: float,
    ) -> Iterable[events.Output]:
        self._moves.take(event.demands, now_s)
        return ()

    @_handle.register
    def _handle_lease(
        self,
        event: events.LeaseSurelyEnded,
        now_s: float,
    ) -> Iterable[events.Output]:
        noted = self._get_state().entry_runs.get(event.run)
        if noted is not None:
            self._forgetting[event.run] = noted
            command = commands.ForgetEntry(event.run, noted)
            yield from self._propose(command, now_s)

    @_handle.register
    def _handle_answer(
        self,
        event: events.PlatformAnswered,
        now_s: float,
    ) -> Iterable[events.Output]:
        self._requests.note_answer(event.request_id)
        return ()

    @_handle.register
    def _handle_tick(
        self,
        event: events.Tick,
        now_s: float,
    ) -> Iterable[events.Output]:
        self._wall_s = event.wall_s
        if now_s - self._planned_s < self._settings.plan_period_s:
            return
        self._planned_s = now_s
        self._forget_proposals(now_s)
        self._drains.keep_only(self._get_state().uncut)
        yield from self._plan_changes(now_s)
        yield from self._plan_waves(now_s)
        yield from self._plan_starts(now_s)
        yield from self._requests.ask(
            self._get_state(),
            self._health.draining,
            now_s,
        )

    def _plan_changes(self, now_s: float) -> Iterator[events.Output]:
        changes: list[commands.ConditionChange] = []
        context = StageContext(
            self._get_state(),
            self._settings,
            self._health,
            self._drains,
            self._requests,
            now_s,
            self._wall_s,
        )
        for instance in context.state.instances.values():
            # Most instances serve and are well; the leader's effort at the
            # target is spent on nothing but this look at them.
            if self._health.is_well(instance, now_s):
                continue
            seen_s = self._note_seen(instance, now_s)
            change = plan_change(Stage(context, instance, seen_s))
            if change is not None:
                changes.append(change)
                yield from self._report(instance, change)
            elif instance.condition is Condition.moving:
                yield from self._plan_join(instance, now_s)
        fresh = tuple(
            change for change in changes if self._is_new(change, now_s)
        )
        if fresh:
            command = commands.ChangeConditions(fresh, self._wall_s)
            yield events.Propose(command)

    def _plan_join(
        self,
        instance: Instance,
        now_s: float,
    ) -> Iterator[events.Output]:
        runs = self._get_state().entry_runs
        if not self._drains.get_missing(instance, runs):
            yield from self._propose(
                commands.JoinPool(instance.name, instance.changed_index),
                now_s,
            )

    def _plan_waves(self, now_s: float) -> Iterator[events.Output]:
        state = self._get_state()
        for wave in tuple(state.waves.values()):
            name = wave.plan.name
            if wave.status is WaveStatus.paused:
                if self._may_resume(name):
                    resume = commands.ResumeWave('', name)
                    yield from self._propose(resume, now_s)
            elif wave.status is WaveStatus.running and not wave.plan.cadence_s:
                if not has_due(state, wave, self._wall_s):
                    finish = commands.FinishWave(name, wave.started_at_s)
                    yield from self._propose(finish, now_s)

    def _may_resume(self, name: str) -> bool:
        state = self._get_state()
        wave = state.waves[name]
        if not wave.is_paused_by_failure or not wave.plan.resume_after_s:
            return False
        if self._wall_s < wave.paused_at_s + wave.plan.resume_after_s:
            return False
        pools = set(wave.plan.pools)
        return not any(
            instance.condition in _UNWELL and instance.pool in pools
            for instance in state.instances.values()
        )

    def _plan_starts(self, now_s: float) -> Iterator[events.Output]:
        state = self._get_state()
        # Spares first: a lost instance is missing now; then peaks, as a wave
        # can wait.
        chosen = (
            *choose_replacements(state),
            *self._moves.choose(state, now_s),
            *choose_steps(state, self._wall_s),
        )
        fresh = tuple(one for one in chosen if self._is_new(one, now_s))
        if fresh:
            yield events.Propose(commands.StartSteps(fresh, self._wall_s))

    def _report(
        self,
        instance: Instance,
        change: commands.ConditionChange,
    ) -> Iterator[events.Output]:
        if not change.reason or change in self._proposed:
            return
        text = change.reason
        if change.not_before_s:
            missing = self._drains.get_missing(
                instance,
                self._get_state().entry_runs,
            )
            runs = ', '.join(
                f'{run.entry}/{run.incarnation}' for run in sorted(missing)
            )
            text = f'{text}, not confirmed by {runs}'
        yield events.Report(str(change.condition), instance.name, text)

    def _note_seen(self, instance: Instance, now_s: float) -> float:
        seen = self._seen.get(instance.name)
        if seen is None or seen[0] != instance.changed_index:
            seen = (instance.changed_index, now_s)
            self._seen[instance.name] = seen
        return seen[1]

    def _propose(
        self,
        command: commands.Command,
        now_s: float,
    ) -> Iterator[events.Output]:
        if self._is_new(command, now_s):
            yield events.Propose(command)

    def _is_new(self, proposal: object, now_s: float) -> bool:
        if proposal in self._proposed:
            return False
        self._proposed[proposal] = now_s
        return True

    def _forget_proposals(self, now_s: float) -> None:
        # A proposal may be lost with a former leader or refused; it is made
        # again after a while, and applying it twice changes nothing.
        again_s = self._settings.propose_again_s
        self._proposed = {
            proposal: proposed_s
            for proposal, proposed_s in self._proposed.items()
            if now_s - proposed_s < again_s
        }
