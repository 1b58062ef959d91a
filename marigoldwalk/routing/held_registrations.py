"""Registrations that would bring a server back, but may be older than what is known.

Load pattern: a write of a server reaches the store seconds late, after the server has said that it
is leaving, or the store is restored from a copy that is some seconds old. The store then contains
an entry that its writer has already replaced. A live writer writes again within about a second, so
such an entry counts only if it is still there after a time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .model import Registration


class HeldRegistrations:
    """The registrations that are not applied yet, by server.

    ::

        held.hold(registration, until=now + 5.0)
        held.forget(server_id)  # the store has a later entry, or none
        for registration in held.take_due(now):
            catalog.apply_registration(registration, now)
    """

    def __init__(self) -> None:
        self._held: dict[str, tuple[float, Registration]] = {}

    def hold(self, registration: Registration, until: float) -> None:
        """Keep *registration* until the time *until*."""
        self._held[registration.server_id] = (until, registration)

    def forget(self, server_id: str) -> None:
        """Drop the registration of a server, since the store has replaced or removed it."""
        self._held.pop(server_id, None)

    def clear(self) -> None:
        """Drop all registrations."""
        self._held.clear()

    def take_due(self, now: float) -> list[Registration]:
        """Remove and return the registrations whose time has come."""
        due = [registration for until, registration in self._held.values() if until <= now]
        for registration in due:
            self.forget(registration.server_id)
        return due
