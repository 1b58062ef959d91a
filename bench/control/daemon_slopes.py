"""Control overhead by number of daemons, blocks and servers."""

from __future__ import annotations

import gc
import tracemalloc
from functools import partial
from typing import TYPE_CHECKING

from .layouts import Layout, instances
from .meter import lowest_of_repeats
from .registry import slopes
from .simulated_fleet import SimulatedFleet
from .tables import Table

if TYPE_CHECKING:
    from marigoldwalk.core.events import Instance

WARM_UP_S = 2.0
MEASURED_S = 1.0
MB = 1e6
MS_PER_S = 1e3
_SMALL = Layout(indexes=1, services=48, replicas=2)


@slopes.register("daemons")
def vary_daemons() -> Table:
    """Steady control overhead of one daemon in a fleet of 6 to 4,700, with 8 blocks."""
    table = Table(("daemons", "CPU ms/s", "core ms/s", "codec ms/s", "messages/s", "bytes/s"))
    for daemons in (6, 9, 20, 50, 100, 300, 1000, 2000, 4700):
        table.add(daemons, *_steady_cost(SimulatedFleet(daemons, _SMALL)))
    return table


@slopes.register("blocks")
def vary_blocks() -> Table:
    """Steady control overhead of one daemon among 100, with 2,800 to 35,000 servers.

    Each block has 12 servers.
    """
    table = Table(("servers", "CPU ms/s", "core ms/s", "codec ms/s", "messages/s", "bytes/s"))
    for indexes in (2, 5, 10, 25):
        layout = Layout(indexes=indexes)
        table.add(layout.servers, *_steady_cost(SimulatedFleet(100, layout)))
    return table


def _steady_cost(fleet: SimulatedFleet) -> tuple[float, ...]:
    fleet.run(WARM_UP_S)
    return lowest_of_repeats(lambda: _measure_period(fleet))


def _measure_period(fleet: SimulatedFleet) -> tuple[float, ...]:
    meter = fleet.daemon.meter
    meter.clear()
    fleet.run(MEASURED_S)
    codec_s = meter.total_seconds("encode", "decode")
    core_s = meter.total_seconds() - codec_s
    ms_per_s = MS_PER_S / MEASURED_S
    return (
        (core_s + codec_s) * ms_per_s,
        core_s * ms_per_s,
        codec_s * ms_per_s,
        meter.total_messages() / MEASURED_S,
        meter.total_bytes() / MEASURED_S,
    )


@slopes.register("homed-servers")
def vary_homed_servers() -> Table:
    """Steady control overhead of a single daemon that is the home of 24 to 1,400 servers."""
    table = Table(("homed servers", "CPU ms/s", "memory MB"))
    for services in (2, 10, 40, 140):
        layout = Layout(indexes=1, services=services)
        cost = _steady_cost(SimulatedFleet(1, layout))[0]
        table.add(layout.servers, cost, _memory_bytes(1, layout) / MB)
    return table


@slopes.register("list-change")
def vary_list_change() -> Table:
    """CPU time to read an instance list in which one daemon is replaced, with 3,000 blocks."""
    table = Table(("daemons", "first list ms", "one replaced ms", "unchanged list read ms"))
    layout = Layout(indexes=25)
    for daemons in (9, 50, 100, 300, 1000):
        fleet = SimulatedFleet(daemons, layout)
        first_ms = fleet.daemon.meter.seconds["InstancesRead"] * MS_PER_S
        replaced_ms = lowest_of_repeats(partial(_replace_last, fleet))[0]
        unchanged_ms = lowest_of_repeats(partial(_read_list, fleet, fleet.instance_list))[0]
        table.add(daemons, first_ms, replaced_ms, unchanged_ms)
    return table


def _replace_last(fleet: SimulatedFleet) -> tuple[float, ...]:
    number = int(fleet.instance_list[-1].name.rpartition("-")[2]) + 1
    replacement = instances(1, fleet.layout.domains, first=number)
    return _read_list(fleet, fleet.instance_list[:-1] + replacement)


def _read_list(fleet: SimulatedFleet, instance_list: tuple[Instance, ...]) -> tuple[float, ...]:
    fleet.daemon.meter.clear()
    fleet.publish_instance_list(instance_list)
    fleet.run(0.02)
    return (fleet.daemon.meter.seconds["InstancesRead"] * MS_PER_S,)


@slopes.register("memory")
def vary_memory() -> Table:
    """Memory of one core, excluding the configuration, with 7,000 servers."""
    table = Table(("daemons", "memory MB"))
    layout = Layout(indexes=5)
    for daemons in (100, 300, 1000):
        table.add(daemons, _memory_bytes(daemons, layout) / MB)
    return table


def _memory_bytes(daemons: int, layout: Layout) -> float:
    """Return the memory allocated by a core in its first second, excluding the view.

    Another fleet accepts the same document first, so that the view is already in the cache.
    """
    warm_up_fleet = SimulatedFleet(1, layout)
    warm_up_fleet.run(1.0)
    gc.collect()
    tracemalloc.start()
    fleet = SimulatedFleet(daemons, layout)
    fleet.daemon.metered = False
    fleet.run(1.1)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used
