"""Beliefs that outlast a restore of the platform's store from a copy.

Load pattern: the store comes back from a copy that is some seconds old, in a new era. What was
written since the copy is gone until its writers write it again: evacuations are missing, servers
that registered lately are absent, and servers that had left are present. Beliefs that restrict
sending therefore hold for a bounded time, in which the writers write again; beliefs that allow more
come from the new era alone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

SETTLE_S = 5.0
"""Time in which everything that is still true is written again. Servers write every second or so,
and the registration of one that has left expires after three missed heartbeats."""


class EraChange:
    """The beliefs held after the latest change of era, until the new one has settled.

    ::

        change.begin(excluded_domains, now)
        catalog.exclude(excluded | change.held_domains)
        ...
        change.end_if_settled(now)
    """

    def __init__(self) -> None:
        self.settled_at = float("-inf")
        """When the writers have had time to write everything again."""
        self.held_domains: set[str] = set()
        """Failure domains that were excluded before the change and stay so for now."""

    def begin(self, excluded_domains: Iterable[str], now: float) -> None:
        """Hold the beliefs of the era that has ended; another change may still be settling."""
        self.settled_at = now + SETTLE_S
        self.held_domains.update(excluded_domains)

    def is_settling(self, now: float) -> bool:
        """Return whether what the store does not contain may still be written again."""
        return now < self.settled_at

    def release_domain(self, domain: str) -> None:
        """Stop holding the exclusion of *domain*, since the new era has withdrawn it."""
        self.held_domains.discard(domain)

    def end_if_settled(self, now: float) -> None:
        """Release all beliefs once the new era has settled."""
        if not self.is_settling(now):
            self.held_domains.clear()
