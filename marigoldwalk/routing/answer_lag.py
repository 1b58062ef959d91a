"""The lag of answers that are due at their target time.

Load pattern: many fan-out queries on a small machine, where events wait for the processor and
occasionally a single timer fires late. Answers are scheduled earlier by the lag that is usual on
the machine. A single late timer is ignored, since answering earlier leaves out shards.
"""

from __future__ import annotations

from collections import deque

SAMPLES = 16
"""Number of latest answers considered; one of them may be late without effect."""


class AnswerLagTracker:
    """The second-highest lag, in seconds, among the latest due answers."""

    def __init__(self) -> None:
        self.lag_s = 0.0
        self._samples: deque[float] = deque(maxlen=SAMPLES)

    def record(self, lag_s: float) -> None:
        """Record the lag of one answer."""
        self._samples.append(lag_s)
        highest = sorted(self._samples)[-2:]
        self.lag_s = highest[0]
