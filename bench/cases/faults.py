"""Slow replies and crashed replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..deployments import STRAGGLER_FACTOR
from .loads import MAIN_GROUPS, PLAIN_SECONDS_RATIO
from .registry import cases

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..results import Results
    from ..rig import Rig

OFFERED_LOAD = 0.3
STRAGGLER_SHARE = 0.01
CRASH_AT_S = 0.5
CRASH_DOWN_S = 2.0


@cases.register("stragglers")
def stragglers(rig: Rig, results: Results) -> None:
    """Measure without faults, with 1% of replies 10x slower, and with one server 10x slower."""
    slow_server = _servers(rig)[0]
    _measure_systems(rig, results, "stragglers", "none")
    rig.fleet.control_all(straggler_share=STRAGGLER_SHARE)
    _measure_systems(rig, results, "stragglers", "1% of replies 10x slower")
    rig.fleet.control_all(straggler_share=0.0)
    rig.fleet.control(slow_server, slow_factor=STRAGGLER_FACTOR)
    _measure_systems(rig, results, "stragglers", "one server 10x slower")
    rig.fleet.control(slow_server, slow_factor=1.0)


@cases.register("replica-loss")
def replica_loss(rig: Rig, results: Results) -> None:
    """Crash two servers of different services under load."""
    first, _, second, *_ = _servers(rig)

    def crash(started_at: float) -> None:
        rig.sleep_until(started_at + CRASH_AT_S)
        for name in (first, second):
            rig.fleet.control(name, crash=True, down_s=CRASH_DOWN_S)

    _measure_systems(rig, results, "replica-loss", "two replicas crash", crash)


def _servers(rig: Rig) -> list[str]:
    index = rig.index(MAIN_GROUPS[rig.options.deployment])
    return sorted(name for name, server in rig.fleet.servers.items() if server.index == index)


def _measure_systems(
    rig: Rig,
    results: Results,
    case: str,
    variant: str,
    during: Callable[[float], None] = lambda started_at: None,
) -> None:
    group = MAIN_GROUPS[rig.options.deployment]
    for plain in rig.systems:
        seconds = rig.options.seconds * (PLAIN_SECONDS_RATIO if plain else 1.0)
        result = rig.load([rig.stream(group, OFFERED_LOAD)], seconds, plain, during)
        results.add_load(rig, case, variant, {group: OFFERED_LOAD}, result, plain)
        rig.wait_until_usable(group)
