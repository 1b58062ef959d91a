from __future__ import annotations

import random

import pytest

from marigoldwalk.routing.cold import ColdAllowances
from marigoldwalk.routing.model import Service
from marigoldwalk.routing.tables import ServerRow
from marigoldwalk.routing.world import RoutingLimits

from .simulation import registration

SERVICE = Service("s-1", 25, 3.0, cold_per_s=10.0)
BOUND = 10.0 * 1.5 + 5.0


def cold_row():
    return ServerRow(registration("a"), cold_until=100.0)


@pytest.mark.parametrize("members", [1, 6, 9])
def test_the_fleet_keeps_within_the_bound_in_every_second(members):
    draw = random.Random(members)
    row = cold_row()
    daemons = [ColdAllowances(RoutingLimits()) for _ in range(members)]
    sent = []
    now = 0.0
    while now < 10.0:
        now += draw.random() * 0.005
        daemon = draw.choice(daemons)
        if daemon.allows(row, SERVICE, 1 / members, now):
            daemon.note(row, now)
            sent.append(now)
    assert len(sent) >= 10 * members
    for start in sent:
        assert sum(start <= time < start + 1.0 for time in sent) <= BOUND


def test_a_warm_server_and_a_service_without_a_bound_are_not_held_back():
    allowances = ColdAllowances(RoutingLimits())
    warm = ServerRow(registration("a"))
    unbounded = Service("s-1", 25, 3.0, cold_per_s=0.0)
    for _ in range(100):
        assert allowances.allows(warm, SERVICE, 0.1, 1.0)
        assert allowances.allows(cold_row(), unbounded, 0.1, 1.0)
        allowances.note(warm, 1.0)


def test_a_share_below_one_request_is_none():
    allowances = ColdAllowances(RoutingLimits())
    assert not allowances.allows(cold_row(), SERVICE, 1 / 75, 1.0)
