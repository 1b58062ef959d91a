from __future__ import annotations

from marigoldwalk.routing.answer_lag import SAMPLES, AnswerLagTracker


def test_a_single_late_timer_is_ignored():
    tracker = AnswerLagTracker()
    for lag_s in [0.001] * SAMPLES + [0.04] + [0.001] * SAMPLES:
        tracker.record(lag_s)
        assert tracker.lag_s == 0.001


def test_a_repeated_lag_counts_from_the_second_answer_on():
    tracker = AnswerLagTracker()
    for _ in range(SAMPLES):
        tracker.record(0.001)
    tracker.record(0.04)
    tracker.record(0.03)
    assert tracker.lag_s == 0.03


def test_a_single_lag_counts_if_there_is_no_other_sample():
    tracker = AnswerLagTracker()
    tracker.record(0.02)
    assert tracker.lag_s == 0.02


def test_old_lags_are_forgotten():
    tracker = AnswerLagTracker()
    for lag_s in [0.04] * SAMPLES + [0.0] * (SAMPLES - 1):
        tracker.record(lag_s)
    assert tracker.lag_s == 0.0
