"""Weighted selection among the services of a split route."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .model import Route


class SplitChooser:
    """Smooth weighted round robin: each service gets its share over any sequence of requests."""

    def __init__(self) -> None:
        self._credits: dict[tuple[str, str], float] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of *route*."""
        if len(route.splits) == 1:
            return route.splits[0].service
        total = sum(split.weight for split in route.splits)
        best = ""
        best_credit = float("-inf")
        for split in route.splits:
            key = (route.name, split.service)
            credit = self._credits.get(key, 0.0) + split.weight
            self._credits[key] = credit
            if credit > best_credit:
                best, best_credit = split.service, credit
        self._credits[route.name, best] -= total
        return best
