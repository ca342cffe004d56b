"""Golden sessions of whole waves."""

from builders import Session, check_golden
from builders.waves import BUDGETS, PLAN, START_WALL_S, WaveSimulation
from sardinemast import maintenance


def _make_world() -> tuple[WaveSimulation, Session]:
    simulation = WaveSimulation()
    for _ in range(7):
        simulation.advance()
    session = Session(lambda event, now_s: simulation.core.step(event, now_s))
    simulation.session = session
    return simulation, session


def _live(simulation: WaveSimulation, seconds: int) -> None:
    for _ in range(seconds):
        simulation.advance()


def test_whole_wave() -> None:
    """A wave goes over three pools and each instance proves itself."""
    simulation, session = _make_world()
    simulation.start_wave()
    _live(simulation, 42)
    check_golden('wave_whole', session.transcript)


def test_failure_pauses_the_wave() -> None:
    """Pause the wave, undo what has not cut, and replace the lost instance.

    An instance dies for good while others drain. If the wave went on, the
    pool would lose more than its budget and callers would wait.
    """
    simulation, session = _make_world()
    simulation.start_wave(PLAN._replace(resume_after_s=20))
    _live(simulation, 2)
    lost = simulation.instances['orders-3']
    lost.returns = False
    lost.restart()
    session.note('orders-3 is lost for good while the first three drain.')
    _live(simulation, 50)
    session.note('orders-3 was repaired, and an operator readmits it.')
    lost.returns = True
    lost.restart()
    simulation.commit(maintenance.commands.ReadmitInstance('r', 'orders-3'))
    _live(simulation, 12)
    check_golden('wave_failure', session.transcript)


def test_leader_changes_in_the_middle() -> None:
    """Let a new leader take up steps that the former left half done.

    The leader is lost after the log holds that a reboot is asked for, but
    before the platform was asked. A new leader that didn't ask again would
    leave the instance out for good; one with a new id would reboot it twice.
    """
    simulation, session = _make_world()
    simulation.start_wave()
    _live(simulation, 2)
    simulation.advance(loses_requests=True)
    session.note('The leader is lost; its requests never left.')
    simulation.change_leader(is_committed=False)
    _live(simulation, 12)
    check_golden('wave_leader_change', session.transcript)
    reboots = [one.incarnation for one in simulation.instances.values()]
    assert max(reboots) == 2


def test_operator_aborts_in_the_middle() -> None:
    """Undo the drains of an aborted wave, and finish what has cut."""
    simulation, session = _make_world()
    simulation.start_wave(PLAN._replace(pace_s=3))
    _live(simulation, 6)
    session.note('An operator aborts the wave.')
    simulation.commit(maintenance.commands.AbortWave('a', PLAN.name))
    _live(simulation, 12)
    check_golden('wave_abort', session.transcript)


def test_stuck_drain_is_reported_and_passed_over() -> None:
    """Give up a drain that one entry never confirms, and go on.

    A request never ends at one instance. If the wave waited for it, the
    pool's other instances would miss their six weeks.
    """
    simulation, _ = _make_world()
    simulation.start_wave()
    simulation.advance()
    stuck = [one.name for one in simulation.state.get_stepping()]
    for _ in range(14):
        simulation.advance(lagging=['entry-2'])
        simulation.entries[1].lease_until_s = simulation.now_s + 3
    texts = [one.text for one in simulation.record.reports]
    assert 'drain got stuck, not confirmed by entry-2/1' in texts
    stepping = {one.name for one in simulation.state.get_stepping()}
    assert stepping and not stepping & set(stuck)


def test_failure_counts_before_a_cut_of_the_same_moment() -> None:
    """Undo a step when the leader learns of a failure as it would cut.

    The leader finds one instance silent and another one empty in the same
    moment. Cutting first would leave too few serving, though it was known.
    """
    simulation, _ = _make_world()
    simulation.start_wave()
    for _ in range(3):
        simulation.advance(silent=['orders-2'])
    assert simulation.state.instances['orders-2'].condition == 'suspected'
    assert simulation.state.instances['orders-1'].condition == 'serving'


def test_preview_explains_starts_and_refusals() -> None:
    """The preview tells when each instance starts and why others wait."""
    simulation, session = _make_world()
    plan = PLAN._replace(pools=('orders',))
    preview = maintenance.preview_wave(
        simulation.state,
        plan,
        START_WALL_S + simulation.now_s,
        step_s=60,
    )
    for line in preview:
        session.note(str(line))
    check_golden('wave_preview', session.transcript)


def test_step_starts_only_where_its_window_has_room() -> None:
    """Start nothing that would outlast the window."""
    simulation, _ = _make_world()
    window = maintenance.Window('nord', 86400, 0, 3600)
    plan = PLAN._replace(windows=(window,))
    midnight_s = START_WALL_S - START_WALL_S % 86400 + 86400
    texts = [
        {
            line.code
            for line in maintenance.preview_wave(
                simulation.state, plan, at_s, 600
            )
            if line.instance == 'orders-1'
        }
        for at_s in (midnight_s + 60, midnight_s + 3550)
    ]
    assert texts == [{''}, {'maintenance.E009'}]


