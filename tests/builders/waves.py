"""Simulated fleet that checks the invariants of maintenance waves."""

from collections.abc import Iterable
from typing import NamedTuple

from builders.golden import Session
from sardinemast import maintenance

LEASE_S = 3.0
WORK_BOUND_S = 4.0
START_WALL_S = 1_000_000.0
SETTINGS = maintenance.MaintenanceSettings(
    suspect_after_s=2.5,
    down_after_s=3,
    replace_after_s=8,
    drain_bound_s=10,
    drain_retry_s=15,
    return_bound_s=20,
    proof_s=2,
    ask_again_s=2,
)
MOVES = maintenance.MoveSettings(horizon_s=5, hold_s=2, dwell_s=3)
BUDGETS = maintenance.Budgets(
    (
        maintenance.PoolBudget('orders', 2, 1, maintenance.DomainKind.rack),
        maintenance.PoolBudget('billing', 2, 1),
        maintenance.PoolBudget('spare', 1),
    ),
    (maintenance.DomainBudget(maintenance.DomainKind.data_centre, 3),),
    'spare',
)
INSTANCE_LOCATIONS = (
    ('orders-1', 'nord', 'r1', 'orders'),
    ('orders-2', 'nord', 'r2', 'orders'),
    ('orders-3', 'sud', 'r1', 'orders'),
    ('orders-4', 'sud', 'r2', 'orders'),
    ('billing-1', 'nord', 'r1', 'billing'),
    ('billing-2', 'sud', 'r1', 'billing'),
    ('spare-1', 'nord', 'r2', 'spare'),
    ('spare-2', 'sud', 'r2', 'spare'),
)
PLAN = maintenance.WavePlan('kernel', ('orders', 'billing', 'spare'), at_once=3)


class Work(NamedTuple):
    """Work that an entry started on an instance."""

    run: maintenance.EntryRun
    pool: str
    end_s: float


class SimulatedInstance:
    """Simulate an instance and its actual state."""

    def __init__(self, name: str, pool: str) -> None:
        self.name = name
        self.pool = pool
        self.incarnation = 1
        self.is_up = True
        self.returns = True
        self.work: list[Work] = []
        self.fence = 0
        self.is_draining = False
        self.done: set[str] = set()
        self.rebooted_by: dict[int, int] = {}

    def get_work(self, now_s: float) -> list[Work]:
        """Return the work that is still running."""
        self.work = [work for work in self.work if work.end_s > now_s]
        return self.work

    def restart(self) -> None:
        """Drop all work and restart; stay down unless ``returns``."""
        self.work.clear()
        self.incarnation += 1
        self.is_up = self.returns
        self.is_draining = False

    def make_report(self) -> maintenance.InstanceReported:
        """Return the instance's report."""
        return maintenance.InstanceReported(
            self.name,
            self.incarnation,
            self.pool,
            is_draining=self.is_draining,
        )

    def carry_out(self, request: maintenance.AskPlatform) -> None:
        """Execute a platform request once per id; ignore outdated fences."""
        if request.request_id in self.done or request.fence < self.fence:
            return
        self.done.add(request.request_id)
        self.fence = request.fence
        if request.action is maintenance.PlatformAction.reboot:
            self.rebooted_by[request.fence] = self.incarnation
            self.restart()
        else:
            self.is_draining = (
                request.action is maintenance.PlatformAction.drain
            )


class SimulatedEntry:
    """Simulate an entry with its applied state and its lease."""

    def __init__(self, name: str, incarnation: int) -> None:
        self.run = maintenance.EntryRun(name, incarnation)
        self.state = maintenance.MaintenanceState()
        self.applied = 0
        self.lease_until_s: float = 0
        self.is_alive = True

    def may_send(self, name: str, now_s: float) -> bool:
        """Check whether the entry would send work to the instance."""
        known = self.state.instances.get(name)
        if known is None or not self.is_alive or now_s >= self.lease_until_s:
            return False
        return known.condition in {
            maintenance.Condition.serving,
            maintenance.Condition.suspected,
        }


class LeaderTraffic:
    """Requests, events and reports exchanged with the leader."""

    def __init__(self) -> None:
        self.requests: list[maintenance.AskPlatform] = []
        self.events: list[maintenance.Event] = []
        self.reports: list[maintenance.Report] = []


