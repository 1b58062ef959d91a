"""Requests that arrive before a daemon has read its first configuration.

Load pattern: all daemons have lost power and start at the same moment. Connections wait at the
listeners while the daemons load their modules, and their requests are then read at once, a fraction
of a second before the configuration is known. A refusal would use up the retry of a caller, which
finds no other daemon that is ready. The configuration is expected soon, so these requests are held
until it has been read. If the first read of the store fails, it is not known when the configuration
arrives, and requests are refused at once.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_HOLD_S = 0.8
"""Time after the start for which requests are held at most: the response timeout of the store."""


@dataclass(slots=True)
class FirstRead:
    """Whether the first read of the store is still going on."""

    started_at: float
    has_ended: bool = False

    def hold_s(self, now: float) -> float:
        """Return for how long a request that arrives at *now* may be held; 0 if it may not."""
        if self.has_ended:
            return 0.0
        return max(0.0, self.started_at + MAX_HOLD_S - now)
