"""How late answers leave that are due at their target.

Load pattern: many wide queries on a small machine, whose events wait for the processor, and now and
then one timer that fires late by itself. Answers leave earlier by what is usual on the machine; a
single late timer does not count, since leaving early costs shards.
"""

from __future__ import annotations

from collections import deque

SAMPLES = 16
"""Answers that are remembered; one in so many may leave late before others leave earlier."""


class LagTracker:
    """Keep the lag, in seconds, that is exceeded by one of the latest due answers at most."""

    def __init__(self) -> None:
        self.lag_s = 0.0
        self._samples: deque[float] = deque(maxlen=SAMPLES)

    def note(self, lag_s: float) -> None:
        """Take the lag of one answer into account."""
        self._samples.append(lag_s)
        highest = sorted(self._samples)[-2:]
        self.lag_s = highest[0]
