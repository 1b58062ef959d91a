from __future__ import annotations

import pytest

from marigoldwalk.routing.exchanges import Attempt, Exchange
from marigoldwalk.routing.sending import keeps_connection, open_attempts_limit

from .simulation import Simulation, fan_out_route, single_route


@pytest.mark.parametrize(
    ("members", "max_connections", "expected"),
    [(6, 25, True), (9, 26, True), (195, 1200, True), (195, 120, False), (84, 64, False)],
)
def test_idle_connections_are_kept_only_if_all_daemons_may_have_one(
    members, max_connections, expected
):
    simulation = Simulation(
        [single_route()],
        {"a": ("s-1", "north")},
        members=members,
        max_connections=max_connections,
    )
    exchange = simulation.ask()
    assert isinstance(exchange, Exchange)
    (task,) = exchange.tasks
    attempt = Attempt(9, task, simulation.world.catalog.rows["a"], simulation.now)
    assert keeps_connection(simulation.world, attempt) is expected
    assert open_attempts_limit(simulation.world, task, slots=2) >= 1


def test_a_delegate_keeps_its_connections_to_shards_whatever_its_share():
    simulation = Simulation(
        [fan_out_route(["s-1"])], {"a": ("s-1", "north")}, members=24, max_connections=6
    )
    (task,) = simulation.ask("/all/1").tasks
    attempt = Attempt(9, task, simulation.world.catalog.rows["a"], simulation.now)
    assert not keeps_connection(simulation.world, attempt)
    simulation.world.is_delegate = True
    assert keeps_connection(simulation.world, attempt)