def test_oldest_is_maintained_first_within_the_cadence() -> None:
    """A standing wave takes each instance before its six weeks are over."""
    simulation, _ = _make_world()
    cadence_s = 300
    simulation.start_wave(PLAN._replace(cadence_s=cadence_s, at_once=1))
    worst_s: float = 0
    for _ in range(900):
        simulation.advance()
        wall_s = START_WALL_S + simulation.now_s
        ages = [
            wall_s - one.maintained_at_s
            for one in simulation.state.instances.values()
        ]
        worst_s = max(worst_s, *ages)
    assert worst_s <= cadence_s


def test_replica_from_an_image_undoes_the_same_steps() -> None:
    """Choose the same steps to undo, whether from the log or an image.

    A replica was started from an image, another one read the whole log. If
    they undo different drains after a failure, one of them later takes an
    instance as serving that the other has rebooted.
    """
    simulation, _ = _make_world()
    names = ('orders-4', 'billing-1', 'orders-1')
    steps = tuple(
        maintenance.commands.StepStart(
            name,
            simulation.state.instances[name].changed_index,
            maintenance.StepKind.reboot,
        )
        for name in names
    )
    roomy = maintenance.Budgets(
        tuple(
            one._replace(down_max=9, serving_min=0, reserve=None)
            for one in BUDGETS.pools
        ),
        (maintenance.DomainBudget(maintenance.DomainKind.region, 3),),
    )
    copied = maintenance.load_state(maintenance.dump_state(simulation.state))
    for index, command in enumerate(
        (
            maintenance.commands.SetBudgets('w', roomy),
            maintenance.commands.StartSteps(steps, START_WALL_S),
            _change(
                simulation.state.instances['spare-1'],
                maintenance.Condition.suspected,
            ),
        ),
        start=len(simulation.log) + 1,
    ):
        maintenance.apply_command(copied, command, index)
        image = maintenance.dump_state(simulation.state)
        simulation.state = maintenance.load_state(image)
        maintenance.apply_command(simulation.state, command, index)
    assert maintenance.dump_state(copied) == maintenance.dump_state(
        simulation.state
    )


def test_run_about_to_be_forgotten_gets_no_lease() -> None:
    """Give no lease to an entry that is about to be forgotten.

    An entry is back just as the leader has proposed to forget it. With a
    lease it would start work that nobody asks about before a reboot.
    """
    simulation, _ = _make_world()
    entry = simulation.entries[0]
    simulation.feed(maintenance.LeaseSurelyEnded(entry.run))
    assert not simulation.core.may_lease(entry.run)


def test_stale_forgetting_changes_nothing() -> None:
    """Keep a run that was noted again after it was to be forgotten."""
    simulation, _ = _make_world()
    run = simulation.entries[0].run
    stale = simulation.state.entry_runs[run]
    simulation.commit(maintenance.commands.NoteEntry(run))
    simulation.commit(maintenance.commands.ForgetEntry(run, stale))
    assert run in simulation.state.entry_runs


def test_word_from_before_the_reboot_proves_nothing() -> None:
    """Prove only what was heard after the platform answered.

    An instance restarts by itself just before its reboot, and says so; then
    the reboot comes. Its earlier word would prove a run that is gone, and
    callers would be sent to an instance that is still starting.
    """
    simulation, _ = _make_world()
    simulation.start_wave(PLAN._replace(pools=('orders',)))
    for _ in range(3):
        simulation.advance()
    instance = simulation.instances['orders-1']
    request = (
        simulation.pending_requests[-1:] or simulation.record.requests[-1:]
    )
    assert request[0].instance == 'orders-1'
    instance.restart()
    for _ in range(2):
        simulation.advance(loses_requests=True)
    early = instance.make_report()
    simulation.advance()
    simulation.feed(maintenance.InstancesReported((early,)))
    simulation.advance(silent=['orders-1'])
    simulation.advance(silent=['orders-1'])
    assert simulation.state.instances['orders-1'].condition == 'returning'


def test_repeated_change_of_an_older_step_changes_nothing() -> None:
    """Believe a confirmed drain only for the step that it was for.

    A leader's word that an instance is empty is repeated after that step was
    undone and another began. A reboot would cut what runs there now.
    """
    simulation, _ = _make_world()
    known = simulation.state.instances['orders-1']
    start = maintenance.commands.StepStart(
        known.name,
        known.changed_index,
        maintenance.StepKind.reboot,
    )
    simulation.commit(maintenance.commands.StartSteps((start,), START_WALL_S))
    first = simulation.state.instances['orders-1']
    simulation.commit(_change(first, maintenance.Condition.serving))
    again = simulation.state.instances['orders-1']
    simulation.commit(
        maintenance.commands.StartSteps(
            (start._replace(based_on=again.changed_index),),
            START_WALL_S,
        ),
    )
    simulation.commit(_change(first, maintenance.Condition.empty))
    assert simulation.state.instances['orders-1'].condition == 'draining'


def _change(
    instance: maintenance.Instance,
    condition: maintenance.Condition,
) -> maintenance.Command:
    change = maintenance.commands.ConditionChange(
        instance.name,
        instance.changed_index,
        condition,
    )
    return maintenance.commands.ChangeConditions((change,), START_WALL_S)
