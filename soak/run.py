"""One run: a deployment, its daemons and callers, the faults of a seed, and the checks."""

from __future__ import annotations

import random
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import gevent

from standins.listener import LOOPBACK

from . import promises
from .callers import Caller
from .daemons import Daemon
from .deployment import DOMAINS, Deployment
from .faults import Scene, faults, strike
from .journal import EVERYTHING, Disturbance, Journal
from .plan import make_plan

if TYPE_CHECKING:
    from .plan import PlannedFault
    from .promises import Violation

CALM_S = 16.0
"""Time without faults at the end: that of recovery, and some seconds of service after it."""
READY_TIMEOUT_S = 30.0
SEEDS = 3
LATE_S = 0.25
"""Delay of the harness itself from which the machine counts as disturbed."""
BEAT_S = 0.05
FAULT_END_S = 20.0
"""Longest time that a fault goes on beyond its planned start."""


@dataclass(frozen=True, slots=True)
class RunOptions:
    """Size and length of a run."""

    daemons: int = 6
    callers: int = 12
    faults_s: float = 20.0
    """Time in which faults begin."""
    calm_s: float = CALM_S


@dataclass(frozen=True, slots=True)
class Result:
    """What a run came to."""

    seed: int
    sent: int
    served: int
    arrivals: int
    faults: int
    violations: list[Violation]
    folder: Path
    """Holds the daemons' logs."""


def run_seed(seed: int, options: RunOptions, folder: Path | None = None) -> Result:
    """Play the faults of *seed* and return what was found."""
    folder = folder or Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    journal = Journal()
    rng = random.Random(seed)
    deployment = Deployment(journal, time.monotonic, rng)
    fleet = [_daemon(number, deployment, folder, journal) for number in range(options.daemons)]
    watch = gevent.spawn(_watch_harness, journal)
    try:
        _launch(fleet)
        callers = [_caller(number, seed, fleet, journal) for number in range(options.callers)]
        running = [gevent.spawn(caller.run) for caller in callers]
        plan = make_plan(seed, faults.names(), options.faults_s)
        _play(plan, Scene(deployment, fleet, journal, time.monotonic))
        journal.calm_from = time.monotonic()
        gevent.sleep(options.calm_s)
        for caller in callers:
            caller.stop()
        gevent.joinall(running)
    finally:
        watch.kill()
        for daemon in fleet:
            daemon.end()
        deployment.stop()
    return Result(
        seed,
        len(journal.sendings),
        sum(s.is_success for s in journal.sendings),
        len(journal.arrivals),
        len(plan),
        promises.check_all(journal),
        folder,
    )


def _daemon(number: int, deployment: Deployment, folder: Path, journal: Journal) -> Daemon:
    domain = DOMAINS[number % len(DOMAINS)]
    name = f"g-{number}"
    return Daemon(name, domain, deployment.store.address, folder, journal, time.monotonic)


def _caller(number: int, seed: int, fleet: list[Daemon], journal: Journal) -> Caller:
    rng = random.Random(f"{seed}/{number}")
    return Caller(fleet, journal, time.monotonic, rng, DOMAINS[number % len(DOMAINS)])


def _launch(fleet: list[Daemon]) -> None:
    """Start all daemons and wait until each is ready."""
    seeds = [f"{LOOPBACK}:{daemon.ports.peer}" for daemon in fleet[:SEEDS]]
    for daemon in fleet:
        daemon.launch(seeds)
    with gevent.Timeout(READY_TIMEOUT_S):
        while not all(daemon.is_in_rotation for daemon in fleet):
            gevent.sleep(BEAT_S)


def _play(plan: list[PlannedFault], scene: Scene) -> None:
    """Cause the faults of *plan* at their times and wait until the last one is over."""
    begun = time.monotonic()
    struck = []
    for fault in plan:
        gevent.sleep(max(0.0, begun + fault.at - time.monotonic()))
        struck.append(gevent.spawn(strike, scene, fault))
    gevent.joinall(struck, timeout=FAULT_END_S, raise_error=True)
    last_end = max((d.end for d in scene.journal.disturbances), default=0.0)
    gevent.sleep(min(max(0.0, last_end - time.monotonic()), FAULT_END_S))


def _watch_harness(journal: Journal) -> None:
    """Note when this process itself is held up, since the daemons then may be, too."""
    while True:
        before = time.monotonic()
        gevent.sleep(BEAT_S)
        now = time.monotonic()
        if now - before > BEAT_S + LATE_S:
            journal.disturbances.append(Disturbance(EVERYTHING, "harness", before, now))
