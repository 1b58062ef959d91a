"""Tests of a fleet that gets more work than its servers can do."""

from __future__ import annotations

from dataclasses import replace

import pytest

from marigoldwalk.errors import Code

from ..fleet import FleetDriver
from ..views import REPLICAS, SLOTS, make_view

SERVICE_S = 0.05
BURST = 90
WARM_UP = 20


def make_fleet() -> FleetDriver:
    """Return a fleet whose daemons have measured their servers' latency."""
    view = make_view()
    groups = tuple(replace(group, min_coverage=0.8) for group in view.groups)
    fleet = FleetDriver(daemons=3, view=replace(view, groups=groups))
    for server in fleet.servers.values():
        server.latency_s = SERVICE_S
    fleet.run(2.0)
    for _ in range(WARM_UP):
        fleet.ask("m-1")
        fleet.run(0.1)
    return fleet


@pytest.fixture
def overloaded() -> FleetDriver:
    """Return a fleet after a burst of far more queries than it can answer in time."""
    fleet = make_fleet()
    for number in range(BURST):
        fleet.ask(f"m-{number % 3 + 1}", body=f"burst {number}")
    fleet.run(0.4)
    return fleet


def test_every_shard_is_either_answered_or_missing(overloaded: FleetDriver) -> None:
    answers = [answer for answer in overloaded.answers.values() if answer.shard_count]
    assert len(overloaded.answers) == len(overloaded.asked)
    assert all(a.answered + len(a.missing) == a.shard_count for a in answers)


def test_work_that_would_miss_its_deadline_is_refused_before_it_is_sent(
    overloaded: FleetDriver,
) -> None:
    counters = [node.core.world.counters for node in overloaded.nodes.values()]
    assert sum(counter["query.hopeless"] for counter in counters) > 0
    assert sum(counter["retry.timeout"] for counter in counters) == 0
    assert sum(counter["cold.timeout"] for counter in counters) == 0


def test_fleet_answers_again_after_a_burst(overloaded: FleetDriver) -> None:
    overloaded.run(1.0)
    number = overloaded.ask("m-1")
    overloaded.run(0.4)
    assert overloaded.answers[number].code is Code.OK


def test_goodput_stays_near_the_capacity_at_four_times_the_load() -> None:
    fleet = make_fleet()
    capacity_qps = REPLICAS * SLOTS / SERVICE_S
    for number in range(int(4 * capacity_qps)):
        fleet.ask(f"m-{number % 3 + 1}", body=f"steady {number}")
        fleet.run(1 / (4 * capacity_qps))
    fleet.run(0.4)
    complete = [a for a in fleet.answers.values() if a.code is Code.OK]
    assert len(complete) - WARM_UP >= 0.8 * capacity_qps
