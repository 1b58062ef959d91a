"""A soak run: start the fleet, inject the faults of a seed, and check the journal."""

from __future__ import annotations

import random
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import gevent

from standins.listener import LOOPBACK

from . import guarantees
from .callers import Caller
from .daemons import Daemon
from .deployment import DOMAINS, Deployment
from .faults import FaultContext, faults, inject
from .journal import EVERYTHING, Disturbance, Journal
from .plan import make_plan
from .regressions import RECORDED_KINDS, REGRESSIONS

if TYPE_CHECKING:
    from .guarantees import Violation
    from .plan import PlannedFault

FAULT_FREE_S = 16.0
"""Time without faults at the end: the recovery time and some seconds of service after it."""
READY_TIMEOUT_S = 30.0
PEER_SEED_COUNT = 3
HARNESS_DELAY_S = 0.25
"""Scheduling delay of the harness above which all daemons count as disturbed."""
POLL_INTERVAL_S = 0.05
MAX_FAULT_OVERRUN_S = 20.0
"""Maximum wait for the faults in progress after the last one has started."""


@dataclass(frozen=True, slots=True)
class RunOptions:
    """Size and length of a run."""

    daemons: int = 6
    callers: int = 12
    faults_s: float = 20.0
    """Time during which faults begin."""
    fault_free_s: float = FAULT_FREE_S


@dataclass(frozen=True, slots=True)
class Result:
    """The outcome of a run."""

    seed: int
    sent: int
    served: int
    arrivals: int
    faults: int
    violations: list[Violation]
    directory: Path
    """The directory with the daemons' logs."""


def run_seed(seed: int, options: RunOptions, directory: Path | None = None) -> Result:
    """Run the faults of *seed* against a new deployment and return the result."""
    directory = directory or Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    journal = Journal()
    rng = random.Random(seed)
    deployment = Deployment(journal, time.monotonic, rng)
    fleet = [
        _make_daemon(number, deployment, directory, journal) for number in range(options.daemons)
    ]
    watcher = gevent.spawn(_watch_harness, journal)
    try:
        _start_fleet(fleet)
        callers = [_make_caller(number, seed, fleet, journal) for number in range(options.callers)]
        running = [gevent.spawn(caller.run) for caller in callers]
        kinds = RECORDED_KINDS if seed in REGRESSIONS else faults.names()
        plan = make_plan(seed, kinds, options.faults_s)
        _inject_faults(plan, FaultContext(deployment, fleet, journal, time.monotonic))
        journal.faults_ended_at = time.monotonic()
        gevent.sleep(options.fault_free_s)
        for caller in callers:
            caller.stop()
        gevent.joinall(running)
    finally:
        watcher.kill()
        for daemon in fleet:
            daemon.terminate()
        deployment.stop()
    return Result(
        seed,
        len(journal.calls),
        sum(call.is_success for call in journal.calls),
        len(journal.arrivals),
        len(plan),
        guarantees.check_all(journal),
        directory,
    )


def _make_daemon(number: int, deployment: Deployment, directory: Path, journal: Journal) -> Daemon:
    domain = DOMAINS[number % len(DOMAINS)]
    name = f"g-{number}"
    return Daemon(name, domain, deployment.store.address, directory, journal, time.monotonic)


def _make_caller(number: int, seed: int, fleet: list[Daemon], journal: Journal) -> Caller:
    rng = random.Random(f"{seed}/{number}")
    return Caller(fleet, journal, time.monotonic, rng, DOMAINS[number % len(DOMAINS)])


def _start_fleet(fleet: list[Daemon]) -> None:
    """Start all daemons and wait until each is ready."""
    seeds = [f"{LOOPBACK}:{daemon.ports.peer}" for daemon in fleet[:PEER_SEED_COUNT]]
    for daemon in fleet:
        daemon.launch(seeds)
    with gevent.Timeout(READY_TIMEOUT_S):
        while not all(daemon.is_in_rotation for daemon in fleet):
            gevent.sleep(POLL_INTERVAL_S)


def _inject_faults(plan: list[PlannedFault], context: FaultContext) -> None:
    """Inject the faults of *plan* at their times and wait until the last one is over."""
    started = time.monotonic()
    injections = []
    for fault in plan:
        gevent.sleep(max(0.0, started + fault.at - time.monotonic()))
        injections.append(gevent.spawn(inject, context, fault))
    gevent.joinall(injections, timeout=MAX_FAULT_OVERRUN_S, raise_error=True)
    last_end = max((d.end for d in context.journal.disturbances), default=0.0)
    gevent.sleep(min(max(0.0, last_end - time.monotonic()), MAX_FAULT_OVERRUN_S))


def _watch_harness(journal: Journal) -> None:
    """Record a disturbance when this process is delayed, since the daemons may be delayed too."""
    while True:
        before = time.monotonic()
        gevent.sleep(POLL_INTERVAL_S)
        now = time.monotonic()
        if now - before > POLL_INTERVAL_S + HARNESS_DELAY_S:
            journal.disturbances.append(Disturbance(EVERYTHING, "harness", before, now))
