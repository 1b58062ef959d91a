"""Tests of the statistics of a load."""

from __future__ import annotations

import pytest

from bench.load_plan import CONNECTION_LOST
from bench.load_stats import Objective, compute_stats, latency_of
from marigoldwalk.errors import Code

from .outcomes import outcome

OBJECTIVE = Objective(deadline_s=0.35, min_coverage=0.8)


def test_only_answers_that_meet_the_objective_are_good() -> None:
    outcomes = [
        outcome(),
        outcome(latency_s=0.4),
        outcome(Code.PARTIAL, answered=45),
        outcome(Code.PARTIAL, answered=30),
        outcome(Code.OVERLOADED, answered=0),
    ]
    load_stats = compute_stats(outcomes, OBJECTIVE)
    assert (load_stats.sent, load_stats.ran, load_stats.good) == (5, 4, 2)
    assert load_stats.refused == {"overloaded": 1}


def test_coverage_counts_only_queries_that_ran() -> None:
    outcomes = [outcome(), outcome(Code.PARTIAL, answered=25), outcome(Code.OVERLOADED)]
    load_stats = compute_stats(outcomes, OBJECTIVE)
    assert load_stats.coverage_mean == pytest.approx(0.75)
    assert load_stats.coverage_p1 == pytest.approx(0.5)


def test_lost_connections_are_counted_separately() -> None:
    load_stats = compute_stats([outcome(CONNECTION_LOST), outcome()], OBJECTIVE)
    assert (load_stats.lost, load_stats.good, load_stats.refused) == (1, 1, {})


def test_no_outcomes_give_zero_good_answers() -> None:
    assert compute_stats([], OBJECTIVE).good == 0


def test_quantiles_are_in_milliseconds() -> None:
    latency = latency_of([outcome(latency_s=number / 1000) for number in range(1, 1001)])
    assert latency.p50_ms == pytest.approx(500, rel=0.01)
    assert latency.p99_ms == pytest.approx(990, rel=0.01)
