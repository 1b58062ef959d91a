"""Idle cost, loads from 0.3 to 4 times the servers' capacity, and mixed priorities."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..results import IDLE_MEASUREMENT
from .registry import cases

if TYPE_CHECKING:
    from ..results import Results
    from ..rig import Rig

LOADS = (0.3, 0.7, 1.0, 2.0, 4.0)
WIDE_LOADS = (0.3, 1.0)
PLAIN_SECONDS_RATIO = 0.5
"""Duration of the plain fan-out's loads, relative to the tier's."""
MAIN_GROUPS = {"budapest": "kiosk-finder", "kiosks-140": "kiosk-finder", "quito": "case-desk"}
PRIORITY_MIXES = {
    "budapest": {"kiosk-finder": 0.4, "technician-dispatch": 1.6},
    "quito": {"session": 0.4, "case-desk": 1.6},
}
"""Offered load of each group. The higher priority alone is below the servers' capacity."""
IDLE_S = 3.0


@cases.register("idle")
def idle(rig: Rig, results: Results) -> None:
    """Measure the control overhead: the CPU time that the daemons use without load."""
    usage = rig.idle(IDLE_S)
    share = usage.cpu_s / usage.time_s / rig.options.daemons
    results.add_measurement(rig, "idle", IDLE_MEASUREMENT, share * 100, "% of a core")


@cases.register("load")
def load(rig: Rig, results: Results) -> None:
    """Send increasing loads of the main group to the tier and to the plain fan-out."""
    _load(rig, results, LOADS)


@cases.register("wide")
def wide(rig: Rig, results: Results) -> None:
    """Send a few loads of queries that go to many more services."""
    _load(rig, results, WIDE_LOADS)


@cases.register("priorities")
def priorities(rig: Rig, results: Results) -> None:
    """Overload the servers with low-priority queries during a moderate load of the highest."""
    mix = PRIORITY_MIXES[rig.options.deployment]
    streams = [rig.stream(group, offered_load) for group, offered_load in mix.items()]
    for plain in rig.systems:
        seconds = rig.options.seconds * (PLAIN_SECONDS_RATIO if plain else 1.0)
        result = rig.load(streams, seconds, plain)
        results.add_load(rig, "priorities", "2x in total", mix, result, plain)


def _load(rig: Rig, results: Results, loads: tuple[float, ...]) -> None:
    group = MAIN_GROUPS[rig.options.deployment]
    for offered_load in loads:
        for plain in rig.systems:
            seconds = rig.options.seconds * (PLAIN_SECONDS_RATIO if plain else 1.0)
            result = rig.load([rig.stream(group, offered_load)], seconds, plain)
            results.add_load(rig, "load", "", {group: offered_load}, result, plain)
