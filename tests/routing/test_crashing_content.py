"""Load pattern: a request that crashes each server that starts it is repeated at any daemon."""

from __future__ import annotations

import pytest

from marigoldwalk.routing.exchanges import MergedAnswer
from marigoldwalk.routing.suspects import Crash, Evidence

from .crashing_fleet import CrashingFleet, CrashingServer
from .simulation import fan_out_route, single_route

DOMAINS = ["north", "north", "north", "centre", "centre", "south"]
STABILITY_S = 4.0
"""Time after the third crash from which at most ``MAX_RETRIES`` requests may reach servers."""
MAX_RETRIES = 3
DEADLY = "deadly"


def one_service():
    domains = ("north", "north", "north", "centre", "centre", "south", "south")
    servers = [
        CrashingServer(f"i-{n}", "s-1", domain, {DEADLY}, work_s=0.16)
        for n, domain in enumerate(domains)
    ]
    return single_route(timeout_s=6.0, target_s=0.6), servers


def one_service_that_crashes_late():
    domains = ["north"] * 5 + ["centre"] * 4 + ["south"] * 4
    servers = [
        CrashingServer(f"i-{n}", "s-1", domain, {DEADLY}, work_s=0.16, crash_delay_s=0.5)
        for n, domain in enumerate(domains)
    ]
    return single_route(timeout_s=6.0, target_s=0.6), servers


def two_replicas():
    servers = [
        CrashingServer(f"i-{domain}", "s-1", domain, {DEADLY}, work_s=0.16)
        for domain in ("north", "centre")
    ]
    return single_route(timeout_s=6.0, target_s=0.6), servers


def twenty_shards():
    servers = [
        CrashingServer(f"i-{n}-{domain}", f"s-{n}", domain, {DEADLY}, work_s=0.03)
        for n in range(20)
        for domain in ("north", "centre")
    ]
    shards = [f"s-{n}" for n in range(20)]
    return fan_out_route(shards, prefix="/one/", timeout_s=1.5, target_s=0.18), servers


def play(fleet, deadly_per_s, others_per_s, for_s=25.0):
    """Send the deadly content and other requests to random daemons."""
    end = fleet.now + for_s
    deadly_at, other_at = fleet.now + 2.0, fleet.now
    number = 0
    while fleet.now < end:
        fleet.run(0.02)
        number += 1
        daemon = fleet.rng.choice(fleet.daemons)
        if fleet.now >= deadly_at:
            deadly_at += fleet.rng.expovariate(deadly_per_s)
            daemon.ask("/one/x", f"deadly-{number}", fingerprint=DEADLY)
        elif fleet.now >= other_at:
            other_at += fleet.rng.expovariate(others_per_s)
            daemon.ask("/one/y", f"other-{number}", fingerprint=f"f-{number}")


def late_retries(fleet):
    """Return the requests that reached servers too late after the third crash."""
    assert len(fleet.crashes) >= 3
    known_at = fleet.crashes[2] + STABILITY_S
    return [name for name, time in fleet.arrivals("deadly-").items() if time > known_at]


@pytest.mark.parametrize("seed", [0, 2, 4])
@pytest.mark.parametrize("scene", [one_service, two_replicas, twenty_shards])
def test_request_that_crashed_three_servers_is_not_sent_on(scene, seed):
    route, servers = scene()
    fleet = CrashingFleet([route], servers, DOMAINS, seed)
    play(fleet, deadly_per_s=0.4, others_per_s=0.5)
    assert len(late_retries(fleet)) <= MAX_RETRIES


@pytest.mark.parametrize("seed", [0, 3, 5])
@pytest.mark.parametrize(("scene", "deadly_per_s"), [(one_service, 0.4), (twenty_shards, 1.0)])
def test_request_that_crashed_three_servers_is_not_sent_on_beside_other_requests(
    scene, deadly_per_s, seed
):
    route, servers = scene()
    fleet = CrashingFleet([route], servers, DOMAINS, seed)
    play(fleet, deadly_per_s, others_per_s=3.0)
    assert len(late_retries(fleet)) <= MAX_RETRIES


