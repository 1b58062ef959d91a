"""Load pattern: servers in need name how many requests a second they take from all daemons."""

from __future__ import annotations

import pytest

from marigoldwalk.errors import RefusalReason
from marigoldwalk.routing.exchanges import ErrorAnswer, ForwardedAnswer

from .limited_fleet import LimitedServer, limited_fleet, offer
from .simulation import fan_out_route, registration, routing_config, single_route


def service(limits, service_name="s-1", work_s=0.03):
    return [
        LimitedServer(
            f"{service_name}-{n}", service_name, ("north", "centre", "south")[n % 3], limit, work_s
        )
        for n, limit in enumerate(limits)
    ]


SCENES = {
    # Number of daemons, limit of each server (None: it names none), requests a second.
    "one_of_two_replicas": (6, [15.7, None], 45.0),
    "both_replicas": (6, [14.0, 14.0], 45.0),
    "nine_daemons": (9, [10.2, None], 45.0),
    "less_than_one_request_per_daemon": (6, [1.0, 1.2, 1.1, None, None, None, None], 11.0),
    "every_server_of_a_service": (9, [1.0, 1.0, 1.0], 11.0),
    "large_fleet": (66, [1.0, 1.0, 30.0], 60.0),
    "high_limit": (3, [100.0, None], 300.0),
}


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("scene", SCENES)
def test_server_gets_no_more_than_the_limit_that_it_names(scene, seed):
    daemon_count, limits, per_s = SCENES[scene]
    servers = service([[(1.0, limit)] for limit in limits])
    fleet = limited_fleet(single_route(), servers, daemon_count, seed)
    offer(fleet, per_s, 25.0)
    limited = [server for server in servers if server.limits[0][1] is not None]
    assert [server.server_id for server in limited if server.excess() > 0] == []


@pytest.mark.parametrize("limits", [[10.0, 10.0], [2.0, 2.0], [1.0]])
def test_limited_servers_get_most_of_what_they_take(limits):
    servers = service([[(0.0, limit)] for limit in limits])
    fleet = limited_fleet(single_route(), servers, 6)
    offer(fleet, 45.0, 40.0)
    for server, limit in zip(servers, limits, strict=True):
        assert server.rate(10.0, 40.0) == pytest.approx(limit, rel=0.15)


def test_limits_that_change_are_kept():
    changes = [(1.0, 15.0), (10.0, 1.0), (20.0, 8.0)]
    servers = service([changes, []])
    fleet = limited_fleet(single_route(), servers, 6)
    offer(fleet, 45.0, 40.0)
    assert servers[0].excess() <= 0
    assert servers[0].rate(30.0, 40.0) > 4.0


def test_server_gets_its_usual_share_once_its_replies_name_no_limit():
    servers = service([[(1.0, 2.0), (10.0, None)], []])
    fleet = limited_fleet(single_route(), servers, 6)
    offer(fleet, 40.0, 30.0)
    assert servers[0].rate(5.0, 10.0) <= 3.0
    assert servers[0].rate(20.0, 30.0) > 12.0
    users = [daemon for daemon in fleet.daemons if daemon.world.domain == servers[0].domain]
    assert [d.world.catalog.rows["s-1-0"].rate_limit for d in users] == [None, None]


def test_daemon_that_starts_while_a_limit_is_in_force_keeps_to_its_share():
    servers = service([[(1.0, 3.0)], [(1.0, 3.0)]])
    fleet = limited_fleet(single_route(), servers, 6)
    late, fleet.daemons = fleet.daemons[5], fleet.daemons[:5]
    offer(fleet, 30.0, 15.0)
    late.run(fleet.now - late.now)
    fleet.daemons.append(late)
    offer(fleet, 30.0, 20.0)
    assert [server.excess() for server in servers if server.excess() > 0] == []


class PausingServer(LimitedServer):
    """A server that takes much longer for each fifth request."""

    def answer(self, daemon, attempt):
        delay_s, reply = super().answer(daemon, attempt)
        return (0.5 if len(self.arrivals) % 5 == 0 else delay_s), reply


