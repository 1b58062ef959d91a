"""Scenarios in which backend servers crash, restart, drain, stall or report false health."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from standins.behaviour import Behaviour

from .load import Query, nearest_kiosk_query
from .scenario import scenario

if TYPE_CHECKING:
    from .scenario import Run

CRASH_MARKER = "crash-me"
CRASHING_CALLS_S = 6.0
MAX_DEATHS = 2
"""Servers that one request may crash."""
FREEZE_FACTOR = 1000.0


@scenario("11-server-crashes", lost_replies_allowed=False)
def server_crashes(run: Run) -> None:
    """Crash some servers under load; they restart cold."""
    run.continue_load(2.0)
    for number in range(0, 12, 3):
        run.fleet.control(f"kiosks-{number:02}-a", crash=True)
        run.continue_load(0.5)
    run.fleet.control("settlements-a", crash=True)
    run.continue_load(6.0)


@scenario("12-rolling-cold-restarts", lost_replies_allowed=False)
def rolling_cold_restarts(run: Run) -> None:
    """Restart replicas a and b of every service in quick succession, without draining them."""
    run.continue_load(2.0)
    for replica in "ab":
        for server in sorted(run.fleet.servers):
            if server.endswith(f"-{replica}"):
                run.fleet.control(server, restart=True)
                run.continue_load(0.1)
    run.continue_load(4.0)


@scenario("13-lying-health", lost_replies_allowed=False)
def lying_health(run: Run) -> None:
    """Restart servers whose health replies claim that they are warm and not draining."""
    run.fleet.control_all(health_lie={"cold": False, "draining": False, "load": 0.0})
    run.continue_load(2.0)
    for number in range(0, 50, 2):
        run.fleet.control(f"kiosks-{number:02}-b", restart=True)
        run.continue_load(0.1)
    run.continue_load(4.0)


@scenario("14-draining", lost_replies_allowed=False)
def draining(run: Run) -> None:
    """Drain servers of both indexes, with health replies that report it."""
    run.continue_load(2.0)
    leaving = [f"kiosks-{number:02}-a" for number in range(0, 50, 3)] + ["settlements-b"]
    drained_at = time.time()
    for name in leaving:
        run.fleet.control(name, draining=True)
    run.continue_load(9.0)
    run.check_late_work(leaving, drained_at)
    for name in leaving:
        run.fleet.control(name, draining=False)
    run.continue_load(4.0)


@scenario("15-frozen-server", lost_replies_allowed=False)
def frozen_server(run: Run) -> None:
    """Slow two servers down so much that they answer nothing in time."""
    run.continue_load(2.0)
    for name in ("kiosks-10-a", "settlements-c"):
        run.fleet.control(name, slow_factor=FREEZE_FACTOR)
    run.continue_load(10.0)
    for name in ("kiosks-10-a", "settlements-c"):
        run.fleet.control(name, slow_factor=1.0)
    run.continue_load(4.0)


@scenario(
    "16-crashing-request",
    lost_replies_allowed=False,
    behaviour=Behaviour(crash_marker=CRASH_MARKER),
)
def crashing_request(run: Run) -> None:
    """Send a request that crashes servers repeatedly through all daemons."""
    run.continue_load(2.0)
    rng = random.Random(run.callers.seed)
    body = nearest_kiosk_query(rng).body
    query = Query("kiosk-finder", "kiosks", {**body, "note": CRASH_MARKER}, 5)
    until = time.monotonic() + CRASHING_CALLS_S
    while time.monotonic() < until:
        for name in run.daemon_names:
            run.callers.send(query, name)
    run.continue_load(5.0)
    causes = [
        death["cause"] for journal in run.fleet.journals().values() for death in journal["deaths"]
    ]
    crash_count = causes.count("request")
    run.findings.notes.append(f"the request crashed {crash_count} servers")
    run.findings.expect(crash_count <= MAX_DEATHS, f"one request crashed {crash_count} servers")
