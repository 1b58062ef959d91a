"""Tests of the retry and hedge budgets."""

from __future__ import annotations

import pytest

from marigoldwalk.core.tables import BudgetRow

from ..fleet import FleetDriver
from ..views import SERVICES


def test_each_first_attempt_adds_the_retry_ratio_to_the_budget() -> None:
    fleet = FleetDriver(daemons=3)
    fleet.run(2.0)
    for node in fleet.nodes.values():
        node.core.world.budgets["search"] = BudgetRow(retries=0.0, hedges=0.0)
    fleet.ask("m-1")
    fleet.run(1.0)
    budgets = [node.core.world.budgets["search"] for node in fleet.nodes.values()]
    assert sum(row.retries for row in budgets) == pytest.approx(
        SERVICES * fleet.parameters.retry_ratio
    )
