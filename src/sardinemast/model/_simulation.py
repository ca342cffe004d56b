"""Simulation of a day: the real dispatcher over simulated workers."""

from random import Random

from sardinemast.dispatch import (
    Dispatcher,
    DispatchEvent,
    DispatchOutput,
    DispatchSettings,
    LogDecision,
    Propose,
    StartRun,
)
from sardinemast.jobs import Command, JobsState, Worker, apply_command
from sardinemast.jobs.commands import (
    DeclareWave,
    PutCatalog,
    RegisterWorker,
    SubmitJob,
)
from sardinemast.model._callers import Callers
from sardinemast.model._clock import VirtualClock
from sardinemast.model._disruptions import schedule_disruptions
from sardinemast.model._instances import Instances
from sardinemast.model._lost_racks import LostRacks
from sardinemast.model._orders import OrderExecutor
from sardinemast.model._scoring import DayRecord, DayResults, score_day
from sardinemast.model._workload import (
    Arrival,
    DayPattern,
    draw_arrivals,
    draw_peak_offset_s,
    make_catalog,
)

_MS = 1000
# From a proposal to its commit: disk sync and a round trip to a majority.
_COMMIT_DELAY_S = 0.008
_TICK_INTERVAL_S = 0.02
_ANNOUNCE_INTERVAL_S = 1.0
_SAMPLE_INTERVAL_S = 2.0
# Workers register before the day starts, and jobs may end after it.
_WARMUP_S = 6.0
_COOLDOWN_S = 30.0
_COMPLETE_PERCENT = 100


