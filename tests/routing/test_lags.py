from __future__ import annotations

from marigoldwalk.routing.lags import SAMPLES, LagTracker


def test_a_single_late_timer_is_ignored():
    lags = LagTracker()
    for lag_s in [0.001] * SAMPLES + [0.04] + [0.001] * SAMPLES:
        lags.record(lag_s)
        assert lags.lag_s == 0.001


def test_a_repeated_lag_counts_from_the_second_answer_on():
    lags = LagTracker()
    for _ in range(SAMPLES):
        lags.record(0.001)
    lags.record(0.04)
    lags.record(0.03)
    assert lags.lag_s == 0.03


def test_a_single_lag_counts_if_there_is_no_other_sample():
    lags = LagTracker()
    lags.record(0.02)
    assert lags.lag_s == 0.02


def test_old_lags_are_forgotten():
    lags = LagTracker()
    for lag_s in [0.04] * SAMPLES + [0.0] * (SAMPLES - 1):
        lags.record(lag_s)
    assert lags.lag_s == 0.0
