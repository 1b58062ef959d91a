"""How many requests a cold server gets.

Load pattern: a failure domain's servers come back together, all cold, and every daemon finds them
idle. A cold server bears a stated rate from all daemons together, so each one sends its share.
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
"""The time over which the bound is stated."""
MARGIN = 0.8
"""Share of the bound that is used; sends arrive later and closer together than they left."""


class ColdAllowances:
    """Count the sends to cold servers in a sliding second."""

    def __init__(self, limits: RoutingLimits) -> None:
        self._limits = limits
        self._sent: dict[str, deque[float]] = {}

    def allows(self, row: ServerRow, service: Service | None, share: float, now: float) -> bool:
        """Return whether *row*, if it is cold, may get one more request from this daemon."""
        if service is None or service.cold_per_s <= 0 or row.cold_until <= now:
            return True
        return len(self._recent(row.server_id, now)) < self.bound(service, share)

    def bound(self, service: Service, share: float) -> int:
        """Return how many requests a second this daemon may send to a cold server.

        A share below one request means none: the fleet's sum must hold without coordination.
        """
        total = service.cold_per_s * self._limits.cold_factor + self._limits.cold_slack
        return math.floor(MARGIN * total * share)

    def note(self, row: ServerRow, now: float) -> None:
        """Count a send to *row* if it is cold."""
        if row.cold_until > now:
            self._recent(row.server_id, now).append(now)
        else:
            self._sent.pop(row.server_id, None)

    def _recent(self, server_id: str, now: float) -> deque[float]:
        sent = self._sent.setdefault(server_id, deque())
        while sent and sent[0] <= now - WINDOW_S:
            sent.popleft()
        return sent
