"""How many subrequests at once a server is trusted with."""

from __future__ import annotations

from collections.abc import Callable

from ...util.registry import Registry

LimitPolicy = Callable[[int], int]
"""Returns the next limit of a server that shed work at the given one."""


limit_policies: Registry[LimitPolicy] = Registry("limit law")


@limit_policies.register("halve")
def halve(limit: int) -> int:
    """Cut the limit by half, never below one."""
    return max(limit // 2, 1)
