"""The fleet-wide budget for repeated sends (retries and hedges), divided among the daemons.

Load pattern: many servers are slow or fail at the same time, and every daemon wants to send its
requests again. The budget limits the sum over the fleet in any window, so each daemon may spend a
ratio of its own first sends plus its share of the fixed part.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

BUCKET_S = 0.25
"""Length of the time buckets in which sends are counted."""
SAFETY_FACTOR = 0.9
"""Fraction of the budget that is used; the rest covers windows that begin within a bucket."""
RESERVED_SHARE = 0.35
"""Fraction of the budget that is reserved for repeats without which a query would fail."""


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Fleet-wide limit on repeats: ``ratio`` of the requests in ``window_s``, plus ``slack``."""

    ratio: float
    window_s: float
    slack: float


class RetryBudget:
    """Counts of the first and the repeated sends to one service in a sliding window.

    ::

        budget = RetryBudget(BudgetLimits(0.2, 10.0, 52.0))
        budget.record_first(now)
        if budget.allows(share=1 / 6, now=now):
            budget.record_repeat(now)
    """

    def __init__(self, limits: BudgetLimits, started_at: float = 0.0) -> None:
        self._limits = limits
        self._started_at = started_at
        self._buckets: deque[list[float]] = deque()
        self._first_count = 0.0
        self._repeat_count = 0.0

    def record_first(self, now: float) -> None:
        """Record the first send of a request to the service."""
        self._bucket(now)[1] += 1
        self._first_count += 1

    def record_repeat(self, now: float) -> None:
        """Record a repeated send of a request to the service."""
        self._bucket(now)[2] += 1
        self._repeat_count += 1

    def allows(self, share: float, now: float) -> bool:
        """Return whether this daemon's part of the budget allows one more repeat."""
        return self.remaining(share, now) >= 1.0

    def remaining(self, share: float, now: float) -> float:
        """Return how many repeats a daemon has left, given its *share* of the fixed part."""
        self._bucket(now)
        return self._total(share, now) - self._repeat_count

    def is_scarce(self, share: float, now: float) -> bool:
        """Return whether only the part reserved for otherwise failing queries is left."""
        return self.remaining(share, now) < RESERVED_SHARE * self._total(share, now)

    def _total(self, share: float, now: float) -> float:
        # A restarted daemon may already have spent part of its share in the current window, so
        # the fixed part begins at half and grows to the whole within one window.
        age = min(1.0, (now - self._started_at) / self._limits.window_s)
        fixed = self._limits.slack * share * (0.5 + 0.5 * age)
        return SAFETY_FACTOR * (self._limits.ratio * self._first_count + fixed)

    def _bucket(self, now: float) -> list[float]:
        """Return the bucket for *now*, after removing those that have left the window."""
        buckets = self._buckets
        while buckets and buckets[0][0] <= now - self._limits.window_s - BUCKET_S:
            _, first, repeat = buckets.popleft()
            self._first_count -= first
            self._repeat_count -= repeat
        if not buckets or now >= buckets[-1][0] + BUCKET_S:
            buckets.append([now, 0.0, 0.0])
        return buckets[-1]
