"""The fleet's budget of repeated sends, shared out among daemons.

Load pattern: many servers slow or failing at once, when every daemon wants to send again. The
budget is a sum over the fleet in any window, so each daemon spends a ratio of its own first sends
and an equal share of the fixed part.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

STEP_S = 0.25
"""Width of the steps in which sends are counted."""
MARGIN = 0.9
"""Share of the budget that is spent; the rest covers windows that begin within a step."""
SCARCE_SHARE = 0.35
"""Part of the budget that is kept for repeats without which a query would fail."""


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """What the fleet may repeat: ``ratio`` of the requests in ``window_s`` plus ``slack``."""

    ratio: float
    window_s: float
    slack: float


class RetryBudget:
    """Count first and repeated sends to one service in a sliding window.

    ::

        budget = RetryBudget(BudgetLimits(0.2, 10.0, 52.0))
        budget.note_first(now)
        if budget.allows(share=1 / 6, now=now):
            budget.note_repeat(now)
    """

    def __init__(self, limits: BudgetLimits, started_at: float = 0.0) -> None:
        self._limits = limits
        self._started_at = started_at
        self._steps: deque[list[float]] = deque()
        self._first_count = 0.0
        self._repeat_count = 0.0

    def note_first(self, now: float) -> None:
        """Count the first send of a request to the service."""
        self._step(now)[1] += 1
        self._first_count += 1

    def note_repeat(self, now: float) -> None:
        """Count any further send of a request to the service."""
        self._step(now)[2] += 1
        self._repeat_count += 1

    def allows(self, share: float, now: float) -> bool:
        """Return whether one more repeat keeps within this daemon's part of the budget."""
        return self.left(share, now) >= 1.0

    def left(self, share: float, now: float) -> float:
        """Return how many repeats are left to a daemon with *share* of the fleet's fixed part."""
        self._step(now)
        return self._total(share, now) - self._repeat_count

    def is_scarce(self, share: float, now: float) -> bool:
        """Return whether so little is left that it should go where it decides an answer."""
        return self.left(share, now) < SCARCE_SHARE * self._total(share, now)

    def _total(self, share: float, now: float) -> float:
        # A daemon that was restarted may have spent its share in the same window before.
        age = min(1.0, (now - self._started_at) / self._limits.window_s)
        fixed = self._limits.slack * share * (0.5 + 0.5 * age)
        return MARGIN * (self._limits.ratio * self._first_count + fixed)

    def _step(self, now: float) -> list[float]:
        """Return the step of *now* after forgetting those out of the window."""
        steps = self._steps
        while steps and steps[0][0] <= now - self._limits.window_s - STEP_S:
            _, first, repeat = steps.popleft()
            self._first_count -= first
            self._repeat_count -= repeat
        if not steps or now >= steps[-1][0] + STEP_S:
            steps.append([now, 0.0, 0.0])
        return steps[-1]
