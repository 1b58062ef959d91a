from __future__ import annotations

import random

import pytest

from marigoldwalk.routing.cold import ColdRateLimiter
from marigoldwalk.routing.model import Service
from marigoldwalk.routing.tables import ServerRow
from marigoldwalk.routing.world import RoutingLimits

from .simulation import registration

SERVICE = Service("s-1", 25, 3.0, cold_per_s=10.0)
LIMIT = 10.0 * 1.5 + 5.0


def cold_row():
    return ServerRow(registration("a"), cold_until=100.0)


@pytest.mark.parametrize("members", [1, 6, 9])
def test_the_fleet_keeps_within_the_limit_in_every_second(members):
    draw = random.Random(members)
    row = cold_row()
    daemons = [ColdRateLimiter(RoutingLimits()) for _ in range(members)]
    sent = []
    now = 0.0
    while now < 10.0:
        now += draw.random() * 0.005
        daemon = draw.choice(daemons)
        if daemon.allows(row, SERVICE, 1 / members, now):
            daemon.record(row, now)
            sent.append(now)
    assert len(sent) >= 10 * members
    for start in sent:
        assert sum(start <= time < start + 1.0 for time in sent) <= LIMIT


def test_warm_servers_and_services_without_a_rate_are_not_limited():
    limiter = ColdRateLimiter(RoutingLimits())
    warm = ServerRow(registration("a"))
    unlimited = Service("s-1", 25, 3.0, cold_per_s=0.0)
    for _ in range(100):
        assert limiter.allows(warm, SERVICE, 0.1, 1.0)
        assert limiter.allows(cold_row(), unlimited, 0.1, 1.0)
        limiter.record(warm, 1.0)


def test_a_share_below_one_request_allows_no_request():
    limiter = ColdRateLimiter(RoutingLimits())
    assert not limiter.allows(cold_row(), SERVICE, 1 / 75, 1.0)
