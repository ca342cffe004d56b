"""Histories of waves against the truth about instances and entries."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from builders.waves import (
    INSTANCE_LOCATIONS,
    PLAN,
    START_WALL_S,
    WaveSimulation,
)
from sardinemast import maintenance

NAMES = tuple(place[0] for place in INSTANCE_LOCATIONS)
_names = st.sampled_from(NAMES)
_entries = st.integers(0, 1)
_positions = st.integers(1, 20)


class Waves(RuleBasedStateMachine):
    """Break everything while waves go over a small fleet."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = WaveSimulation()
        for _ in range(7):
            self.simulation.advance()
        self.simulation.start_wave()

    @rule(
        seconds=st.integers(1, 4),
        silent=st.sets(_names, max_size=2),
        lagging=st.sets(st.sampled_from(['entry-1', 'entry-2']), max_size=1),
        losses=st.tuples(st.booleans(), st.booleans(), st.booleans()),
    )
    def advance(
        self,
        seconds: int,
        silent: set[str],
        lagging: set[str],
        losses: tuple[bool, bool, bool],
    ) -> None:
        """Let time pass with silent instances and lost answers."""
        for _ in range(seconds):
            self.simulation.advance(
                silent,
                lagging,
                loses_requests=losses[0],
                loses_responses=losses[1],
                commits_late=losses[2],
            )

    @rule(seconds=st.integers(3, 7))
    def live_well(self, seconds: int) -> None:
        """Let time pass with nothing going wrong."""
        for _ in range(seconds):
            self.simulation.advance()

    @rule(name=_names, returns=st.booleans())
    def crash(self, name: str, returns: bool) -> None:
        """Restart an instance unasked, or for good; so may the platform."""
        instance = self.simulation.instances[name]
        instance.returns = returns
        instance.restart()

    @rule(name=_names)
    def heal(self, name: str) -> None:
        """Repair an instance."""
        instance = self.simulation.instances[name]
        instance.returns = True
        if not instance.is_up:
            instance.restart()

    @rule(
        sends=st.lists(
            st.tuples(_entries, _names, st.integers(1, 9)),
            min_size=1,
            max_size=6,
        )
    )
    def send(self, sends: list[tuple[int, str, int]]) -> None:
        """Let entries start work by the state that they have."""
        for number, name, duration_s in sends:
            entry = self.simulation.entries[number]
            self.simulation.send(entry, name, duration_s)

    @rule(number=_entries, duration_s=st.integers(1, 9))
    def send_everywhere(self, number: int, duration_s: int) -> None:
        """Let an entry start work at each instance that it may use."""
        entry = self.simulation.entries[number]
        for name in NAMES:
            self.simulation.send(entry, name, duration_s)

    @rule(number=_entries)
    def report(self, number: int) -> None:
        """Let an entry report, whatever it has applied."""
        self.simulation.report(self.simulation.entries[number])

    @rule(number=_entries, seconds=st.integers(7, 10))
    def cut_off_entry(self, number: int, seconds: int) -> None:
        """Cut an entry off until its lease and work bound have passed."""
        lagging = [self.simulation.entries[number].run.entry]
        for _ in range(seconds):
            self.simulation.advance(lagging=lagging, commits_late=True)

    @rule(number=_entries)
    def restart_entry(self, number: int) -> None:
        """Kill an entry and start it again."""
        self.simulation.restart_entry(number)

    @rule(is_committed=st.booleans())
    def change_leader(self, is_committed: bool) -> None:
        """Let another process lead."""
        self.simulation.change_leader(is_committed)

    @rule()
    def run_deposed_leader(self) -> None:
        """Let the former leader act on what it knew."""
        self.simulation.run_deposed_leader()

    @rule(back=_positions)
    def repeat_request(self, back: int) -> None:
        """Carry an old request to the platform once more."""
        if back <= len(self.simulation.record.requests):
            self.simulation.carry_out(self.simulation.record.requests[-back])

    @rule(back=st.integers(1, 200))
    def repeat_event(self, back: int) -> None:
        """Tell the leader again what was told long ago."""
        if back <= len(self.simulation.record.events):
            self.simulation.feed(self.simulation.record.events[-back])

    @rule(choice=st.sampled_from(['start', 'pause', 'resume', 'abort']))
    def operate(self, choice: str) -> None:
        """Let an operator change the wave."""
        name, wall_s = PLAN.name, START_WALL_S + self.simulation.now_s
        choices: dict[str, maintenance.Command] = {
            'start': maintenance.commands.StartWave('x', PLAN, wall_s),
            'pause': maintenance.commands.PauseWave('x', name, wall_s),
            'resume': maintenance.commands.ResumeWave('x', name),
            'abort': maintenance.commands.AbortWave('x', name),
        }
        self.simulation.commit(choices[choice])

    @rule(
        pool=st.sampled_from(['orders', 'billing', 'spare']),
        factor=st.integers(1, 6),
    )
    def turn(self, pool: str, factor: int) -> None:
        """Let one pool ask for much and the others for little."""
        for _ in range(3):
            self.simulation.advance()
            self.simulation.feed(
                maintenance.DemandReported(
                    tuple(
                        maintenance.PoolDemand(
                            one,
                            factor if one == pool else 0.2,
                        )
                        for one in ('orders', 'billing', 'spare')
                    ),
                ),
            )

    @rule(name=_names)
    def readmit(self, name: str) -> None:
        """Take back what was set aside."""
        self.simulation.commit(maintenance.commands.ReadmitInstance('x', name))

    @invariant()
    def replicas_agree(self) -> None:
        """Find the same state in each replica of the same index."""
        image = maintenance.dump_state(self.simulation.state)
        for entry in self.simulation.entries:
            if entry.applied == len(self.simulation.log):
                assert maintenance.dump_state(entry.state) == image

    @invariant()
    def no_step_survives_its_wave(self) -> None:
        """Leave no step that has not cut in a wave that does not run."""
        for instance in self.simulation.state.get_stepping():
            wave = instance.step and self.simulation.state.waves.get(
                instance.step.wave
            )
            if wave and instance.condition in maintenance.UNCUT:
                assert wave.status is maintenance.WaveStatus.running


@pytest.mark.fuzz
def test_waves_keep_all_promises() -> None:
    """Keep budgets, pools and running work through 2,000 histories.

    Instances, entries, leaders and the platform fail in any order. If the
    account is wrong, a pool falls under its budget; if a drain is believed
    too early, a reboot cuts a request.
    """
    Waves.TestCase.settings = settings(
        max_examples=2000,
        stateful_step_count=22,
    )
    Waves.TestCase('runTest').runTest()
