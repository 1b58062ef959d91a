"""Load pattern: a burst of urgent and of longer, less urgent queries over the same shards."""

from __future__ import annotations

import logging

from marigoldwalk.routing.exchanges import CallerRequest, Exchange
from marigoldwalk.routing.slot_reserve import PRESENT_S, SlotReserve, yields

from .shared_shards import LONG, SHARDS, URGENT, SharedShards
from .simulation import HOST, Simulation, fan_out_route


def exchange(route, name="q"):
    request = CallerRequest(name, "GET", HOST, f"{route.prefix}1", 0.0, 9.0)
    return Exchange(request, route, 1, 5.0, 9.0)


def delayed(world, route):
    """Record tasks of *route* that have taken most of its target."""
    for _ in range(100):
        world.latencies(route).record(0.014)
    for _ in range(256):
        world.latencies(route).record(0.6 * route.target_s)


def test_urgent_queries_do_not_wait_behind_longer_ones_in_a_burst():
    fleet = SharedShards()
    fleet.offer({URGENT: 36, LONG: 108}, for_s=4.0)
    assert fleet.share_in_time(URGENT) >= 0.98
    assert fleet.share_in_time(LONG) >= 0.9
    assert fleet.count("wait.reserved") > 0


def test_urgent_queries_are_served_first_when_the_servers_cannot_run_all():
    fleet = SharedShards()
    fleet.offer({URGENT: 48, LONG: 144}, for_s=4.0)
    assert fleet.share_in_time(URGENT) >= 0.9
    assert fleet.refused_share(URGENT) <= 0.02
    # The less urgent ones still get the rest of the slots.
    assert fleet.share_in_time(LONG) >= 0.6


def test_the_usual_load_is_sent_as_without_a_reserve():
    fleet = SharedShards()
    fleet.offer({URGENT: 6, LONG: 18}, for_s=4.0)
    assert fleet.count("wait.reserved") == 0
    assert fleet.share_in_time(LONG) == fleet.share_in_time(URGENT) == 1.0


def test_less_urgent_queries_alone_use_all_slots():
    fleet = SharedShards()
    fleet.offer({LONG: 120}, for_s=4.0)
    assert fleet.count("reserve.begun") == fleet.count("wait.reserved") == 0


def test_slots_are_left_while_delayed_urgent_queries_come():
    world = Simulation([URGENT, LONG], {}).world
    world.slot_reserve.record(exchange(URGENT), world.now)
    assert not yields(world, exchange(LONG))
    delayed(world, URGENT)
    assert yields(world, exchange(LONG))
    assert not yields(world, exchange(URGENT))
    world.now += PRESENT_S + 0.1
    assert not yields(world, exchange(LONG))


def test_short_tasks_and_other_shards_do_not_leave_slots():
    short = fan_out_route(SHARDS, name="r-short", prefix="/short/", priority=1, target_s=0.06)
    elsewhere = fan_out_route(["t-1"], name="r-else", prefix="/else/", priority=1, target_s=0.348)
    world = Simulation([URGENT, short, elsewhere], {}).world
    world.slot_reserve.record(exchange(URGENT), world.now)
    delayed(world, URGENT)
    assert not yields(world, exchange(short))
    assert not yields(world, exchange(elsewhere))


def test_only_more_urgent_routes_of_the_same_services_count():
    reserve = SlotReserve()
    for route in (URGENT, LONG):
        reserve.record(exchange(route), 1.0)
    assert reserve.more_urgent(exchange(LONG), 1.5) == [URGENT]
    assert reserve.more_urgent(exchange(URGENT), 1.5) == []


def test_the_begin_and_the_end_are_logged_once(caplog):
    caplog.set_level(logging.INFO)
    servers = {shard: (shard, "north") for shard in SHARDS}
    simulation = Simulation([URGENT, LONG], servers)
    simulation.ask("/urgent/1", "u-1")
    delayed(simulation.world, URGENT)
    for number in range(3):
        simulation.ask("/long/1", f"l-{number}")
    simulation.run(PRESENT_S + 0.5)
    simulation.ask("/long/1", "l-9")
    messages = [r.message for r in caplog.records if r.name.endswith("slot_reserve")]
    assert messages == ["slots are left to urgent queries", "all slots are used again"]
    assert simulation.world.counters["reserve.begun"] == 1


def test_services_of_earlier_sets_of_shards_are_forgotten():
    reserve = SlotReserve()
    for number in range(50):
        route = fan_out_route([f"s-{number}", "s-0"])
        reserve.record(exchange(route), PRESENT_S * 2 * number)
    assert len(reserve._presences) == 1
