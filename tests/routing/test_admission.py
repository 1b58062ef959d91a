"""Load pattern: callers offer more than the servers can run."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldwalk.errors import RefusalReason
from marigoldwalk.routing.admission import (
    INITIAL_LIMIT,
    MIN_LIMIT,
    ConcurrencyLimit,
    UsualDeadline,
    retry_delay_s,
)
from marigoldwalk.routing.exchanges import CallerRequest

from .load import SHARDS, BusyServer, Load
from .simulation import fan_out_route, single_route

CAPACITY_PER_S = 133


def run_burst(factor, seconds=6.0, seed=1, **options):
    load = Load(seed=seed, **options)
    ids = load.offer(factor * CAPACITY_PER_S, seconds)
    load.simulation.run(seconds + 3.0)
    return load, ids


def test_everything_is_admitted_below_the_capacity():
    load, ids = run_burst(0.6)
    assert load.refused(ids) == []
    assert len(load.in_time(ids)) >= 0.99 * len(ids)


@pytest.mark.parametrize("factor", [1.5, 3.0, 6.0])
def test_answers_in_time_do_not_collapse_in_an_overload(factor):
    load, ids = run_burst(factor)
    assert len(load.in_time(ids)) >= 0.8 * CAPACITY_PER_S * 6.0 * 0.9
    assert len(load.failed(ids)) <= 0.02 * len(ids)
    assert load.shed_share < 0.05


def test_a_refused_query_reaches_no_server_and_is_refused_at_once():
    load, ids = run_burst(4.0)
    simulation = load.simulation
    refused = set(load.refused(ids))
    assert refused
    assert not refused & {request_id for _, _, request_id in simulation.sent}
    assert {simulation.answers[name].reason for name in refused} == {RefusalReason.OVERLOADED}
    waits = [simulation.answered_at[name] - simulation.requested_at[name] for name in refused]
    assert max(waits) == 0.0


def test_the_load_after_a_burst_is_served_within_a_second():
    load = Load()
    load.offer(5 * CAPACITY_PER_S, 5.0)
    load.simulation.run(6.0)
    ids = load.offer(0.5 * CAPACITY_PER_S, 3.0)
    load.simulation.run(5.0)
    assert len(load.in_time(ids)) >= 0.97 * len(ids)


def test_the_most_urgent_kind_is_served_first_and_the_other_one_not_starved():
    routes = [
        fan_out_route(SHARDS, 0.85, target_s=0.18, priority=1),
        fan_out_route(SHARDS, 0.85, target_s=0.18, priority=2, name="r-low", prefix="/low/"),
    ]
    load = Load(routes)
    urgent = load.offer(0.7 * CAPACITY_PER_S, 6.0)
    other = load.offer(1.4 * CAPACITY_PER_S, 6.0, "/low/1")
    load.simulation.run(9.0)
    urgent_share = len(load.in_time(urgent)) / len(urgent)
    other_share = len(load.in_time(other)) / len(other)
    assert urgent_share > 1.2 * other_share
    assert other_share > 0.25 * urgent_share


def test_slow_servers_of_a_few_shards_refuse_nobody():
    load = Load()
    for name in ("s-0-a", "s-0-b"):
        load.servers[name]._work_s = 0.3
    ids = load.offer(0.3 * CAPACITY_PER_S, 5.0)
    load.simulation.run(8.0)
    assert load.refused(ids) == []


@settings(max_examples=60, deadline=None)
@given(st.lists(st.floats(0.0, 20.0), min_size=1, max_size=400), st.integers(0, 80))
def test_the_limit_stays_within_its_bounds(ratios, open_count):
    limit = ConcurrencyLimit()
    for _ in range(open_count):
        limit.record_start()
    for number, ratio in enumerate(ratios):
        limit.admits(1, is_returning=False)
        limit.record_wait(ratio, number * 0.01)
        assert MIN_LIMIT <= limit.limit <= INITIAL_LIMIT


@settings(max_examples=60, deadline=None)
@given(st.floats(1.0, 64.0), st.integers(0, 64), st.integers(1, 3))
def test_what_a_low_priority_is_admitted_a_higher_one_is_too(value, open_count, gap):
    low, high = ConcurrencyLimit(limit=value), ConcurrencyLimit(limit=value)
    for limit in (low, high):
        limit.admits(1, is_returning=False)
        limit.admits(1 + gap, is_returning=False)
        limit.open_count = open_count
    if low.admits(1 + gap, is_returning=False):
        assert high.admits(1, is_returning=False)


def test_an_idle_daemon_always_admits_something():
    limit = ConcurrencyLimit(limit=MIN_LIMIT)
    assert limit.admits(9, is_returning=False)


def test_a_caller_that_comes_back_is_admitted_before_a_new_one():
    limit = ConcurrencyLimit(limit=10.0, open_count=9)
    assert not limit.admits(1, is_returning=False)
    assert limit.admits(1, is_returning=True)


def test_a_caller_has_come_back_if_it_waits_less_long_than_others():
    usual = UsualDeadline()
    assert not usual.is_shorter(0.4)
    for _ in range(40):
        usual.record(1.5)
    assert usual.is_shorter(1.3)
    assert not usual.is_shorter(1.5)
    # A caller that repeats its request at once is not preferred.
    assert not usual.is_shorter(1.49)


def test_the_delay_of_a_refused_caller_grows_spreads_and_stays_within_its_deadline():
    def delays(refused_share, wait_s):
        requests = [CallerRequest(f"q-{n}", "GET", "h", "/", 0.0, wait_s) for n in range(100)]
        return [retry_delay_s(refused_share, request, 0.0) for request in requests]

    mild, heavy = delays(0.1, 9.0), delays(0.8, 9.0)
    assert sum(heavy) > 3 * sum(mild)
    assert len(set(mild)) > 50
    assert max(mild) < 0.2
    assert max(delays(0.9, 0.6)) <= 0.2


def test_single_requests_are_admitted_up_to_the_capacity_of_their_service():
    # Two servers of three slots run 20 requests a second; 0.75 of that is no overload.
    servers = BusyServer(0.3, slots=3), BusyServer(0.3, slots=3)
    scripts = {f"i-{n}": ("s-1", "north", busy.answer) for n, busy in enumerate(servers)}
    load = Load([single_route(target_s=0.9, timeout_s=6.0)], scripts=scripts)
    ids = load.offer(15.0, 20.0, "/one/1", 6.0)
    load.simulation.run(26.0)
    assert load.refused(ids) == []


def test_a_limit_recovers_although_too_few_requests_come_to_fill_a_window():
    limit = ConcurrencyLimit(limit=MIN_LIMIT)
    for number in range(100):
        limit.record_wait(0.4, number * 0.2)
    assert limit.limit > 10.0


def test_a_limit_does_not_grow_in_an_overload_of_few_slow_requests():
    limit = ConcurrencyLimit()
    limit.record_wait(3.0, 0.0)
    limit.limit = 5.0
    for number in range(1, 100):
        limit.record_wait(3.0, number * 0.2)
    assert limit.limit <= 5.0


def test_two_slow_queries_over_many_shards_refuse_nobody():
    # A delegate of a large fleet runs few queries at a time, each over many shards.
    limit = ConcurrencyLimit()
    now = 0.0
    for _ in range(2):
        limit.admits(1, is_returning=False)
        limit.record_start()
        for _ in range(90):
            now += 0.003
            limit.record_wait(1.8, now)
        limit.record_end()
    assert limit.limit == INITIAL_LIMIT


def test_open_exchanges_of_a_lower_priority_that_yield_do_not_take_the_places_of_urgent_ones():
    limit = ConcurrencyLimit(limit=10.0)
    for _ in range(10):
        limit.admits(1, is_returning=False)
        limit.record_start(1)
    assert not limit.admits(0, is_returning=False)
    assert limit.admits(0, is_returning=False, yielding={1})
    limit.record_start(0)
    assert not limit.admits(1, is_returning=True, yielding={1})


def test_a_starved_priority_keeps_a_part_of_the_limit():
    limit = ConcurrencyLimit(limit=4.0)
    admitted = {0: 0, 1: 0}
    is_open = []
    for number in range(400):
        priority = number % 2
        if limit.admits(priority, is_returning=False, yielding={1}):
            limit.record_start(priority)
            admitted[priority] += 1
            is_open.append(priority)
        if number % 8 == 7 and is_open:
            limit.record_end(is_open.pop(0))
    assert admitted[0] > admitted[1] > 0.25 * admitted[0]