@pytest.mark.parametrize(
    ("deadly_per_s", "seed"),
    [(2.0, 11), (2.0, 19), (3.0, 5), (3.0, 11), (3.0, 14), (3.0, 17), (5.0, 0), (5.0, 8)],
)
def test_request_is_not_sent_on_after_overlapping_sends_have_crashed_servers_late(
    deadly_per_s, seed
):
    route, servers = one_service_that_crashes_late()
    fleet = CrashingFleet([route], servers, DOMAINS, seed)
    play(fleet, deadly_per_s, others_per_s=7.0)
    assert len(late_retries(fleet)) <= MAX_RETRIES


@pytest.mark.parametrize(
    ("scene", "deadly_per_s", "others_per_s", "seed"),
    [(two_replicas, 1.0, 7.0, 4), (twenty_shards, 3.0, 0.5, 3), (twenty_shards, 3.0, 7.0, 2)],
)
def test_request_is_not_sent_on_while_trials_that_crash_servers_late_are_open(
    scene, deadly_per_s, others_per_s, seed
):
    route, servers = scene()
    for server in servers:
        server.crash_delay_s = 1.5
    fleet = CrashingFleet([route], servers, DOMAINS, seed)
    play(fleet, deadly_per_s, others_per_s)
    assert len(late_retries(fleet)) <= MAX_RETRIES


@pytest.mark.parametrize(
    ("scene", "crash_delay_s", "deadly_per_s", "seed"),
    [
        (one_service, 0.003, 0.4, 7),
        (one_service, 0.003, 5.0, 7),
        (one_service, 0.067, 0.4, 7),
        (one_service, 0.5, 5.0, 0),
        (one_service_that_crashes_late, 0.067, 5.0, 7),
        (one_service_that_crashes_late, 0.5, 2.0, 1),
        (two_replicas, 0.003, 1.0, 2),
        (two_replicas, 0.067, 0.4, 2),
        (two_replicas, 0.5, 1.0, 1),
    ],
)
def test_request_that_crashed_three_servers_is_not_sent_on_if_another_server_fails_it(
    scene, crash_delay_s, deadly_per_s, seed
):
    route, servers = scene()
    for server in servers:
        server.crash_delay_s = crash_delay_s
    servers[0].fails_deadly = True
    fleet = CrashingFleet([route], servers, DOMAINS, seed)
    play(fleet, deadly_per_s, others_per_s=7.0)
    assert len(late_retries(fleet)) <= MAX_RETRIES


@pytest.mark.parametrize("contents", ["same", "different"])
def test_queries_lost_with_the_servers_of_a_domain_are_completed_by_their_replicas(contents):
    route, servers = twenty_shards()
    fleet = CrashingFleet([route], servers, DOMAINS)
    for number, daemon in enumerate(fleet.daemons * 3):
        fingerprint = "popular" if contents == "same" else f"f-{number}"
        daemon.ask("/one/x", f"q-{number}", fingerprint=fingerprint)
    fleet.run(0.01)
    for server in servers:
        if server.domain == "north":
            server.crash(fleet.now)
    fleet.run(2.0)
    answers = [answer for daemon in fleet.daemons for answer in daemon.answers.values()]
    assert len(answers) == 18
    assert all(isinstance(answer, MergedAnswer) for answer in answers)
    assert sum(server.domain == "north" for server in servers) == len(fleet.crashes)


def test_evidence_reaches_a_large_fleet_within_a_second():
    route, servers = one_service()
    domains = [f"domain-{number % 4}" for number in range(66)]
    fleet = CrashingFleet([route], servers, domains)
    crashes = tuple(Crash(f"i-{n}", "s-1", f"q-{n}", is_trial=True) for n in range(3))
    first = fleet.daemons[0]
    first.world.suspects.merge([Evidence(DEADLY, crashes)], fleet.now)
    fleet.run(1.0)
    informed = [d.world.suspects.is_refused(DEADLY, d.now) for d in fleet.daemons]
    assert informed.count(True) >= 0.95 * len(fleet.daemons)