class FleetSimulation:
    """Simulate a day: a leader's dispatcher, its log, workers and callers."""

    def __init__(
        self,
        day: DayPattern,
        settings: DispatchSettings,
        seed: int,
    ) -> None:
        self.day = day
        self.seed = seed
        self.rng = Random(seed)
        self.clock = VirtualClock(-_WARMUP_S)
        self.state = JobsState()
        self.peak_offset_s = draw_peak_offset_s(day, self.rng)
        self.arrivals = draw_arrivals(day, self.peak_offset_s, self.rng)
        self.lost_racks = LostRacks()
        self.instances = Instances(day, self.clock, self._register)
        self.dispatcher = Dispatcher(settings)
        self._callers = Callers(
            settings.admission,
            self.clock,
            self.state,
            self._propose,
            lambda: self.now_ms,
        )
        self._settings = settings
        self._follower = Dispatcher(settings)
        arrivals_by_name = {one.name: one for one in self.arrivals}
        self._executor = OrderExecutor(
            self.clock, self.instances, self.state, arrivals_by_name, self.rng
        )
        self._term = 0
        self._log_index = 0
        self._has_leader = False
        self._proposed: list[Command] = []
        self._done_at_s: dict[str, float] = {}
        self._availability: dict[str, list[float]] = {}
        self._beyond_rate: set[str] = set()

    @property
    def now_ms(self) -> int:
        """Return the virtual time as a positive number of milliseconds."""
        return int((self.clock.now_s + _WARMUP_S) * _MS) + 1

    def run(self) -> DayResults:
        """Run the day to its end and return its results."""
        self._start()
        schedule_disruptions(self)
        end_s = self.day.duration_s + _COOLDOWN_S
        self.clock.run_until(end_s, self.instances.record_elapsed)
        return score_day(
            DayRecord(
                tuple(self.arrivals),
                self._done_at_s,
                self._availability,
                self.instances.worker_seconds,
                self.instances.move_count,
                self.instances.lost_core_s,
                frozenset(self._beyond_rate),
                self.lost_racks.start_count,
                self.lost_racks.recovery_s,
                self._callers.refusal_count,
            ),
        )

    def elect(self) -> None:
        """Start the term of a new leader, which knows the log alone."""
        self._term += 1
        self._has_leader = True
        self.dispatcher = self._follower
        now_s = self.clock.now_s
        self._follower = Dispatcher(self._settings)
        self._follower.reset_order_times(now_s)
        self.dispatcher.start_term(self.state, self._term, now_s)
        self._callers.set_leader(self.dispatcher)
        retried = list(self._proposed)
        self._proposed.clear()
        for command in retried:
            self._propose(command)

    def lose_leader(self, outage_s: float) -> None:
        """Remove the leader for some time.

        The leader's own proposals are lost; callers, workers and operators
        retry theirs with the next leader.
        """
        self._has_leader = False
        self._callers.set_leader(None)
        self._term += 1
        self._proposed = [
            command
            for command in self._proposed
            if isinstance(command, SubmitJob | RegisterWorker | DeclareWave)
        ]
        self.clock.call_later(outage_s, self.elect)

    def restart_control(self, outage_s: float) -> None:
        """Restart all control processes, which keep the log alone."""
        self.lose_leader(outage_s)
        self._follower = Dispatcher(self._settings)
        self._follower.reset_order_times(self.clock.now_s + outage_s)

    def declare_wave(
        self,
        names: tuple[str, ...],
        cap: int,
        duration_s: float,
    ) -> None:
        """Declare a maintenance wave of the named instances."""
        due_ms = self.now_ms + int(duration_s * _MS)
        wave = DeclareWave(1, names, cap, self.now_ms, due_ms)
        self._propose(wave)

    def _start(self) -> None:
        self._follower.reset_order_times(self.clock.now_s)
        self._apply(PutCatalog(make_catalog(self.day), b''))
        self.elect()
        self.instances.start_workers()
        for arrival in self.arrivals:
            self._schedule_submission(arrival)
        for index in range(round(self.day.duration_s / _SAMPLE_INTERVAL_S)):
            self.clock.call_at(
                (index + 1) * _SAMPLE_INTERVAL_S, self._sample_availability
            )
        self._tick()
        self._announce()

    def _register(self, registration: Worker) -> None:
        self._propose(RegisterWorker(registration))

    def _schedule_submission(self, arrival: Arrival) -> None:
        def submit() -> None:
            self._callers.submit(arrival)

        self.clock.call_at(arrival.at_s, submit)

    def _tick(self) -> None:
        if self._has_leader:
            now_s = self.clock.now_s
            self._execute(self.dispatcher.tick(now_s, self.now_ms))
        self.clock.call_later(_TICK_INTERVAL_S, self._tick)

    def _announce(self) -> None:
        for worker in self.instances.workers.values():
            if self._has_leader and not worker.is_unreachable:
                name = worker.registration.name
                self.dispatcher.record_announcement(name, 0, self.clock.now_s)
        self.clock.call_later(_ANNOUNCE_INTERVAL_S, self._announce)

    def _sample_availability(self) -> None:
        for arrival in self.arrivals:
            if not arrival.tasks:
                samples = self._availability.setdefault(arrival.queue.name, [])
                samples.append(self._get_available_share(arrival))

    def _get_available_share(self, arrival: Arrival) -> float:
        step = arrival.request.steps[0]
        ready_count = sum(
            run.get_progress_percent(self.clock.now_s) >= _COMPLETE_PERCENT
            for worker in self.instances.workers.values()
            for task, run in worker.running.items()
            if task.job == arrival.name and not task.step
        )
        return ready_count / step.task_count

    def _propose(self, command: Command) -> None:
        self._proposed.append(command)
        self.clock.call_later(_COMMIT_DELAY_S, self._commit)

    def _commit(self) -> None:
        if not self._has_leader:
            return
        commands = list(self._proposed)
        self._proposed.clear()
        for command in commands:
            self._apply(command)
            self._execute(
                self.dispatcher.handle_applied(
                    command,
                    self.clock.now_s,
                    self.now_ms,
                ),
            )
        for name in self.state.ended:
            if self.state.jobs[name].is_done:
                self._done_at_s.setdefault(name, self.clock.now_s)

    def _apply(self, command: Command) -> None:
        self._log_index += 1
        apply_command(command, self.state, self._log_index)
        if isinstance(command, SubmitJob):
            if not self.state.jobs[command.name].is_within_rate:
                self._beyond_rate.add(command.name)
            self._callers.handle_applied(command.name)
        self.dispatcher.record_order_time(command, self.clock.now_s)
        self._follower.record_order_time(command, self.clock.now_s)

    def _execute(self, outputs: list[DispatchOutput]) -> None:
        term = self._term

        def handle_answer(event: DispatchEvent) -> None:
            if term == self._term and self._has_leader:
                self._execute(
                    self.dispatcher.step(
                        event,
                        self.clock.now_s,
                        self.now_ms,
                    ),
                )

        for output in outputs:
            if isinstance(output, Propose):
                self._propose(output.command)
                continue
            if isinstance(output, StartRun):
                self.lost_racks.record_start(output, self.clock.now_s)
            if not isinstance(output, LogDecision):
                self._executor.send(output, handle_answer)