class WaveSimulation:
    """Simulate the log, a leader, instances and entries."""

    def __init__(self) -> None:
        self.now_s: float = 0
        self.log: list[maintenance.Command] = []
        self.state = maintenance.MaintenanceState()
        self.core = _make_core(self.state)
        self.old_core = self.core
        self.instances = {
            name: SimulatedInstance(name, pool)
            for name, _, _, pool in INSTANCE_LOCATIONS
        }
        self.entries = [
            SimulatedEntry('entry-1', 1),
            SimulatedEntry('entry-2', 1),
        ]
        self.stopped_entries: list[SimulatedEntry] = []
        self.proposals: list[maintenance.Command] = []
        self.pending_requests: list[maintenance.AskPlatform] = []
        self.record = LeaderTraffic()
        self.session: Session | None = None
        self.commit(maintenance.commands.SetBudgets('b', BUDGETS))
        for name, data_centre, rack, pool in INSTANCE_LOCATIONS:
            self.commit(
                maintenance.commands.EnrolInstance(
                    name, 'ouest', data_centre, rack, pool, START_WALL_S
                )
            )
        self.core.step(maintenance.TermStarted(), self.now_s)

    def commit(
        self, command: maintenance.Command
    ) -> maintenance.Refusal | None:
        """Append and apply a command, and check each changed instance."""
        before = dict(self.state.instances)
        self.log.append(command)
        refusal = maintenance.apply_command(self.state, command, len(self.log))
        for name, after in self.state.instances.items():
            if name in before and before[name] != after:
                self._check_change(before[name], after)
        return refusal

    def commit_all(self) -> None:
        """Commit all pending proposals."""
        proposals = tuple(self.proposals)
        self.proposals.clear()
        for command in proposals:
            self.commit(command)

    def feed(self, *events: maintenance.Event) -> None:
        """Pass events to the leader and record its outputs."""
        for event in events:
            if not isinstance(event, maintenance.Tick):
                self.record.events.append(event)
            for output in self._step(event):
                if isinstance(output, maintenance.Propose):
                    self.proposals.append(output.command)
                elif isinstance(output, maintenance.AskPlatform):
                    self.pending_requests.append(output)
                else:
                    self.record.reports.append(output)

    def change_leader(self, is_committed: bool) -> None:
        """Start a new leader from a dump of the state.

        The proposals of the old leader are committed or dropped.
        """
        if is_committed:
            self.commit_all()
        self.proposals.clear()
        self.old_core = self.core
        self.state = maintenance.load_state(maintenance.dump_state(self.state))
        self.core = _make_core(self.state)
        self.core.step(maintenance.TermStarted(), self.now_s)

    def run_deposed_leader(self) -> None:
        """Tick a deposed leader, which can send requests but not commit."""
        wall_s = START_WALL_S + self.now_s
        for output in self.old_core.step(maintenance.Tick(wall_s), self.now_s):
            if isinstance(output, maintenance.AskPlatform):
                self.carry_out(output)

    def advance(
        self,
        silent: Iterable[str] = (),
        lagging: Iterable[str] = (),
        *,
        loses_requests: bool = False,
        loses_responses: bool = False,
        commits_late: bool = False,
    ) -> None:
        """Advance by a second.

        Silent instances send no report; lagging entries do not renew.
        """
        self.now_s += 1
        self._report_instances(set(silent))
        for entry in self.entries:
            if entry.run.entry not in set(lagging):
                self.renew(entry)
        self._end_leases()
        if commits_late:
            self.commit_all()
        self.feed(maintenance.Tick(START_WALL_S + self.now_s))
        if not commits_late:
            self.commit_all()
        requests = tuple(self.pending_requests)
        self.pending_requests.clear()
        for request in requests:
            if not loses_requests:
                self.carry_out(request)
                if not loses_responses:
                    self.feed(maintenance.PlatformAnswered(request.request_id))

    def carry_out(self, request: maintenance.AskPlatform) -> None:
        """Execute a platform request and check that no work is interrupted."""
        self.record.requests.append(request)
        instance = self.instances[request.instance]
        is_reboot = request.action is maintenance.PlatformAction.reboot
        is_fresh = request.request_id not in instance.done
        if is_reboot and is_fresh and request.fence >= instance.fence:
            assert not instance.get_work(self.now_s), (
                'A reboot interrupts work.'
            )
            for entry in self.entries:
                assert not entry.may_send(instance.name, self.now_s)
        instance.carry_out(request)

    def renew(self, entry: SimulatedEntry) -> None:
        """Let an entry apply the log, report and renew its lease."""
        if not entry.is_alive:
            return
        if not self.core.may_lease(entry.run):
            self.commit(maintenance.commands.NoteEntry(entry.run))
        # An entry applies all log entries before its lease is renewed.
        fresh = self.log[entry.applied :]
        for index, command in enumerate(fresh, start=entry.applied + 1):
            maintenance.apply_command(entry.state, command, index)
        entry.applied = len(self.log)
        self.report(entry)
        if self.core.may_lease(entry.run):
            entry.lease_until_s = self.now_s + LEASE_S

    def report(self, entry: SimulatedEntry) -> None:
        """Report the instances on which the entry has running work."""
        busy = frozenset(
            instance.name
            for instance in self.instances.values()
            if any(
                work.run == entry.run for work in instance.get_work(self.now_s)
            )
        )
        self.feed(maintenance.DrainsReported(entry.run, entry.applied, busy))

    def send(self, entry: SimulatedEntry, name: str, duration_s: float) -> None:
        """Let an entry start work on an instance if its state allows."""
        if not entry.may_send(name, self.now_s):
            return
        instance = self.instances[name]
        pool = entry.state.instances[name].pool
        running = instance.get_work(self.now_s)
        assert all(work.pool == pool for work in running), (
            'Work of two pools on one instance.'
        )
        if instance.is_up:
            end_s = self.now_s + min(duration_s, WORK_BOUND_S)
            instance.work.append(Work(entry.run, pool, end_s))

    def start_wave(self, plan: maintenance.WavePlan = PLAN) -> None:
        """Commit the start of a wave."""
        self.commit(
            maintenance.commands.StartWave('s', plan, START_WALL_S + self.now_s)
        )

    def restart_entry(self, number: int) -> None:
        """Replace an entry by a new incarnation; its work keeps running."""
        old = self.entries[number]
        old.is_alive = False
        self.stopped_entries.append(old)
        run = old.run
        self.entries[number] = SimulatedEntry(run.entry, run.incarnation + 1)

    def _step(self, event: maintenance.Event) -> list[maintenance.Output]:
        if self.session is not None and isinstance(event, maintenance.Tick):
            self._record_conditions()
            return self.session.step(event, self.now_s)
        return self.core.step(event, self.now_s)

    def _record_conditions(self) -> None:
        shown = ', '.join(
            f'{instance.name} in {instance.pool}: {instance.condition}'
            for instance in self.state.instances.values()
            if instance.condition is not maintenance.Condition.serving
        )
        waves = ', '.join(
            f'{wave.plan.name} is {wave.status} {wave.reason}'.strip()
            for wave in self.state.waves.values()
        )
        if self.session is not None:
            self.session.note(f'{waves}; {shown or "all serve"}')

    def _report_instances(self, silent: set[str]) -> None:
        instance_reports = []
        for instance in self.instances.values():
            if instance.is_up and instance.name not in silent:
                instance.pool = self.state.instances[instance.name].pool
                instance_reports.append(instance.make_report())
        self.feed(maintenance.InstancesReported(tuple(instance_reports)))

    def _end_leases(self) -> None:
        for entry in (*self.stopped_entries, *self.entries):
            if self.now_s >= entry.lease_until_s + WORK_BOUND_S:
                self.feed(maintenance.LeaseSurelyEnded(entry.run))

    def _check_change(
        self, before: maintenance.Instance, after: maintenance.Instance
    ) -> None:
        if (
            after.step is not None
            and after.step.kind is maintenance.StepKind.readmit
        ):
            return
        if before.pool != after.pool and before.step:
            self._check_move(before)
        is_start = before.condition is maintenance.Condition.serving and (
            after.condition
            in {maintenance.Condition.draining, maintenance.Condition.moving}
        )
        if is_start or after.condition is maintenance.Condition.rebooting:
            check_budgets(self.state, after)
        if before.step and after.condition is maintenance.Condition.proving:
            self._check_return(before, after)

    def _check_move(self, before: maintenance.Instance) -> None:
        instance = self.instances[before.name]
        assert not instance.get_work(self.now_s), (
            'Pool changed while work is running.'
        )
        for entry in self.entries:
            assert not entry.may_send(instance.name, self.now_s)

    def _check_return(
        self, before: maintenance.Instance, after: maintenance.Instance
    ) -> None:
        if before.condition is maintenance.Condition.returning and before.step:
            instance = self.instances[before.name]
            rebooted = instance.rebooted_by.get(before.step.log_index)
            assert rebooted is not None, 'Returned without a reboot.'
            assert after.incarnation > rebooted, (
                'Proved by an incarnation before the reboot.'
            )


