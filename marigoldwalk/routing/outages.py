"""Removed servers that may still be alive, since the store was away.

Load pattern: the store is away for longer than the entries of servers last without being written.
Live servers then lose their entries, some hundreds at the same moment, and register again within
two seconds of its return. Without them every request would fail meanwhile.

A single failed call is no outage: the store refuses a call, cuts a watch or turns this daemon away
and serves the others. A server whose entry goes then is leaving, and must receive nothing more soon
after the store has removed it. That cannot have been before the last answer without the removal.
"""

from __future__ import annotations

REREGISTRATION_S = 2.2
"""Time after an outage of the store within which live servers register again: 2 s plus a margin.
Without an answer for as long, and several failures, the store counts as having been away."""
MIN_FAILURES = 2
"""Minimum number of failed calls of an outage; a single one may wait for its whole time limit."""


class Outages:
    """Until when removals are put off.

    ::

        outages.record_failure(is_silent_reader=False)
        outages.record_answer(now)
        if now < outages.recovering_until:
            catalog.mark_removed(server_id, outages.recovering_until)
    """

    def __init__(self) -> None:
        self.recovering_until = float("-inf")
        """When a server whose entry is missing counts as gone."""
        self._answered_at = float("-inf")
        self._failure_count = 0
        self._concerns_store = False

    def record_failure(self, is_silent_reader: bool) -> None:
        """Record a failed call; a reader that does not answer says nothing about the store."""
        self._failure_count += 1
        self._concerns_store |= not is_silent_reader

    def record_answer(self, now: float) -> None:
        """Record an answer of the store or of a reader."""
        if self._concerns_store:
            since = now if self._is_outage(now) else self._answered_at
            self.recovering_until = max(self.recovering_until, since + REREGISTRATION_S)
        self._answered_at = now
        self._failure_count = 0
        self._concerns_store = False

    def _is_outage(self, now: float) -> bool:
        """Return whether the store has been away since the last answer."""
        silence_s = now - self._answered_at
        return self._failure_count >= MIN_FAILURES and silence_s >= REREGISTRATION_S
