"""Queue waits: how long work waits at a home, as estimated there and reported to entries."""

from __future__ import annotations

from itertools import accumulate
from typing import TYPE_CHECKING

from . import health

if TYPE_CHECKING:
    from ...config.view import ReplicaSet
    from ..peer_messages import BlockRequest
    from ..world import World

MAX_WAIT_RATIO = 0.5
"""Part of the remaining time that work may be expected to wait at a home."""
MAX_ADMISSION_WAIT_RATIO = 0.4
"""The same at admission; lower, since an entry's view of the queues lags behind."""
PRIORITIES_COUNT = 4
"""Priorities with a wait of their own; lower ones count as the last of these."""
_NO_WAITS = (0.0,) * PRIORITIES_COUNT


def expected_wait_s(world: World, replicas: ReplicaSet, priority: int) -> float:
    """Estimate how long new work of *priority* would wait for a replica, in seconds."""
    return _waits_s(world, replicas)[min(priority, PRIORITIES_COUNT - 1)]


def _waits_s(world: World, replicas: ReplicaSet) -> tuple[float, ...]:
    """Estimate how long new work of each priority would wait, in seconds."""
    queue = world.queues.get(replicas.name)
    if not queue:
        return _NO_WAITS
    waiting = [0] * PRIORITIES_COUNT
    for priority, _, item in queue:
        # Failed items stay in the queue until their turn comes.
        if item in world.items:
            waiting[min(priority, PRIORITIES_COUNT - 1)] += 1
    reply_interval_s = _reply_interval_s(world, replicas)
    return tuple(ahead * reply_interval_s for ahead in accumulate(waiting))


def _reply_interval_s(world: World, replicas: ReplicaSet) -> float:
    """Return the mean time between two replies of a busy replica set, in seconds."""
    names = [server.name for server in replicas.servers]
    rows = [world.servers[name] for name in names if name in world.servers]
    slowest_s = max((row.latency.quantile(0.5, 0.0) for row in rows), default=0.0)
    if not slowest_s:
        return 0.0
    serving = [row for row in rows if health.is_serving(world, row)]
    replies_per_s = sum(row.limit / row.latency.quantile(0.5, slowest_s) for row in serving)
    return 1.0 / replies_per_s if replies_per_s else slowest_s


def is_wait_too_long(world: World, request: BlockRequest, replicas: ReplicaSet) -> bool:
    """Return whether new work of *request* would wait too long to be worth queueing."""
    max_wait_s = (request.deadline - world.now) * MAX_WAIT_RATIO
    return expected_wait_s(world, replicas, request.priority) > max_wait_s


def estimate_waits(world: World, block: str) -> tuple[float, ...]:
    """Estimate for each priority how long new work would wait in the block's slowest queue."""
    if world.view is None or block not in world.view.block_by_name:
        return ()
    waits_by_queue = [
        _waits_s(world, replicas) for replicas in world.view.replica_sets_of_block[block]
    ]
    return tuple(map(max, zip(*waits_by_queue, strict=True)))


def record_waits(world: World, block: str, waits_s: tuple[float, ...]) -> None:
    """Record the queue waits that a home sent with a status or reply."""
    row = world.blocks.get(block)
    if row is not None and waits_s:
        row.waits_s = waits_s
        row.waits_at = world.now
