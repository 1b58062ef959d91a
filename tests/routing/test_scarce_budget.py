"""Load pattern: the servers of many shards refuse part of their requests at random."""

from __future__ import annotations

import random

import pytest

from marigoldwalk.routing.budgets import RetryBudget
from marigoldwalk.routing.exchanges import MergedAnswer

from .simulation import SHED, Simulation, gather_route, part

SHARDS = [f"s-{n}" for n in range(20)]
REFUSING = SHARDS[:5]
"""Shards of which both servers refuse; more than a query may leave out."""


def refuse_often(seed):
    draw = random.Random(seed)
    return lambda now: (0.001, SHED) if draw.random() < 0.5 else (0.02, part())


def replay(queries=600, per_s=35.0):
    servers = {}
    for number, shard in enumerate(SHARDS):
        for domain in ("north", "south"):
            answer = refuse_often(f"{number}{domain}") if shard in REFUSING else (0.02, part())
            servers[f"{shard}-{domain}"] = (shard, domain, answer)
    simulation = Simulation([gather_route(SHARDS, 0.89, target_s=0.12)], servers)
    for number in range(queries):
        simulation.ask("/all/1", f"q-{number}", wait_s=1.5)
        simulation.run(1 / per_s)
    simulation.run(2.0)
    return simulation


def in_time(simulation):
    """Return how many queries were answered with their least coverage within the target."""
    return sum(
        isinstance(answer, MergedAnswer)
        and simulation.answered_at[request] <= simulation.asked_at[request] + 0.12
        for request, answer in simulation.answers.items()
    )


@pytest.fixture(scope="module")
def simulation():
    return replay()


def test_what_is_left_of_a_budget_goes_to_queries_that_it_decides(simulation, monkeypatch):
    monkeypatch.setattr(RetryBudget, "is_scarce", lambda *_: False)
    spent_as_it_comes = replay()
    assert in_time(simulation) >= 1.25 * in_time(spent_as_it_comes)


def test_no_service_gets_more_repeats_than_its_budget(simulation):
    for shard in REFUSING:
        arrivals = sorted(
            time for time, server, _ in simulation.sent if server.startswith(f"{shard}-")
        )
        for start in arrivals:
            inside = sum(start <= time < start + 10 for time in arrivals)
            asked = 35.0 * 10
            assert inside - asked <= 0.2 * 35.0 * 15 + 52
