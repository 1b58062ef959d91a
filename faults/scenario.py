"""Scenarios and their runs: a fleet, its callers and the faults that a scenario injects."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from marigoldwalk.util.registry import Registry
from standins.behaviour import Behaviour
from standins.fleet_plan import FleetOptions

from .checks import Findings, check_answers, check_journals, check_late_work
from .fleet import PARAMETERS, FaultFleet
from .load import Callers
from .monitor import Monitor

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

DAEMON_COUNT = 6
NEW_WORK_BOUND_S = 3.0
"""Time after which excluded and leaving servers must receive no new work."""


@dataclass(slots=True)
class Run:
    """The fleet, callers, monitor and findings of a running scenario."""

    fleet: FaultFleet
    callers: Callers
    monitor: Monitor
    findings: Findings = field(default_factory=Findings)

    @property
    def daemon_names(self) -> tuple[str, ...]:
        """The names of all daemons."""
        return tuple(self.fleet.daemons)

    def continue_load(self, seconds: float) -> None:
        """Wait while the callers continue to send."""
        time.sleep(seconds)

    def set_targets(self, *names: str, without: Iterable[str] = ()) -> None:
        """Direct the callers to the daemons *names*, by default all, except those in *without*."""
        absent = set(without)
        self.callers.targets = tuple(
            name for name in names or self.daemon_names if name not in absent
        )

    def servers_in(self, domain: str) -> list[str]:
        """Return the names of the servers in a failure domain."""
        return [server.name for server in self.fleet.servers.values() if server.domain == domain]

    def check_late_work(self, servers: Iterable[str], since: float) -> None:
        """Count work that *servers* received later than the bound after the Unix time *since*."""
        check_late_work(self.findings, self.fleet, servers, since + NEW_WORK_BOUND_S)


@dataclass(frozen=True, slots=True)
class Scenario:
    """A fault to inject; ``lost_replies_allowed`` tells whether callers may get no reply."""

    name: str
    inject: Callable[[Run], None]
    lost_replies_allowed: bool
    behaviour: Behaviour
    relayed: bool


scenarios: Registry[Scenario] = Registry("scenario")


def scenario(
    name: str,
    *,
    lost_replies_allowed: bool = True,
    behaviour: Behaviour | None = None,
    relayed: bool = False,
) -> Callable[[Callable[[Run], None]], Callable[[Run], None]]:
    """Register a function that injects the faults of a scenario.

    With *relayed* the connections between daemons and to the platform can be cut.
    """

    def decorate(inject: Callable[[Run], None]) -> Callable[[Run], None]:
        entry = Scenario(name, inject, lost_replies_allowed, behaviour or Behaviour(), relayed)
        scenarios.register(name)(entry)
        return inject

    return decorate


def run(chosen: Scenario, seed: int) -> Findings:
    """Run a scenario with real processes and return the findings."""
    options = FleetOptions(
        daemons=DAEMON_COUNT,
        seed=seed,
        behaviour=chosen.behaviour,
        parameters=PARAMETERS,
    )
    with FaultFleet(options, relayed=chosen.relayed) as fleet:
        fleet.wait_for_claims()
        callers = Callers(fleet, seed, tuple(fleet.daemons))
        current = Run(fleet, callers, Monitor(fleet))
        current.monitor.start()
        callers.start()
        try:
            chosen.inject(current)
        finally:
            callers.stop()
            current.monitor.stop()
        _check(current, chosen)
    return current.findings


def _check(current: Run, chosen: Scenario) -> None:
    findings, calls = current.findings, current.callers.calls
    check_answers(findings, current.fleet, calls)
    check_journals(findings, current.fleet, calls)
    current.monitor.check(findings)
    findings.expect(findings.answered > 0, "no query was answered")
    if not chosen.lost_replies_allowed:
        findings.expect(findings.lost_replies == 0, f"{findings.lost_replies} queries got no reply")