def test_hedges_to_a_limited_server_count_against_its_limit():
    limited = service([[(0.0, 5.0)]])[0]
    pausing = PausingServer("s-1-1", "s-1", "centre", [])
    fleet = limited_fleet(single_route(target_s=0.3), [limited, pausing], 3)
    offer(fleet, 20.0, 30.0)
    assert limited.excess() <= 0
    assert sum(daemon.world.counters["hedge.sent"] for daemon in fleet.daemons) > 0
    # The limited server had no request left, and the other one has the request already.
    assert sum(daemon.world.counters["hedge.all_tried"] for daemon in fleet.daemons) > 0


def shards(limit):
    return [server for n in range(8) for server in service([limit, limit], f"s-{n}")]


def test_query_is_refused_at_once_and_as_a_whole_if_too_many_shards_have_had_what_they_take():
    servers = shards([(0.0, 4.0)])
    route = fan_out_route([f"s-{n}" for n in range(8)], 0.9, prefix="/one/")
    fleet = limited_fleet(route, servers, 6)
    offer(fleet, 30.0, 20.0)
    answers = [
        (daemon.answered_at[name] - daemon.requested_at[name], answer)
        for daemon in fleet.daemons
        for name, answer in daemon.answers.items()
    ]
    refusals = [(after, a) for after, a in answers if isinstance(a, ErrorAnswer)]
    assert {(a.status, a.reason) for _, a in refusals} == {(503, RefusalReason.SERVERS_LIMITED)}
    assert max(after for after, _ in refusals) <= 0.001
    assert min(a.retry_after_s for _, a in refusals) >= 0.1
    served = len(answers) - len(refusals)
    # Each shard takes eight requests a second.
    assert served >= 0.7 * 8.0 * 20.0
    sent = sum(len(server.arrivals) for server in servers)
    assert sent <= 8 * served * 1.02


def test_urgent_requests_are_refused_less_often_while_limits_bind():
    servers = service([[(0.0, 6.0)], [(0.0, 6.0)]])
    urgent = single_route(name="r-0", prefix="/urgent/", priority=0)
    fleet = limited_fleet(single_route(priority=2), servers, 3)
    for daemon in fleet.daemons:
        config = routing_config([urgent, single_route(priority=2)], ["s-1"], version=2)
        daemon.world.catalog.apply_config(config)
    for number in range(30):
        offer(fleet, 20.0, 0.5, "/one/1", f"plain-{number}")
        offer(fleet, 20.0, 0.5, "/urgent/1", f"urgent-{number}")
    assert served_share(fleet, "urgent") > 1.5 * served_share(fleet, "plain") > 0.1


def served_share(fleet, prefix):
    answers = [
        answer
        for daemon in fleet.daemons
        for name, answer in daemon.answers.items()
        if name.startswith(prefix)
    ]
    return sum(isinstance(a, ForwardedAnswer) for a in answers) / len(answers)


def test_limit_outlasts_a_lapsed_registration_but_not_another_incarnation():
    servers = service([[(0.0, 3.0)]])
    fleet = limited_fleet(single_route(), servers, 1)
    offer(fleet, 10.0, 5.0)
    catalog = fleet.daemons[0].world.catalog
    catalog.remove("s-1-0")
    catalog.apply_registration(servers[0].record(), fleet.now)
    assert catalog.rows["s-1-0"].rate_limit.per_s == 3.0
    catalog.apply_registration(registration("s-1-0", started_at_ms=2000), fleet.now)
    assert catalog.rows["s-1-0"].rate_limit is None


def test_limit_of_zero_lets_a_request_through_now_and_then():
    servers = service([[(0.0, 0.0), (30.0, None)]])
    fleet = limited_fleet(single_route(), servers, 3)
    offer(fleet, 10.0, 30.0)
    assert servers[0].excess() <= 0
    offer(fleet, 10.0, 60.0)
    assert servers[0].rate(80.0, 90.0) > 5.0
