from __future__ import annotations

from bench.control.layouts import Layout
from bench.control.simulated_fleet import SimulatedFleet
from marigoldwalk.core.events import QueryReceived
from marigoldwalk.errors import Code

SMALL = Layout(services=12, replicas=2, domains=3)


def test_simulated_peers_answer_queries_completely():
    fleet = SimulatedFleet(6, SMALL)
    fleet.run(2.0)
    assert fleet.world.daemon_state.ready
    assert all(peer.reachable for peer in fleet.world.peers.values())

    fleet.post(QueryReceived(1, "g00-000", "{}"))
    fleet.run(0.5)
    (answer,) = fleet.answers
    assert answer.code is Code.OK
    assert answer.answered == SMALL.services


def test_meter_counts_heartbeats_sent_and_received():
    fleet = SimulatedFleet(6, SMALL)
    fleet.run(2.0)
    meter = fleet.daemon.meter
    meter.clear()
    fleet.run(1.0)
    assert meter.messages_in["Heartbeat"] == meter.messages_out["Heartbeat"] == 5 * 4
    assert meter.bytes_in["Heartbeat"] > 0


def test_daemon_removed_from_the_list_is_no_longer_a_home():
    fleet = SimulatedFleet(6, SMALL)
    fleet.run(2.0)
    removed = fleet.instance_list[-1].name
    fleet.publish_instance_list(fleet.instance_list[:-1])
    fleet.run(0.1)
    assert all(removed not in row.homes for row in fleet.world.blocks.values())
