"""Rolling restarts of all servers and of all daemons under load."""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING

from standins.processes import FleetError

from .loads import MAIN_GROUPS
from .registry import cases

if TYPE_CHECKING:
    from ..results import Results
    from ..rig import Rig

OFFERED_LOAD = 0.3
SERVER_PAUSE_S = 0.06
"""Interval between the restarts of two servers."""
AFTER_RESTARTS_S = 2.0
DAEMON_RESTARTS_S = 28.0
STOP_TIMEOUT_S = 20.0


@cases.register("server-restarts")
def server_restarts(rig: Rig, results: Results) -> None:
    """Restart every server of the main index in turn; each one is cold afterwards."""
    group = MAIN_GROUPS[rig.options.deployment]
    index = rig.index(group)
    names = sorted(name for name, server in rig.fleet.servers.items() if server.index == index)
    seconds = len(names) * SERVER_PAUSE_S + AFTER_RESTARTS_S

    def restart_servers(started_at: float) -> None:
        for number, name in enumerate(names):
            rig.sleep_until(started_at + number * SERVER_PAUSE_S)
            rig.fleet.control(name, restart=True)

    for plain in rig.systems:
        result = rig.load([rig.stream(group, OFFERED_LOAD)], seconds, plain, restart_servers)
        results.add_load(rig, "server-restarts", "all, cold", {group: OFFERED_LOAD}, result, plain)
        rig.wait_until_usable(group)
    rig.warm_up(group)


@cases.register("daemon-restarts")
def daemon_restarts(rig: Rig, results: Results) -> None:
    """Replace every daemon in turn by a planned stop and a new start."""
    group = MAIN_GROUPS[rig.options.deployment]
    stop_durations_s: list[float] = []

    def replace_daemons(started_at: float) -> None:
        for name in rig.fleet.daemons:
            stop_durations_s.append(_replace_daemon(rig, name))

    result = rig.load([rig.stream(group, OFFERED_LOAD)], DAEMON_RESTARTS_S, during=replace_daemons)
    results.add_load(rig, "daemon-restarts", "all, planned", {group: OFFERED_LOAD}, result)
    results.add_measurement(
        rig, "daemon-restarts", "longest planned stop", max(stop_durations_s), "s"
    )


def _replace_daemon(rig: Rig, name: str) -> float:
    """Replace one daemon and return the duration of its planned stop, in seconds."""
    fleet = rig.fleet
    process = fleet.daemons[name].process
    started = time.monotonic()
    fleet.set_instances(leaving=[name])
    fleet.kill(name, signal.SIGTERM)
    if process is None or process.wait(STOP_TIMEOUT_S) is None:
        raise FleetError(f"{name} did not stop in time")
    stop_s = time.monotonic() - started
    fleet.set_instances()
    fleet.start_daemon(name)
    fleet.wait_ready([name])
    return stop_s
