"""Policies for when an answer that does not cover every shard may be sent."""

from __future__ import annotations

from collections.abc import Callable

from ...util.registry import Registry

DIMINISHING_RATIO = 0.7
"""Fraction of the time to the deadline after which waiting for the last shards ends."""


CoveragePolicy = Callable[[float, float], float]
"""Returns from when on a query may be answered with its group's minimum coverage, given the time of
its arrival and its deadline. All times are in Unix seconds."""


coverage_policies: Registry[CoveragePolicy] = Registry("coverage policy")


@coverage_policies.register("wait")
def wait_to_deadline(received_at: float, deadline: float) -> float:
    """Wait for the last shards until the deadline."""
    return deadline


@coverage_policies.register("diminishing")
def stop_early(received_at: float, deadline: float) -> float:
    """Stop waiting for the last shards once ``DIMINISHING_RATIO`` of the time has passed."""
    return received_at + (deadline - received_at) * DIMINISHING_RATIO
