"""Rate limits for requests to cold servers.

Load pattern: the servers of a failure domain come back at the same time, all cold, and every daemon
sees them idle. A cold server can take a stated rate from all daemons together, so each daemon sends
only its share.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .model import Service
    from .tables import ServerRow
    from .world import RoutingLimits

WINDOW_S = 1.0
"""The time window for which the limit is stated."""
SAFETY_FACTOR = 0.8
"""Fraction of the limit that is used, since requests may arrive later and closer together than they
were sent."""


class ColdRateLimiter:
    """Counts of the sends to cold servers in a sliding window of one second."""

    def __init__(self, limits: RoutingLimits) -> None:
        self._limits = limits
        self._sent: dict[str, deque[float]] = {}

    def allows(self, row: ServerRow, service: Service | None, share: float, now: float) -> bool:
        """Return whether this daemon may send a request to *row*; always true if it is warm."""
        if service is None or service.cold_per_s <= 0 or row.cold_until <= now:
            return True
        return len(self._recent(row.server_id, now)) < self.limit(service, share)

    def limit(self, service: Service, share: float) -> int:
        """Return how many requests per second this daemon may send to a cold server.

        The result is rounded down, possibly to zero, so that the fleet as a whole keeps within the
        limit without coordination.
        """
        total = service.cold_per_s * self._limits.cold_factor + self._limits.cold_slack
        return math.floor(SAFETY_FACTOR * total * share)

    def record(self, row: ServerRow, now: float) -> None:
        """Record a send to *row* if it is cold."""
        if row.cold_until > now:
            self._recent(row.server_id, now).append(now)
        else:
            self._sent.pop(row.server_id, None)

    def _recent(self, server_id: str, now: float) -> deque[float]:
        sent = self._sent.setdefault(server_id, deque())
        while sent and sent[0] <= now - WINDOW_S:
            sent.popleft()
        return sent
