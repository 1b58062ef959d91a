"""Policies that adjust the concurrency limit of a server."""

from __future__ import annotations

from collections.abc import Callable

from ...util.registry import Registry

LimitPolicy = Callable[[int], int]
"""Returns the new limit of a server that shed work at the given limit."""


limit_policies: Registry[LimitPolicy] = Registry("limit policy")


@limit_policies.register("halve")
def halve(limit: int) -> int:
    """Halve the limit, but not below 1."""
    return max(limit // 2, 1)
