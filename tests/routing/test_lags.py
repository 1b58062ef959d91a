from __future__ import annotations

from marigoldwalk.routing.lags import SAMPLES, LagTracker


def test_one_late_timer_is_passed_over():
    lags = LagTracker()
    for lag_s in [0.001] * SAMPLES + [0.04] + [0.001] * SAMPLES:
        lags.note(lag_s)
        assert lags.lag_s == 0.001


def test_lags_that_last_count_from_the_second_one():
    lags = LagTracker()
    for _ in range(SAMPLES):
        lags.note(0.001)
    lags.note(0.04)
    lags.note(0.03)
    assert lags.lag_s == 0.03


def test_the_first_lag_of_a_daemon_counts_alone():
    lags = LagTracker()
    lags.note(0.02)
    assert lags.lag_s == 0.02


def test_lags_that_have_passed_are_forgotten():
    lags = LagTracker()
    for lag_s in [0.04] * SAMPLES + [0.0] * (SAMPLES - 1):
        lags.note(lag_s)
    assert lags.lag_s == 0.0
