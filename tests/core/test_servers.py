"""Tests that the daemons of a fleet together never exceed a backend server's slots."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from .fleet import FleetDriver, Network
from .hypothesis_settings import deterministic_settings
from .scenario import Scenario
from .views import SERVICES, SLOTS, make_view

DAEMONS = 4
NAMES = [f"m-{number}" for number in range(1, DAEMONS + 1)]

names = st.sampled_from(NAMES)
servers = st.integers(0, 2 * SERVICES - 1)
steps = st.one_of(
    st.tuples(st.just("burst"), names),
    st.tuples(st.just("burst"), names),
    st.tuples(st.just("crash"), servers),
    st.tuples(st.just("report_wrong_health"), servers),
    st.tuples(st.just("slow"), servers),
    st.tuples(st.just("kill"), names),
    st.tuples(st.just("pause"), names),
    st.tuples(st.just("stop"), names),
    st.tuples(st.just("split"), st.sets(names, min_size=1, max_size=2)),
    st.tuples(st.just("heal"), st.none()),
    st.tuples(st.just("relist"), st.none()),
)
scenarios = st.lists(
    st.tuples(st.sampled_from([0.0, 0.01, 0.3, 1.5]), steps), min_size=5, max_size=25
)


class ServerScenario(Scenario):
    """Sends bursts of queries while servers and daemons fail, stop and restart."""

    def __init__(self, seed: int) -> None:
        self.fleet = FleetDriver(DAEMONS, seed=seed, network=Network(jitter_s=0.001))
        self.fleet.run(2.0)

    def burst(self, name: str) -> None:
        for other in [name, *NAMES, name]:
            self.fleet.ask(other)

    def report_wrong_health(self, number: int) -> None:
        self._server(number).misreports_health = True

    def kill(self, name: str) -> None:
        self.fleet.kill(name)
        self.fleet.after(0.5, lambda: self.fleet.start(name))

    def pause(self, name: str) -> None:
        if not self.fleet.nodes[name].paused:
            self.fleet.pause(name, 2.0)

    def stop(self, name: str) -> None:
        if self.fleet.nodes[name].up:
            self.fleet.stop(name)

    def split(self, part: set[str]) -> None:
        self.fleet.network.split(sorted(part), sorted(set(NAMES) - part))

    def heal(self, _: None) -> None:
        self.fleet.network.heal()

    def relist(self, _: None) -> None:
        self.fleet.publish_instances([node.name for node in self.fleet.live()])


@deterministic_settings(60)
@given(scenarios, st.integers(0, 1000))
def test_servers_bear_their_load(scenario, seed):
    trial = ServerScenario(seed)
    trial.run(scenario)
    for server in trial.fleet.servers.values():
        assert server.peak <= SLOTS, server
        assert server.cold_peak <= 1, server


def test_nine_daemons_start_a_cold_fleet_without_overload():
    fleet = FleetDriver(9, view=make_view())
    for _ in range(40):
        for name in fleet.nodes:
            fleet.ask(name)
        fleet.run(0.1)
    assert max(server.cold_peak for server in fleet.servers.values()) == 1
    assert max(server.peak for server in fleet.servers.values()) == SLOTS


def test_a_server_gets_no_new_work_after_it_reports_draining():
    fleet = FleetDriver(DAEMONS)
    fleet.run(4.0)
    server = fleet.servers["s-0-0"]
    server.draining = True
    started = fleet.now
    for _ in range(30):
        for name in NAMES:
            fleet.ask(name)
        fleet.run(0.2)
    late = [run for run in fleet.runs if run.server == "s-0-0" and run.at > started]
    assert not late
    assert {answer.code.name for answer in fleet.answers.values()} == {"OK"}


@pytest.mark.parametrize("part", [["m-1"], ["m-2"], ["m-3"], ["m-4"], ["m-1", "m-2"]])
def test_two_parts_of_a_partition_share_the_slots(part):
    fleet = FleetDriver(DAEMONS)
    fleet.run(2.0)
    for step in range(120):
        if step == 60:
            fleet.network.split(part, [name for name in NAMES if name not in part])
        for server in fleet.servers.values():
            server.latency_s = 0.03
        for name in NAMES:
            fleet.ask(name)
        fleet.run(0.05)
    assert max(server.peak for server in fleet.servers.values()) <= SLOTS
