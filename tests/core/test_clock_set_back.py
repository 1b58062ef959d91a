"""A daemon starts again while its clock is behind the time of its last start."""

from __future__ import annotations

import pytest

from .fleet import FleetDriver


def peers_that_reach(fleet, name):
    others = [node for node in fleet.nodes.values() if node.name != name]
    return [node.name for node in others if node.core.world.peers[name].reachable]


@pytest.mark.parametrize("set_back_s", [1.0, 10.0])
def test_restarted_daemon_whose_clock_is_behind_is_reachable_again(set_back_s):
    """The others ignore all heartbeats of a start that is earlier than the last one they know."""
    fleet = FleetDriver(3, skews={"m-2": set_back_s})
    fleet.run(3.0)
    assert peers_that_reach(fleet, "m-2") == ["m-1", "m-3"]
    fleet.kill("m-2")
    fleet.skews["m-2"] = 0.0
    fleet.run(0.5)
    fleet.start("m-2")
    fleet.run(5.0)
    assert peers_that_reach(fleet, "m-2") == ["m-1", "m-3"]
