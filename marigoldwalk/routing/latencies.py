"""Latency quantiles of a route's attempts, computed from recent answers."""

from __future__ import annotations

from collections import deque

SAMPLES = 256
"""Number of latest answers considered, about one second of a route's traffic at one daemon."""
REFRESH_EVERY = 16
"""Number of answers between two computations of the quantiles."""
HIGH_QUANTILE = 0.8
"""Quantile used as the high end of the usual latencies. It is low enough that answers delayed by
pauses and slow servers do not affect it."""
INITIAL_MEDIAN_SHARE = 0.17
"""Initial median, as a fraction of the route's target."""
FLOOR_GROWTH = 1.001
"""Factor by which the lowest median grows at each computation, so that it follows a route whose
requests become slower for good."""
INITIAL_HIGH_SHARE = 0.25
"""Initial high quantile, as a fraction of the route's target."""


class LatencyTracker:
    """The median and the high quantile of recent latencies, in seconds."""

    def __init__(self, target_s: float) -> None:
        self.median_s = INITIAL_MEDIAN_SHARE * target_s
        self.high_s = INITIAL_HIGH_SHARE * target_s
        self.floor_s = self.median_s
        """The lowest recent median: the latency of an attempt at servers that are not busy."""
        self._samples: deque[float] = deque(maxlen=SAMPLES)
        self._since_refresh = 0

    def record(self, latency_s: float) -> None:
        """Record the latency of one answer."""
        self._samples.append(latency_s)
        self._since_refresh += 1
        if self._since_refresh >= REFRESH_EVERY:
            self._refresh()

    def _refresh(self) -> None:
        self._since_refresh = 0
        ordered = sorted(self._samples)
        self.median_s = ordered[len(ordered) // 2]
        self.high_s = ordered[int(len(ordered) * HIGH_QUANTILE)]
        self.floor_s = min(self.median_s, self.floor_s * FLOOR_GROWTH)
