"""Strategies that choose the replica for a subrequest."""

from __future__ import annotations

from collections.abc import Callable

from ...util.registry import Registry
from ..tables import ServerRow

ReplicaChoice = Callable[[list[ServerRow]], ServerRow]
"""Chooses one server from a non-empty list of servers that all have a free slot."""


replica_choices: Registry[ReplicaChoice] = Registry("replica choice")


SLOW_RATIO = 2.0
"""Multiple of the fastest replica's median latency above which a replica is avoided."""


@replica_choices.register("least_loaded")
def least_loaded(candidates: list[ServerRow]) -> ServerRow:
    """Choose the replica with the fewest running subrequests, then the least recently used one.

    This keeps all replicas warm. A replica that is far slower than the fastest one comes last.
    """
    if len(candidates) == 1:
        return candidates[0]
    medians_s = [row.latency.quantile(0.5, 0.0) for row in candidates]
    limit_s = min(medians_s) * SLOW_RATIO
    slow = {
        row.name
        for row, median_s in zip(candidates, medians_s, strict=True)
        if limit_s and median_s > limit_s
    }
    return min(
        candidates,
        key=lambda row: (row.name in slow, len(row.running), row.sent_at, row.name),
    )
