from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from marigoldwalk.routing.budgets import BudgetLimits, RetryBudget

LIMITS = BudgetLimits(ratio=0.2, window_s=10.0, slack=52.0)


@given(st.lists(st.tuples(st.floats(0, 0.4), st.booleans()), min_size=1, max_size=400))
def test_repeats_keep_within_the_budget_in_every_window(steps):
    budget = RetryBudget(LIMITS, started_at=-10.0)
    now = 0.0
    first, repeats = [], []
    for pause_s, wants_repeat in steps:
        now += pause_s
        if not wants_repeat:
            budget.record_first(now)
            first.append(now)
        elif budget.allows(share=1 / 6, now=now):
            budget.record_repeat(now)
            repeats.append(now)
        counted = sum(now - t < 10.0 for t in repeats)
        # The platform counts the first sends of the window or of one that is half a window earlier.
        allowed = 0.2 * sum(now - t < 15.0 for t in first) + 52 / 6
        assert counted <= allowed


def test_the_fleet_as_a_whole_keeps_within_the_budget():
    budgets = [RetryBudget(LIMITS, started_at=-10.0) for _ in range(6)]
    spent = 0
    for step in range(600):
        now = step / 60
        budget = budgets[step % 6]
        budget.record_first(now)
        while budget.allows(share=1 / 6, now=now):
            budget.record_repeat(now)
            spent += 1
    assert 0.75 * (0.2 * 600 + 52) <= spent <= 0.2 * 600 + 52


def test_a_newly_started_daemon_has_a_smaller_budget():
    fresh = RetryBudget(LIMITS, started_at=0.0)
    old = RetryBudget(LIMITS, started_at=-60.0)
    assert fresh.remaining(1 / 6, 0.0) < 0.6 * old.remaining(1 / 6, 0.0)


def test_a_repeat_outside_the_window_is_not_counted():
    budget = RetryBudget(LIMITS, started_at=-60.0)
    full = budget.remaining(1 / 6, 0.0)
    budget.record_repeat(0.0)
    assert budget.remaining(1 / 6, 5.0) == full - 1
    assert budget.remaining(1 / 6, 10.6) == full
