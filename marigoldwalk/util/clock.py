"""The clock of a daemon's core."""

from __future__ import annotations

import time


class Clock:
    """A monotonic clock in Unix seconds: the time at start plus the time elapsed since.

    A correction of the system clock while the daemon runs does not change it.
    """

    def __init__(self) -> None:
        self.started_at = time.time()
        self._origin = time.monotonic()

    def now(self) -> float:
        """Return the current time in Unix seconds."""
        return self.started_at + time.monotonic() - self._origin
