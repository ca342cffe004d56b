"""Play a day in virtual time: the real dispatcher over model workers."""

from random import Random

from sardinemast.dispatch import (
    Dispatcher,
    DispatchEvent,
    DispatchOutput,
    DispatchSettings,
    LogDecision,
    Propose,
)
from sardinemast.jobs import Command, JobsState, Worker, apply_command
from sardinemast.jobs.commands import (
    DeclareWave,
    PutCatalog,
    RegisterWorker,
    SubmitJob,
)
from sardinemast.model._clock import VirtualClock
from sardinemast.model._instances import Instances
from sardinemast.model._ledger import DayFigures, Played, sum_up
from sardinemast.model._orders import Orders
from sardinemast.model._patterns import (
    Arrival,
    DayPattern,
    draw_arrivals,
    make_model_catalog,
)
from sardinemast.model._troubles import plan_troubles

_MS = 1000
# From a proposal to its commit: a sync of a disk and a way to a majority.
_COMMIT_S = 0.008
_TICK_S = 0.02
_ANNOUNCE_EVERY_S = 1.0
_SPAN_S = 2.0
# Workers come before the day begins, and jobs may go on after it.
_LEAD_S = 6.0
_TAIL_S = 30.0
_WHOLE_PERCENT = 100


class VirtualFleet:
    """Hold one day: a leader's dispatcher, its log, workers and callers."""

    def __init__(
        self,
        day: DayPattern,
        settings: DispatchSettings,
        seed: int,
    ) -> None:
        self.day = day
        self.seed = seed
        self.rng = Random(seed)
        self.clock = VirtualClock(-_LEAD_S)
        self.state = JobsState()
        self.arrivals = draw_arrivals(day, self.rng)
        self.instances = Instances(day, self.clock, self._register)
        self.dispatcher = Dispatcher(settings)
        self._settings = settings
        self._follower = Dispatcher(settings)
        truths = {one.name: one for one in self.arrivals}
        self._orders = Orders(
            self.clock, self.instances, self.state, truths, self.rng
        )
        self._term = 0
        self._log_index = 0
        self._is_led = False
        self._proposed: list[Command] = []
        self._done_s: dict[str, float] = {}
        self._lasting: dict[str, list[float]] = {}

    @property
    def now_ms(self) -> int:
        """Give the time of day."""
        return int((self.clock.now_s + _LEAD_S) * _MS) + 1

    def play(self) -> DayFigures:
        """Play the day to its end and sum it up."""
        self._begin()
        plan_troubles(self)
        end_s = self.day.length_s + _TAIL_S
        self.clock.run_until(end_s, self.instances.note_passed)
        return sum_up(
            Played(
                tuple(self.arrivals),
                self._done_s,
                self._lasting,
                self.instances.worker_seconds,
                self.instances.moves,
                self.instances.lost_core_s,
            ),
        )

    def elect(self) -> None:
        """Let a new leader begin that knows only the log."""
        self._term += 1
        self._is_led = True
        self.dispatcher = self._follower
        now_s = self.clock.now_s
        self._follower = Dispatcher(self._settings)
        self._follower.reset_order_times(now_s)
        self.dispatcher.start_term(self.state, self._term, now_s)
        kept = list(self._proposed)
        self._proposed.clear()
        for command in kept:
            self._propose(command)

    def lose_leader(self, away_s: float) -> None:
        """Have nobody lead for a while; callers try again until then."""
        self._is_led = False
        self._term += 1
        self._proposed = [
            command
            for command in self._proposed
            if isinstance(command, SubmitJob | RegisterWorker | DeclareWave)
        ]
        self.clock.call_later(away_s, self.elect)

    def restart_control(self, away_s: float) -> None:
        """Have all control processes start again, with the log alone."""
        self.lose_leader(away_s)
        self._follower = Dispatcher(self._settings)
        self._follower.reset_order_times(self.clock.now_s + away_s)

    def declare_wave(
        self,
        names: tuple[str, ...],
        cap: int,
        length_s: float,
    ) -> None:
        """Have instances that are due for maintenance declared."""
        due_ms = self.now_ms + int(length_s * _MS)
        wave = DeclareWave(1, names, cap, self.now_ms, due_ms)
        self._propose(wave)

    def _begin(self) -> None:
        self._follower.reset_order_times(self.clock.now_s)
        self._apply(PutCatalog(make_model_catalog(self.day), b''))
        self.elect()
        self.instances.start_all()
        for arrival in self.arrivals:
            self._plan_submission(arrival)
        for span in range(round(self.day.length_s / _SPAN_S)):
            self.clock.call_at((span + 1) * _SPAN_S, self._measure_lasting)
        self._tick()
        self._announce()

    def _register(self, worker: Worker) -> None:
        self._propose(RegisterWorker(worker))

    def _plan_submission(self, arrival: Arrival) -> None:
        def submit() -> None:
            self._propose(
                SubmitJob(
                    arrival.name,
                    arrival.queue.name,
                    arrival.team,
                    arrival.request,
                    self.now_ms,
                ),
            )

        self.clock.call_at(arrival.at_s, submit)

    def _tick(self) -> None:
        if self._is_led:
            now_s = self.clock.now_s
            self._carry_out(self.dispatcher.tick(now_s, self.now_ms))
        self.clock.call_later(_TICK_S, self._tick)

    def _announce(self) -> None:
        for model in self.instances.workers.values():
            if self._is_led and not model.is_dark:
                name = model.worker.name
                self.dispatcher.record_announcement(name, self.clock.now_s)
        self.clock.call_later(_ANNOUNCE_EVERY_S, self._announce)

    def _measure_lasting(self) -> None:
        for arrival in self.arrivals:
            if not arrival.tasks:
                shares = self._lasting.setdefault(arrival.queue.name, [])
                shares.append(self._get_share_at_work(arrival))

    def _get_share_at_work(self, arrival: Arrival) -> float:
        step = arrival.request.steps[0]
        serving = sum(
            run.get_percent(self.clock.now_s) >= _WHOLE_PERCENT
            for model in self.instances.workers.values()
            for task, run in model.running.items()
            if task.job == arrival.name and not task.step
        )
        return serving / step.task_count

    def _propose(self, command: Command) -> None:
        self._proposed.append(command)
        self.clock.call_later(_COMMIT_S, self._commit)

    def _commit(self) -> None:
        if not self._is_led:
            return
        commands = list(self._proposed)
        self._proposed.clear()
        for command in commands:
            self._apply(command)
            self._carry_out(
                self.dispatcher.handle_applied(
                    command,
                    self.clock.now_s,
                    self.now_ms,
                ),
            )
        for name in self.state.ended:
            if self.state.jobs[name].is_done:
                self._done_s.setdefault(name, self.clock.now_s)

    def _apply(self, command: Command) -> None:
        self._log_index += 1
        apply_command(command, self.state, self._log_index)
        self.dispatcher.record_order_time(command, self.clock.now_s)
        self._follower.record_order_time(command, self.clock.now_s)

    def _carry_out(self, outputs: list[DispatchOutput]) -> None:
        term = self._term

        def answer(event: DispatchEvent) -> None:
            if term == self._term and self._is_led:
                self._carry_out(
                    self.dispatcher.step(
                        event,
                        self.clock.now_s,
                        self.now_ms,
                    ),
                )

        for output in outputs:
            if isinstance(output, Propose):
                self._propose(output.command)
            elif not isinstance(output, LogDecision):
                self._orders.send(output, answer)
