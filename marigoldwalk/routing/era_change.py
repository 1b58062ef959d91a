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

    from .model import Registration

SETTLE_S = 5.0
"""Time in which everything that is still true is written again. Servers write every second or so,
and the registration of one that has left expires after three missed heartbeats."""


class EraChange:
    """The beliefs held after the latest change of era, until the new one has settled.

    ::

        change.begin(excluded_domains, now)
        change.defer(registration)  # of a server that had left before the change
        ...
        for registration in change.take_settled(now):
            catalog.apply_registration(registration, now)
    """

    def __init__(self) -> None:
        self.settled_at = float("-inf")
        """When the writers have had time to write everything again."""
        self.held_domains: set[str] = set()
        """Failure domains that were excluded before the change and stay so for now."""
        self._deferred: dict[str, Registration] = {}

    def begin(self, excluded_domains: Iterable[str], now: float) -> None:
        """Hold the beliefs of the era that has ended; another change may still be settling."""
        self.settled_at = now + SETTLE_S
        self.held_domains.update(excluded_domains)
        self._deferred.clear()

    def is_settling(self, now: float) -> bool:
        """Return whether what the store does not contain may still be written again."""
        return now < self.settled_at

    def defer(self, registration: Registration) -> None:
        """Keep a registration of a server that had left; a live server is used once settled."""
        self._deferred[registration.server_id] = registration

    def forget_server(self, server_id: str) -> None:
        """Drop a deferred registration, since the new era has deleted or replaced it."""
        self._deferred.pop(server_id, None)

    def release_domain(self, domain: str) -> None:
        """Stop holding the exclusion of *domain*, since the new era has withdrawn it."""
        self.held_domains.discard(domain)

    def take_settled(self, now: float) -> list[Registration]:
        """End the change once it has settled; return the registrations that are still valid."""
        if self.is_settling(now):
            return []
        self.held_domains.clear()
        settled = list(self._deferred.values())
        self._deferred.clear()
        return settled
