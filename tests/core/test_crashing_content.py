"""Content that crashes servers: the crashes are bounded, and other content is unaffected."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldwalk.core.parameters import Parameters
from marigoldwalk.core.systems.readiness import PRUNE_S
from marigoldwalk.errors import Code

from .fakes import CRASH
from .fleet import FleetDriver
from .views import make_view

NAMES = [f"m-{number}" for number in range(1, 10)]
SHARDS = 50
SUSPECT_S = 4.0
MAX_DEATHS = 2
"""Servers that one content may crash in each period for which it is refused."""

sendings = st.lists(
    st.tuples(st.sampled_from([0.0, 0.001, 0.005, 0.03, 0.5]), st.sets(st.sampled_from(NAMES))),
    min_size=1,
    max_size=12,
)


def start_fleet(seed: int = 0, *, canary: bool = True, suspect_s: float = SUSPECT_S) -> FleetDriver:
    """Return nine daemons whose servers have begun to warm up."""
    view = make_view(services=SHARDS, canary=canary)
    fleet = FleetDriver(9, view=view, parameters=Parameters(suspect_s=suspect_s), seed=seed)
    fleet.run(2.0)
    for number in range(9):
        fleet.ask(NAMES[number], body=f"warm {number}")
        fleet.run(0.05)
    return fleet


def ask_all(fleet: FleetDriver, body: str) -> list[int]:
    """Send the same content to every daemon at once."""
    return [fleet.ask(name, body=body) for name in NAMES]


def deaths(fleet: FleetDriver) -> int:
    """Return how many servers have crashed."""
    return sum(server.crashes for server in fleet.servers.values())


def codes(fleet: FleetDriver, numbers: list[int]) -> set[Code]:
    return {fleet.answers[number].code for number in numbers}


@settings(max_examples=4, derandomize=True, deadline=None)
@given(
    sendings,
    st.sampled_from([0.001, 0.005, 0.04, 0.15]),
    st.sampled_from([0.0, 0.003]),
    st.integers(0, 99),
)
def test_content_kills_at_most_two_servers_in_each_period_of_refusal(
    scenario, latency_s, jitter_s, seed
):
    fleet = start_fleet(seed)
    fleet.network.jitter_s = jitter_s
    for server in fleet.servers.values():
        server.latency_s = latency_s
    numbers = []
    for period in range(1, 3):
        for delay_s, names in scenario:
            fleet.run(delay_s)
            numbers += [fleet.ask(name, body=CRASH) for name in sorted(names)]
        fleet.run(1.0)
        numbers += ask_all(fleet, CRASH)
        fleet.run(1.0)
        assert deaths(fleet) <= MAX_DEATHS * period
        fleet.run(SUSPECT_S + PRUNE_S)
    assert codes(fleet, numbers) == {Code.SUSPECT_CONTENT}


@pytest.mark.parametrize("seed", range(2))
def test_harmless_content_run_meanwhile_is_fully_answered_and_cleared(seed):
    fleet = start_fleet(seed)
    harmless_bodies = [f"innocent {number}" for number in range(10)]
    numbers = []
    for step, body in enumerate(harmless_bodies):
        numbers += [fleet.ask(name, body=body) for name in NAMES[step % 3 :: 3]]
        if step == 1:
            crashing = ask_all(fleet, CRASH)
        fleet.run(0.004)
    fleet.run(1.0)
    assert deaths(fleet) == MAX_DEATHS
    assert codes(fleet, crashing) == {Code.SUSPECT_CONTENT}
    assert codes(fleet, numbers) == {Code.OK}
    again = []
    for body in harmless_bodies:
        again += [fleet.ask(name, body=body) for name in NAMES[::3]]
        fleet.run(0.02)
    fleet.run(1.0)
    assert codes(fleet, again) == {Code.OK}


def test_content_that_crashes_one_shard_only_is_refused_once_its_replicas_crashed():
    fleet = start_fleet()
    crashing = ask_all(fleet, f"{CRASH} 7")
    harmless = [fleet.ask(name, body=f"innocent {name}") for name in NAMES]
    fleet.run(2.0)
    later = ask_all(fleet, f"{CRASH} 7")
    fleet.run(1.0)
    assert deaths(fleet) == MAX_DEATHS
    assert codes(fleet, crashing) <= {Code.PARTIAL, Code.SUSPECT_CONTENT}
    assert codes(fleet, later) == {Code.SUSPECT_CONTENT}
    assert codes(fleet, harmless) <= {Code.OK, Code.PARTIAL}
    again = [fleet.ask(name, body=f"innocent {name}") for name in NAMES]
    fleet.run(1.0)
    assert codes(fleet, again) == {Code.OK}


@pytest.mark.parametrize("canary", [True, False])
def test_content_is_not_refused_when_servers_crash_for_another_reason(canary):
    fleet = start_fleet(canary=canary)
    domain = [server.name for server in fleet.view.servers if server.domain == "dom-a"]
    numbers = []
    for step in range(40):
        numbers += [fleet.ask(name, body="popular") for name in NAMES[step % 3 :: 3]]
        fleet.run(0.02)
        if step == 15:
            for name in domain:
                fleet.crash_server(name)
        if step > 28:
            fleet.crash_server(domain[step % len(domain)])
    fleet.run(1.0)
    assert codes(fleet, numbers) == {Code.OK}


def test_restarted_daemons_still_refuse_the_content():
    fleet = start_fleet(suspect_s=60.0)
    ask_all(fleet, CRASH)
    fleet.run(1.0)
    for name in NAMES:
        fleet.kill(name)
        fleet.start(name)
        fleet.run(4.0)
        ask_all(fleet, CRASH)
        fleet.run(1.0)
    assert deaths(fleet) <= MAX_DEATHS


@pytest.mark.parametrize("stall_s", [0.2, 0.25, 0.3])
def test_slow_trials_of_one_content_crash_at_most_two_servers(stall_s):
    # All servers stall, so that an entry's trials on several shards begin to run at one moment.
    fleet = start_fleet()
    end = fleet.now + stall_s
    for server in fleet.servers.values():
        server.draw_latency_s = lambda _: max(0.001, end - fleet.now)
    fleet.ask(NAMES[0], body=CRASH)
    fleet.run(3.0)
    assert deaths(fleet) <= MAX_DEATHS
