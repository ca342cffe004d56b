"""Test how soon a task runs whose start has no answer.

The pattern: a small share of all orders gets no answer, so that most wide
steps have a task whose start is lost.
"""

from builders.workers import ModelFleet, make_step

# A job meets its latency target if the task starts again within it.
_TARGET_S = 0.6
_STEP_S = 0.02


def test_lost_start_is_repeated_within_the_latency_target() -> None:
    """Start the task elsewhere before its job is late, and run it once.

    The worker answers polls meanwhile, and carries out no late order.
    """
    fleet = ModelFleet(2)
    fleet.run(4)
    fleet.starts_to_lose = 1
    fleet.submit('wide', make_step(1))
    submitted_s = fleet.now_s
    while len(fleet.started) < 2:
        fleet.run(_STEP_S, _STEP_S)
    assert fleet.now_s - submitted_s < _TARGET_S
    lost_worker, lost_order, _ = fleet.undelivered_orders[0]
    lost_worker.carry_out(lost_order, fleet.now_s)
    fleet.run(_STEP_S, _STEP_S)
    assert len(fleet.get_running_workers(lost_order.task)) == 1
