"""Retry and hedge budgets: each group earns a ratio of its first attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..tables import BudgetRow

if TYPE_CHECKING:
    from ..world import World


def _budget(world: World, group: str) -> BudgetRow:
    budget = world.budgets.get(group)
    if budget is None:
        burst = world.parameters.budget_burst_count
        budget = world.budgets[group] = BudgetRow(retries=burst, hedges=burst)
    return budget


def credit(world: World, group: str, first_attempts: int = 1) -> None:
    """Add to a group's budgets what *first_attempts* earn."""
    budget = _budget(world, group)
    parameters = world.parameters
    burst = parameters.budget_burst_count
    budget.retries = min(budget.retries + first_attempts * parameters.retry_ratio, burst)
    budget.hedges = min(budget.hedges + first_attempts * parameters.hedge_ratio, burst)


def spend_retry(world: World, group: str) -> bool:
    """Take one retry from a group's budget, if it has one left."""
    budget = _budget(world, group)
    if budget.retries < 1.0:
        world.count("retry.budget_empty")
        return False
    budget.retries -= 1.0
    return True


def spend_hedge(world: World, group: str) -> bool:
    """Take one hedge from a group's budget, if it has one left."""
    budget = _budget(world, group)
    if budget.hedges < 1.0:
        world.count("hedge.budget_empty")
        return False
    budget.hedges -= 1.0
    return True
