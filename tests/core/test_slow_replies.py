"""Latency and extra subrequests of queries over all shards, with stragglers or a lost replica."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from functools import cache

import pytest

from marigoldwalk.errors import Code

from .fleet import FleetDriver, Network
from .views import make_view

NAMES = [f"m-{number}" for number in range(1, 10)]
SHARDS = 50
LATENCY_S = 0.01
GAP_S = 0.01
WARM_UP_COUNT = 60
QUERIES_COUNT = 250


@dataclass(frozen=True)
class Result:
    """The measurements of a run of queries over all shards."""

    p99_s: float
    codes: frozenset[Code]
    answered: int
    """The smallest number of shards in an answer."""
    extra_ratio: float
    """Extra subrequests, relative to one for each shard."""


def run(
    slow_ratio: float = 0.0,
    *,
    slow_server: str = "",
    lost_server: str = "",
    count: int = QUERIES_COUNT,
) -> Result:
    """Send queries one after another to nine daemons in turn."""
    view = make_view(services=SHARDS)
    fleet = FleetDriver(9, view=view, seed=1, network=Network(jitter_s=0.0005))
    fleet.log = deque(maxlen=0)
    for server in fleet.servers.values():
        server.latency_s = LATENCY_S
        server.spread_ratio = 0.5
        server.slow_ratio = slow_ratio
    fleet.run(3.0)
    if slow_server:
        fleet.servers[slow_server].latency_s = 10 * LATENCY_S
    _ask(fleet, WARM_UP_COUNT)
    if lost_server:
        fleet.crash_server(lost_server, restart_s=1000.0)
    before = _sent(fleet)
    numbers = _ask(fleet, count)
    answers = [fleet.answers[number] for number in numbers]
    latencies_s = sorted(answer.elapsed_s for answer in answers)
    return Result(
        p99_s=latencies_s[int(len(latencies_s) * 0.99)],
        codes=frozenset(answer.code for answer in answers),
        answered=min(answer.answered for answer in answers),
        extra_ratio=(_sent(fleet) - before) / (SHARDS * count) - 1.0,
    )


def _ask(fleet: FleetDriver, count: int) -> list[int]:
    numbers = []
    for _ in range(count):
        number = len(fleet.asked)
        numbers.append(fleet.ask(NAMES[number % 9], body=f"text {number}"))
        fleet.run(GAP_S)
    fleet.run(0.5)
    return numbers


def _sent(fleet: FleetDriver) -> int:
    counters: Counter[str] = Counter()
    for node in fleet.nodes.values():
        counters.update(node.core.world.counters)
    return counters["subrequest.first"] + counters["subrequest.hedge"]


@cache
def baseline() -> Result:
    """Return the result without stragglers."""
    return run()


def test_p99_stays_near_the_baseline_when_one_reply_in_a_hundred_is_ten_times_slower():
    result = run(0.01)
    assert result.codes == {Code.OK}
    assert result.p99_s <= 1.5 * baseline().p99_s
    assert result.extra_ratio < 0.05


@pytest.mark.parametrize("fault", [{"slow_server": "s-3-0"}, {"lost_server": "s-3-0"}])
def test_p99_stays_near_the_baseline_with_one_server_always_slow_or_lost(fault):
    result = run(count=100, **fault)
    assert result.codes == {Code.OK}
    assert result.p99_s <= 1.5 * baseline().p99_s
    assert result.extra_ratio < 0.05


@pytest.mark.parametrize(
    ("coverage", "answer_s"), [("wait", 0.34), ("diminishing", 0.24)], ids=["wait", "diminishing"]
)
def test_the_coverage_policy_limits_the_wait_for_a_stuck_shard(coverage, answer_s):
    fleet = FleetDriver(3, view=make_view(coverage=coverage))
    fleet.run(3.0)
    for name in ("s-1-0", "s-1-1"):
        fleet.servers[name].latency_s = 10.0
    number = fleet.ask("m-1")
    fleet.run(1.0)
    answer = fleet.answers[number]
    assert answer.answered == answer.shard_count - 1
    assert answer.elapsed_s == pytest.approx(answer_s, abs=0.01)
