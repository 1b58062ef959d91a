"""Cost of accepting configuration documents of different sizes."""

from __future__ import annotations

import gc
import time
import tracemalloc
from functools import partial
from typing import TYPE_CHECKING

from marigoldwalk.config.acceptance import accept
from marigoldwalk.core.events import DocumentRead

from .layouts import Layout, document_text, no_size_limit
from .meter import NS_PER_MS, lowest_of_repeats
from .registry import slopes
from .simulated_fleet import SimulatedFleet
from .tables import Table

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldwalk.config.acceptance import Verdict

MS_PER_S = 1e3
MB = 1e6


@slopes.register("configuration")
def vary_servers() -> Table:
    """Time, text size and memory to accept a JSON document of 100 to 35,000 servers."""
    table = Table(("servers", "accept ms", "text MB", "view MB"))
    for indexes, services, replicas in ((1, 50, 2), (1, 140, 10), (5, 140, 10), (25, 140, 10)):
        layout = Layout(indexes=indexes, services=services, replicas=replicas)
        table.add(layout.servers, *_acceptance(layout))
    return table


@slopes.register("groups")
def vary_groups() -> Table:
    """Time, text size and memory to accept a JSON document of 1,400 servers and 1 to 300 groups."""
    table = Table(("groups", "accept ms", "text MB", "view MB"))
    for groups in (1, 30, 100, 300):
        table.add(groups, *_acceptance(Layout(groups_per_index=groups)))
    return table


def _acceptance(layout: Layout) -> tuple[float, ...]:
    text = document_text(layout)
    accept_ms = lowest_of_repeats(lambda: (_timed_ms(partial(_accept, text)),))[0]
    gc.collect()
    tracemalloc.start()
    view = _accept(text)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert view
    return accept_ms, len(text) / MB, used / MB


def _accept(text: str) -> Verdict:
    with no_size_limit():
        return accept.__wrapped__(text)


def _timed_ms(work: Callable[[], object]) -> float:
    gc.collect()
    started = time.thread_time_ns()
    work()
    return (time.thread_time_ns() - started) / NS_PER_MS


@slopes.register("change")
def vary_changed_document() -> Table:
    """CPU time of one daemon among 100 to accept and apply a changed document."""
    table = Table(("servers", "whole change ms"))
    for indexes in (1, 5, 25):
        layout = Layout(indexes=indexes)
        fleet = SimulatedFleet(100, layout)
        fleet.run(1.0)
        fleet.daemon.meter.clear()
        fleet.post(DocumentRead(document_text(layout, revision=2), fleet.now))
        fleet.run(0.02)
        table.add(layout.servers, fleet.daemon.meter.seconds["DocumentRead"] * MS_PER_S)
    return table
