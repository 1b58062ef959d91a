"""What a daemon believes of configuration, servers and domains out of service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .matching import RouteIndex
from .tables import ServerRow

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from .model import Registration, Route, RoutingConfig, Service


KEPT_VERSIONS = 8
"""Versions of the configuration that are kept for queries which others began under them."""
MANY_CONNECTIONS = 1_000_000
"""Stands for no limit."""


class Catalog:
    """Configuration in force and the table of backend servers.

    Versions of the configuration and incarnations of servers only ever rise, so a source that lags
    cannot bring an older one back. Facts come with the store's revision at which they hold::

        catalog = Catalog()
        catalog.apply_config(config)
        catalog.apply_registration(registration, now)
        rows = catalog.servers_of("stock-1")
    """

    def __init__(self) -> None:
        self.config: RoutingConfig | None = None
        self.rows: dict[str, ServerRow] = {}
        self.excluded_domains: frozenset[str] = frozenset()
        self.shards: frozenset[str] = frozenset()
        """The services that hold a shard of some route."""
        self._routes: dict[int, RouteIndex] = {}
        self._by_service: dict[str, list[ServerRow]] = {}

    def apply_config(self, config: RoutingConfig) -> bool:
        """Put *config* in force unless a version at least as new is; returns whether it was."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self._routes[config.version] = RouteIndex(config.routes)
        if len(self._routes) > KEPT_VERSIONS:
            del self._routes[min(self._routes)]
        gathers = [route.gather for route in config.routes if route.gather is not None]
        self.shards = frozenset(shard for gather in gathers for shard in gather.shards)
        return True

    def knows_version(self, version: int) -> bool:
        """Return whether *version* is in force or was a short while ago."""
        return version in self._routes

    def find_route(self, host: str, path: str, version: int | None = None) -> Route | None:
        """Return the route of a request under *version*, by default the one in force."""
        if version is None and self.config is not None:
            version = self.config.version
        index = self._routes.get(version)
        return index.find(host, path) if index is not None else None

    def service(self, name: str) -> Service | None:
        """Return a service's description under the configuration in force."""
        return self.config.services.get(name) if self.config else None

    @property
    def min_shard_connections(self) -> int:
        """The fewest connections that a server of any shard takes; many if there are no shards."""
        services = [self.config.services.get(shard) for shard in self.shards]
        return min((s.max_connections for s in services if s), default=MANY_CONNECTIONS)

    def servers_of(self, service: str) -> list[ServerRow]:
        """Return the servers that may get new work of *service*."""
        return [row for row in self._by_service.get(service, ()) if self._is_usable(row)]

    def registered_servers(self, service: str) -> list[ServerRow]:
        """Return all registered servers of *service*, draining and excluded ones included."""
        return self._by_service.get(service, [])

    def apply_registration(self, new: Registration, now: float) -> bool:
        """Take in what a server says of itself; returns whether that changed anything."""
        row = self.rows.get(new.server_id)
        if row is not None and _order(new) < _order(row.registration):
            return False
        if row is not None and row.removed_at is None and row.registration == new:
            return False
        if row is None or _is_other_incarnation(row.registration, new):
            self._replace(new, now)
        else:
            self._update(row, new, now)
        return True

    def remove(self, server_id: str) -> bool:
        """Drop a server whose registration is gone; returns whether it was known."""
        row = self.rows.pop(server_id, None)
        if row is None:
            return False
        self._by_service[row.registration.service].remove(row)
        return True

    def mark_removed(self, server_id: str, now: float) -> None:
        """Note that a registration is gone while its server may still be alive."""
        row = self.rows.get(server_id)
        if row is not None and row.removed_at is None:
            row.removed_at = now

    def drop_removed(self, before: float) -> list[str]:
        """Drop the servers marked as removed earlier than *before*; returns their ids."""
        late = [
            row.server_id
            for row in self.rows.values()
            if row.removed_at is not None and row.removed_at < before
        ]
        for server_id in late:
            self.remove(server_id)
        return late

    def exclude(self, domains: Collection[str]) -> None:
        """Replace the failure domains whose servers get nothing new."""
        self.excluded_domains = frozenset(domains)

    def __iter__(self) -> Iterator[ServerRow]:
        return iter(self.rows.values())

    def _is_usable(self, row: ServerRow) -> bool:
        registration = row.registration
        return not registration.draining and registration.domain not in self.excluded_domains

    def _replace(self, new: Registration, now: float) -> None:
        self.remove(new.server_id)
        row = ServerRow(new, cold_until=now + new.cold_left_s)
        self.rows[new.server_id] = row
        self._by_service.setdefault(new.service, []).append(row)

    def _update(self, row: ServerRow, new: Registration, now: float) -> None:
        if new.cold_left_s != row.registration.cold_left_s:
            row.cold_until = now + new.cold_left_s
        row.registration = new
        row.removed_at = None


def _order(registration: Registration) -> tuple[int, int]:
    return registration.started_at_ms, registration.sequence


def _is_other_incarnation(old: Registration, new: Registration) -> bool:
    return (old.started_at_ms, old.service, old.address) != (
        new.started_at_ms,
        new.service,
        new.address,
    )
