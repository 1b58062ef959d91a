"""The catalog of the routing configuration, the backend servers and the excluded domains."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .matching import RouteIndex
from .pace import phase_of
from .tables import ServerRow
from .workspaces import WorkspaceIndex

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator

    from .model import Registration, Route, RoutingConfig, Service


KEPT_VERSIONS = 8
"""Number of configuration versions kept, for queries that other daemons started under them."""
MAX_DEPARTED = 4000
"""Number of removed servers that are remembered; the oldest ones are forgotten first."""
UNLIMITED_CONNECTIONS = 1_000_000
"""Value of the connection limit if there are no shards."""


class Catalog:
    """The configuration in force and the table of backend servers.

    Configuration versions only increase, so neither a stale source nor a store that was restored
    from a copy can bring back an older one. Registrations are applied in the order in which the
    store has accepted them: what a server states of itself (its start and its sequence number) is
    no order, since its clock may be set back and other writers may use its id::

        catalog = Catalog()
        catalog.apply_config(config)
        catalog.apply_registration(registration, now)
        rows = catalog.usable_servers("stock-1")
    """

    def __init__(self) -> None:
        self.config: RoutingConfig | None = None
        self.daemon_name = ""
        """The name of this daemon, which spreads the daemons' first requests to a server."""
        self.rows: dict[str, ServerRow] = {}
        self.excluded_domains: frozenset[str] = frozenset()
        self.shards: frozenset[str] = frozenset()
        """The services that serve a shard of any route."""
        self.confirmed_at = float("-inf")
        """The latest time for which it is known that the store held nothing newer."""
        self.heard_at = float("-inf")
        """When the store, or a daemon that reads it, last answered this daemon."""
        self._top_priorities: dict[str, int] = {}
        """The most urgent priority among the routes of each service."""
        self._groups: dict[str, str] = {}
        """The fan-out route of each service that serves a shard."""
        self._routes: dict[int, RouteIndex] = {}
        self._workspaces: dict[int, WorkspaceIndex] = {}
        self._by_service: dict[str, list[ServerRow]] = {}
        self._departed: dict[str, ServerRow] = {}
        """The last entries of removed servers by id, in the order of their removal."""

    def apply_config(self, config: RoutingConfig) -> bool:
        """Apply *config* if it is newer than the one in force; return whether it was applied."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self._routes[config.version] = RouteIndex(config.routes)
        self._workspaces[config.version] = WorkspaceIndex(config.workspaces)
        if len(self._routes) > KEPT_VERSIONS:
            oldest = min(self._routes)
            del self._routes[oldest], self._workspaces[oldest]
        self._groups = {s: r.name for r in config.routes if r.fan_out for s in r.services}
        fan_outs = [route.fan_out for route in config.routes if route.fan_out is not None]
        self.shards = frozenset(shard for fan_out in fan_outs for shard in fan_out.shards)
        self._top_priorities = _top_priorities(config.routes)
        return True

    def is_most_urgent(self, route: Route, service: str) -> bool:
        """Return whether no route of *service* is more urgent than *route*."""
        return route.priority <= self._top_priorities.get(service, route.priority)

    def group_of(self, service: str) -> str:
        """Return a name that the shards of one query have in common; of others, the service."""
        return self._groups.get(service, service)

    def knows_version(self, version: int) -> bool:
        """Return whether *version* is the one in force or one of those kept."""
        return version in self._routes

    def find_route(self, host: str, path: str, version: int | None = None) -> Route | None:
        """Return the route of a request under *version*, which defaults to the version in force."""
        if version is None and self.config is not None:
            version = self.config.version
        index = self._routes.get(version)
        return index.find(host, path) if index is not None else None

    def workspaces(self, version: int) -> WorkspaceIndex | None:
        """Return the workspaces of *version*, or ``None`` if that version is not kept."""
        return self._workspaces.get(version)

    def has_workspaces(self, version: int) -> bool:
        """Return whether requests under *version* may carry keys; true if it is not kept."""
        index = self._workspaces.get(version)
        return index is None or not index.is_empty

    def service(self, name: str) -> Service | None:
        """Return the settings of a service in the configuration in force."""
        return self.config.services.get(name) if self.config else None

    @property
    def min_shard_connections(self) -> int:
        """The lowest connection limit of any shard's servers; no limit if there are no shards."""
        services = [self.config.services.get(shard) for shard in self.shards]
        return min((s.max_connections for s in services if s), default=UNLIMITED_CONNECTIONS)

    def usable_servers(self, service: str) -> list[ServerRow]:
        """Return the servers of *service* that may receive new requests."""
        return [row for row in self._by_service.get(service, ()) if self._is_usable(row)]

    def registered_servers(self, service: str) -> list[ServerRow]:
        """Return all registered servers of *service*, including draining and excluded ones."""
        return self._by_service.get(service, [])

    def apply_registration(self, new: Registration, now: float) -> bool:
        """Apply a server's registration; return whether it changed anything."""
        row = self.rows.get(new.server_id)
        if row is not None and row.drop_at is None and row.registration == new:
            return False
        if row is None or _is_other_incarnation(row.registration, new):
            self._replace(new, now)
        else:
            self._update(row, new, now)
        return True

    def remove(self, server_id: str) -> bool:
        """Remove a server whose registration was deleted; return whether it was known."""
        row = self.rows.pop(server_id, None)
        if row is None:
            return False
        self._by_service[row.registration.service].remove(row)
        self._departed.pop(server_id, None)
        self._departed[server_id] = row
        if len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]
        return True

    def may_be_outdated(self, new: Registration) -> bool:
        """Return whether *new* ends a server's leaving, but may have been written before it.

        A write can reach the store late. The counts that it states are then those of the time at
        which it was written.
        """
        row = self.rows.get(new.server_id)
        if row is not None:
            known = row.registration
            return known.draining and not new.draining and _counts(new) <= _counts(known)
        departed = self._departed.get(new.server_id)
        if departed is None or departed.registration.started_at_ms != new.started_at_ms:
            return False
        return new.sequence <= departed.registration.sequence

    def is_from_before(self, copy: Registration) -> bool:
        """Return whether an entry of a restored store is older than what is known of its server."""
        row = self.rows.get(copy.server_id)
        if row is not None:
            return _counts(copy) < _counts(row.registration)
        departed = self._departed.get(copy.server_id)
        return departed is not None and _counts(copy) <= _counts(departed.registration)

    def mark_removed(self, server_id: str, drop_at: float) -> None:
        """Drop a server at *drop_at* unless it registers again, since it may still be alive."""
        row = self.rows.get(server_id)
        if row is not None and row.drop_at is None:
            row.drop_at = drop_at

    def drop_removed(self, now: float) -> list[str]:
        """Remove the servers that have not registered again in time; return their ids."""
        expired = [
            row.server_id
            for row in self.rows.values()
            if row.drop_at is not None and row.drop_at <= now
        ]
        for server_id in expired:
            self.remove(server_id)
        return expired

    def exclude(self, domains: Collection[str]) -> None:
        """Replace the set of failure domains whose servers receive no new requests."""
        self.excluded_domains = frozenset(domains)

    def __iter__(self) -> Iterator[ServerRow]:
        return iter(self.rows.values())

    def _is_usable(self, row: ServerRow) -> bool:
        registration = row.registration
        return not registration.draining and registration.domain not in self.excluded_domains

    def _replace(self, new: Registration, now: float) -> None:
        self.remove(new.server_id)
        row = ServerRow(new, cold_until=now + new.cold_left_s)
        departed = self._departed.pop(new.server_id, None)
        if departed is not None and not _is_other_incarnation(departed.registration, new):
            # The same process registers again; what it said in its replies still holds.
            row.leaving_at = departed.leaving_at
            row.paused_until = departed.paused_until
            row.rate_limit = departed.rate_limit
            row.pace = departed.pace
        elif departed is not None or new.cold_left_s > 0:
            self._begin_pace(row, now, departed)
        self.rows[new.server_id] = row
        self._by_service.setdefault(new.service, []).append(row)

    def _update(self, row: ServerRow, new: Registration, now: float) -> None:
        if new.cold_left_s != row.registration.cold_left_s:
            row.cold_until = now + new.cold_left_s
            if new.cold_left_s > row.registration.cold_left_s:
                self._begin_pace(row, now, row)
        row.registration = new
        row.drop_at = None

    def _begin_pace(self, row: ServerRow, now: float, earlier: ServerRow | None) -> None:
        """Let a server that has started or become cold again get few requests at first.

        What *earlier*, its state before that, says about the load it bears still holds. A service
        that states a rate for cold servers says itself what they bear.
        """
        if earlier is not None:
            row.pace.threshold = earlier.pace.threshold
        service = self.service(row.registration.service)
        if service is None or service.cold_per_s <= 0:
            row.pace.begin(now, phase_of(self.daemon_name, row.server_id))


def _top_priorities(routes: Iterable[Route]) -> dict[str, int]:
    priorities: dict[str, int] = {}
    for route in routes:
        for service in route.services:
            priorities[service] = min(route.priority, priorities.get(service, route.priority))
    return priorities


def _counts(registration: Registration) -> tuple[int, int]:
    """Return what the server itself counts; it orders the writes of a server without a fault."""
    return registration.started_at_ms, registration.sequence


def _is_other_incarnation(old: Registration, new: Registration) -> bool:
    return (old.started_at_ms, old.service, old.address) != (
        new.started_at_ms,
        new.service,
        new.address,
    )
