from __future__ import annotations

from bench.control.layouts import Layout
from bench.control.surroundings import Surroundings
from marigoldwalk.core.events import QueryReceived
from marigoldwalk.errors import Code

SMALL = Layout(services=12, replicas=2, domains=3)


def test_scripted_peers_serve_whole_queries():
    around = Surroundings(6, SMALL)
    around.run(2.0)
    assert around.world.daemon_state.ready
    assert all(peer.reachable for peer in around.world.peers.values())

    around.post(QueryReceived(1, "g00-000", "{}"))
    around.run(0.5)
    (answer,) = around.answers
    assert answer.code is Code.OK
    assert answer.answered == SMALL.services


def test_meter_counts_heartbeats_both_ways():
    around = Surroundings(6, SMALL)
    around.run(2.0)
    meter = around.subject.meter
    meter.clear()
    around.run(1.0)
    assert meter.messages_in["Heartbeat"] == meter.messages_out["Heartbeat"] == 5 * 4
    assert meter.bytes_in["Heartbeat"] > 0


def test_replaced_daemon_leaves_the_homes():
    around = Surroundings(6, SMALL)
    around.run(2.0)
    gone = around.listed[-1].name
    around.publish_list(around.listed[:-1])
    around.run(0.1)
    assert all(gone not in row.homes for row in around.world.blocks.values())
