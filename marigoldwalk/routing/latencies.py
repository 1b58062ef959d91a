"""Usual latencies of a route's attempts, measured from recent answers."""

from __future__ import annotations

from collections import deque

SAMPLES = 256
"""Answers that are remembered, about a second of a route's traffic at one daemon."""
REFRESH_EVERY = 16
"""Answers between two computations of the quantiles."""
HIGH_QUANTILE = 0.8
"""Quantile that counts as the high end of what is usual. It lies below the share of answers that
pauses and slow servers delay, so that these do not move it."""
FIRST_MEDIAN_SHARE = 0.17
"""Median before any answer, as a share of the route's target."""
FIRST_HIGH_SHARE = 0.25
"""High end before any answer, as a share of the route's target."""


class LatencyTracker:
    """Keep the median and the high end of recent latencies, in seconds."""

    def __init__(self, target_s: float) -> None:
        self.median_s = FIRST_MEDIAN_SHARE * target_s
        self.high_s = FIRST_HIGH_SHARE * target_s
        self._samples: deque[float] = deque(maxlen=SAMPLES)
        self._since_refresh = 0

    def note(self, latency_s: float) -> None:
        """Take an answer's latency into account."""
        self._samples.append(latency_s)
        self._since_refresh += 1
        if self._since_refresh >= REFRESH_EVERY:
            self._refresh()

    def _refresh(self) -> None:
        self._since_refresh = 0
        ordered = sorted(self._samples)
        self.median_s = ordered[len(ordered) // 2]
        self.high_s = ordered[int(len(ordered) * HIGH_QUANTILE)]
