"""Goodput, refusals and priorities at loads from 0.3 to 4 times the capacity."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from functools import cache

import pytest

from marigoldwalk.errors import Code

from .fleet import FleetDriver, Network
from .views import SERVICES, SLOTS, make_view

DAEMONS = 6
LATENCY_S = 0.02
CAPACITY_PER_S = 2 * SLOTS / LATENCY_S
"""Queries per second that the servers can answer; each takes one slot of every service."""
REFUSED_WITHIN_S = 0.01
CANCEL_S = 0.005
"""Time for a cancellation to reach the homes, and for subrequests already sent to arrive."""
RECOVERY_S = 1.2
"""Time after the load has fallen for which queries may still be refused."""


@dataclass
class Load:
    """Open-loop callers that send queries of a high and a low priority."""

    fleet: FleetDriver
    numbers: list[int] = field(default_factory=list)

    def offer(self, ratio: float, seconds: float, high_ratio: float = 0.25) -> list[int]:
        """Send queries at *ratio* times the capacity and return their numbers."""
        numbers = []
        count = int(ratio * CAPACITY_PER_S * seconds)
        for turn in range(count):
            number = len(self.fleet.asked) + 1
            high = int(turn * high_ratio) != int((turn + 1) * high_ratio)
            group = "search" if high else "bulk"
            numbers.append(self.fleet.ask(f"m-{number % DAEMONS + 1}", group, f"text {number}"))
            self.fleet.run(seconds / count)
        return numbers

    def count_complete(self, numbers: list[int], group: str) -> tuple[int, int]:
        """Return how many queries of a group were fully answered, and how many were sent."""
        own = [number for number in numbers if self.fleet.asked[number][1].group == group]
        return sum(self.fleet.answers[number].code is Code.OK for number in own), len(own)

    def counters(self) -> Counter[str]:
        """Return the sum of all daemons' counters."""
        total: Counter[str] = Counter()
        for node in self.fleet.nodes.values():
            total.update(node.core.world.counters)
        return total


def start_load() -> Load:
    """Return a load on six daemons whose servers are warm."""
    fleet = FleetDriver(DAEMONS, view=make_view(), seed=3, network=Network(jitter_s=0.0005))
    fleet.log = deque(maxlen=0)
    for server in fleet.servers.values():
        server.latency_s = LATENCY_S
        server.spread_ratio = 0.3
    fleet.run(2.0)
    load = Load(fleet)
    load.offer(0.3, 2.0)
    return load


@cache
def run_level(ratio: float) -> tuple[Load, list[int], Counter[str]]:
    """Return a load after two seconds at *ratio*, its queries and the increase of the counters."""
    load = start_load()
    before = load.counters()
    numbers = load.offer(ratio, 2.0, high_ratio=0.25 / max(ratio, 1.0))
    load.fleet.run(0.5)
    added = load.counters()
    added.subtract(before)
    return load, numbers, added


def goodput(ratio: float) -> int:
    load, numbers, _ = run_level(ratio)
    return sum(load.count_complete(numbers, group)[0] for group in ("search", "bulk"))


def test_goodput_at_four_times_the_capacity_is_near_its_peak():
    assert goodput(4.0) >= 0.9 * max(goodput(ratio) for ratio in (0.3, 1.0, 2.0))


@pytest.mark.parametrize("ratio", [0.3, 1.0, 2.0, 4.0])
def test_every_query_of_the_highest_priority_succeeds(ratio):
    load, numbers, _ = run_level(ratio)
    complete, sent = load.count_complete(numbers, "search")
    assert complete == sent


@pytest.mark.parametrize("ratio", [2.0, 4.0])
def test_refusals_are_fast_and_carry_a_retry_delay(ratio):
    load, numbers, _ = run_level(ratio)
    answers = [load.fleet.answers[number] for number in numbers]
    refused = [answer for answer in answers if answer.code is Code.OVERLOADED]
    assert refused
    assert all(answer.retry_after_s > 0 for answer in refused)
    fast = [answer for answer in refused if answer.elapsed_s <= REFUSED_WITHIN_S]
    assert len(fast) >= 0.9 * len(refused)
    deadline_s = load.fleet.view.groups[0].deadline_ms / 1000
    assert all(answer.elapsed_s < deadline_s for answer in answers)


@pytest.mark.parametrize("ratio", [1.0, 4.0])
def test_retries_and_hedges_stay_within_their_budgets(ratio):
    load, numbers, added = run_level(ratio)
    sent = added["subrequest.first"] + added["subrequest.hedge"]
    parameters = load.fleet.parameters
    allowed_ratio = 1 + parameters.retry_ratio + parameters.hedge_ratio
    assert sent <= SERVICES * len(numbers) * allowed_ratio
    assert added["subrequest.hedge"] <= SERVICES * len(numbers) * parameters.hedge_ratio


def test_the_fleet_recovers_when_the_load_falls():
    load = start_load()
    load.offer(4.0, 2.0)
    load.offer(0.5, RECOVERY_S)
    numbers = load.offer(0.5, 1.5)
    load.fleet.run(0.5)
    assert load.count_complete(numbers, "bulk")[0] == load.count_complete(numbers, "bulk")[1]
    assert load.count_complete(numbers, "search")[0] == load.count_complete(numbers, "search")[1]


def test_nothing_is_sent_after_a_cancellation_or_a_deadline():
    load = start_load()
    fleet = load.fleet
    latest_start: dict[str, float] = {}
    for _ in range(200):
        numbers = load.offer(2.0, 0.01)
        for number in numbers:
            latest_start[f"text {number}"] = fleet.now + fleet.view.groups[0].deadline_ms / 1000
        if numbers[0] not in fleet.answers:
            fleet.cancel(numbers[0])
            latest_start[f"text {numbers[0]}"] = fleet.now + CANCEL_S
    fleet.run(1.0)
    late = [run for run in fleet.runs if run.at > latest_start.get(run.body, run.at)]
    assert not late
