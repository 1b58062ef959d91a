"""Load pattern: the servers of many shards shed part of their requests at random."""

from __future__ import annotations

import random

import pytest

from marigoldwalk.routing.budgets import RetryBudget
from marigoldwalk.routing.exchanges import MergedAnswer

from .simulation import SHED, Simulation, fan_out_route, server_reply

SHARDS = [f"s-{n}" for n in range(20)]
SHEDDING = SHARDS[:5]
"""Shards of which both servers shed requests; more than a query may leave out."""


def shed_often(seed):
    draw = random.Random(seed)
    return lambda now: (0.001, SHED) if draw.random() < 0.5 else (0.02, server_reply())


def run_queries(queries=600, per_s=35.0):
    servers = {}
    for number, shard in enumerate(SHARDS):
        for domain in ("north", "south"):
            answer = (
                shed_often(f"{number}{domain}") if shard in SHEDDING else (0.02, server_reply())
            )
            servers[f"{shard}-{domain}"] = (shard, domain, answer)
    simulation = Simulation([fan_out_route(SHARDS, 0.89, target_s=0.12)], servers)
    for number in range(queries):
        simulation.ask("/all/1", f"q-{number}", wait_s=1.5)
        simulation.run(1 / per_s)
    simulation.run(2.0)
    return simulation


def count_in_time(simulation):
    """Return how many queries were answered with the minimum coverage within the target."""
    return sum(
        isinstance(answer, MergedAnswer)
        and simulation.answered_at[request] <= simulation.requested_at[request] + 0.12
        for request, answer in simulation.answers.items()
    )


@pytest.fixture(scope="module")
def simulation():
    return run_queries()


def test_the_reserved_budget_lets_more_queries_reach_their_coverage_in_time(
    simulation, monkeypatch
):
    monkeypatch.setattr(RetryBudget, "is_scarce", lambda *_: False)
    without_reserve = run_queries()
    assert count_in_time(simulation) >= 1.25 * count_in_time(without_reserve)


def test_no_service_gets_more_repeats_than_its_budget(simulation):
    for shard in SHEDDING:
        arrivals = sorted(
            time for time, server, _ in simulation.sent if server.startswith(f"{shard}-")
        )
        for start in arrivals:
            inside = sum(start <= time < start + 10 for time in arrivals)
            first_sends = 35.0 * 10
            assert inside - first_sends <= 0.2 * 35.0 * 15 + 52