def _make_core(
    state: maintenance.MaintenanceState,
) -> maintenance.MaintenanceCore:
    return maintenance.MaintenanceCore(lambda: state, SETTINGS, MOVES)


def check_budgets(
    state: maintenance.MaintenanceState, taken: maintenance.Instance
) -> None:
    """Check all budgets independently after a step on an instance."""
    of_pool = [
        instance
        for instance in state.instances.values()
        if instance.pool == taken.pool
    ]
    up = [
        instance
        for instance in of_pool
        if instance.condition is maintenance.Condition.serving
    ]
    down = [
        instance
        for instance in of_pool
        if instance not in up
        and (instance.pool, instance.condition)
        != ('spare', maintenance.Condition.set_aside)
    ]
    budget = next(
        pool_budget
        for pool_budget in BUDGETS.pools
        if pool_budget.pool == taken.pool
    )
    racks = [(instance.data_centre, instance.rack) for instance in up]
    reserve = max(map(racks.count, racks), default=0)
    if budget.reserve is None:
        reserve = 0
    assert len(down) + reserve <= budget.down_max, 'Pool budget exceeded.'
    assert len(up) - reserve >= budget.serving_min, (
        'Too few instances are serving.'
    )
    out_of_service = [
        instance
        for instance in state.instances.values()
        if instance.data_centre == taken.data_centre
        and instance.condition is not maintenance.Condition.serving
        and (instance.pool, instance.condition)
        != ('spare', maintenance.Condition.set_aside)
    ]
    assert len(out_of_service) <= BUDGETS.domains[0].down_max, (
        'Domain budget exceeded.'
    )
