"""Test what the estimates learn from the ends of runs."""

import sys
from random import Random

import pytest

from builders.durations import (
    DECLARED_MS,
    LEARNING,
    LearningRun,
    draw_ratios,
    make_learned_step,
)
from builders.workers import QUEUE, TEAM, make_catalog, make_step
from sardinemast.dispatch import LearningPolicy
from sardinemast.dispatch._durations import DurationEstimates
from sardinemast.jobs import SUMMARIES_MAX, JobRequest, JobState
from sardinemast.jobs._durations import DURATION_KEYS_MAX


@pytest.mark.parametrize('ratio', [0.1, 1.9])
def test_estimates_off_by_ninety_percent_converge(ratio: float) -> None:
    """Guard against estimates that stay near a wrong declaration."""
    run = LearningRun()
    run.learn(5, draw_ratios(ratio))
    assert run.get_ratio() == pytest.approx(ratio, rel=0.15)


def test_shift_shows_within_seconds() -> None:
    """Guard against a memory so long that a shift of the work is missed."""
    run = LearningRun()
    run.learn(60, draw_ratios(1))
    run.learn(5, draw_ratios(3))
    assert run.get_ratio() > 2
    run.learn(10, draw_ratios(3))
    assert run.get_ratio() == pytest.approx(3, rel=0.1)


def test_tails_show_in_quantiles_only() -> None:
    """Guard against means that hide tails, or that follow them."""
    run = LearningRun()
    run.learn(30, draw_ratios(1, tail_share=0.03))
    step = make_learned_step()
    estimates = run.estimates
    assert run.get_ratio() == pytest.approx(1.18, rel=0.2)
    assert estimates.get_quantile_ms(QUEUE, step, 0.5) < 1.2 * DECLARED_MS
    assert estimates.get_quantile_ms(QUEUE, step, 0.99) > 4 * DECLARED_MS


def test_unknown_keys_fall_back_smoothly() -> None:
    """Guard against jumps when a new image or step has its first ends."""
    run = LearningRun()
    assert run.get_ratio() == 1
    run.learn(30, draw_ratios(2))
    other_stage = make_learned_step(stage=2)
    other_image = make_learned_step('b')
    assert run.get_ratio(other_stage) == pytest.approx(2, rel=0.15)
    assert run.get_ratio(other_image) == pytest.approx(2, rel=0.15)
    run.learn(1 / 60, draw_ratios(9), other_image)
    assert run.get_ratio(other_image) < 3


def test_idle_queue_keeps_what_it_has_shown() -> None:
    """Guard against a queue that starts each of its peaks from nothing."""
    run = LearningRun()
    run.learn(10, draw_ratios(2))
    run.now_s += 600
    run.learn(1 / 60, draw_ratios(2))
    assert run.get_ratio() == pytest.approx(2, rel=0.15)


def test_random_images_take_bounded_memory() -> None:
    """Guard against growth with names that callers choose."""
    run = LearningRun()
    rng = Random(1)
    for _ in range(4 * DURATION_KEYS_MAX):
        image = f'image-{rng.random()}'
        run.learn(1 / 60, draw_ratios(2), make_learned_step(image))
    table = run.estimates._table
    assert len(table._histograms) == DURATION_KEYS_MAX
    assert len(run.estimates.take_changed(SUMMARIES_MAX)) == SUMMARIES_MAX
    # The key of the queue outlasts those of its images.
    assert run.get_ratio() == pytest.approx(2, rel=0.15)


def test_summary_restores_the_estimates() -> None:
    """Guard against a new leader that starts from nothing."""
    run = LearningRun()
    run.learn(30, draw_ratios(2, tail_share=0.03))
    successor = DurationEstimates(LearningPolicy(enabled=True))
    successor.start_term(run.estimates.take_changed(SUMMARIES_MAX))
    step = make_learned_step()
    for quantile in (0.5, 0.9, 0.99):
        assert successor.get_quantile_ms(QUEUE, step, quantile) == (
            run.estimates.get_quantile_ms(QUEUE, step, quantile)
        )
    assert successor.get_expected_ms(QUEUE, step) == pytest.approx(
        run.estimates.get_expected_ms(QUEUE, step), rel=0.01
    )


def test_failures_of_tasks_are_learned_apart_from_durations() -> None:
    """Guard against durations of failed runs, and failures not counted."""
    run = LearningRun()
    step = make_learned_step()
    run.learn(1, draw_ratios(2))
    before = run.get_ratio()
    for _ in range(20):
        run.estimates.record_failure(QUEUE, step, run.now_s)
    run.estimates.refresh(run.now_s + 1)
    assert run.get_ratio() == pytest.approx(before, rel=0.05)
    # A quarter of the runs, and later ones weigh slightly more.
    share = run.estimates.get_failure_share(QUEUE, step)
    assert 1 / 4 <= share < 1 / 3


def test_jobs_outside_the_log_have_their_own_paths() -> None:
    """Guard against a submitted job that is judged by another one's steps."""
    estimates = DurationEstimates(LEARNING)
    queue = make_catalog().queues[0]
    jobs = [
        JobState(
            f'job-{estimate_ms}',
            queue,
            TEAM,
            JobRequest('', (make_step(estimate_ms=estimate_ms),)),
            sys.maxsize,
            0,
        )
        for estimate_ms in (500, 3000)
    ]
    expected_ms = [estimates.get_remaining_ms(job, 0) for job in jobs]
    assert expected_ms == [500, 3000]


def test_deadlines_follow_stable_durations_only() -> None:
    """Guard against deadlines that move with the first few ends."""
    queue = make_catalog().queues[0]
    steps = (make_learned_step(), make_learned_step(stage=1))
    job = JobState('job', queue, '', JobRequest('', steps), 1, 0)
    run = LearningRun()
    for seconds, total_ms in ((0.5, 1000), (2, 2000)):
        for step in steps:
            run.learn(seconds, draw_ratios(2), step)
        total = run.estimates.get_total_ms(job)
        assert total == pytest.approx(total_ms, rel=0.1)
    run = LearningRun(LEARNING._replace(deadline_ends=0))
    run.learn(2, draw_ratios(2))
    assert run.estimates.get_total_ms(job) == 1000
    assert run.estimates.get_remaining_ms(job, 0) > 1500
