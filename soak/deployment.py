"""The environment of a soak: failure domains, services, and a store with the configuration."""

from __future__ import annotations

from base64 import b64decode
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import gevent

from standins.gateway_backends import StandinStore, config_record, route_record

from .journal import Version
from .servers import Server

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from .journal import Journal

DOMAINS = ("north", "centre", "south")
SHARDS = 6
SHARD_SETS = ("a", "b")
"""Names of two sets of shards; resharding moves the index from one to the other."""
SINGLE_SERVICES = ("reads", "orders")
MIN_COVERAGE = 0.5
TOP_K = 5
MAX_ATTEMPTS = 3
TIMEOUT_S = 2.0
TARGET_LATENCY_S = 0.3
COLD_PER_S = 20.0
WORKSPACE_KEYS = {"archive": "key-of-archive", "branch": "key-of-branch"}
"""The key of each workspace."""
KEPT_PROBE_ROUTES = 2
"""Number of earlier versions whose probe routes a new version keeps."""
PAGE_SIZE = 50


@dataclass
class Deployment:
    """Backend servers and a store that has their registrations and the configuration."""

    journal: Journal
    now: Callable[[], float]
    rng: random.Random
    servers: list[Server] = field(default_factory=list)
    shard_set: str = SHARD_SETS[0]
    _version_number: int = 0
    _read_service: str = SINGLE_SERVICES[0]
    _probes: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Start the store and the servers and publish a first configuration."""
        self.store = StandinStore(PAGE_SIZE)
        for service in (*self.shards(self.shard_set), *SINGLE_SERVICES):
            self.add_servers(service, is_cold=False)
        self.publish()

    def stop(self) -> None:
        """Stop the store and all servers."""
        self.store.stop()
        for server in self.servers:
            server.stop()

    @staticmethod
    def shards(shard_set: str) -> tuple[str, ...]:
        """Return the services of a set of shards."""
        return tuple(f"{shard_set}-{n}" for n in range(SHARDS))

    def add_servers(self, service: str, is_cold: bool = True) -> None:
        """Start the servers of *service*: one in each failure domain, or in two for a shard."""
        domains = DOMAINS if service in SINGLE_SERVICES else self.rng.sample(DOMAINS, 2)
        for domain in domains:
            server = Server(service, domain, self.journal, self.now, self.rng)
            if is_cold:
                server.crash()
                server.start()
            self.servers.append(server)
            self.register(server)

    def register(self, server: Server) -> None:
        """Write the registration record of *server*."""
        self.store.put(f"servers/{server.server_id}", server.record())
        if server.is_draining:
            self.journal.leaving_since[server.server_id] = self.now()

    def unregister(self, server_id: str) -> None:
        """Delete the registration record of a server."""
        self.store.delete(f"servers/{server_id}")
        self.journal.leaving_since.setdefault(server_id, self.now())

    def remove_servers(self, services: Iterable[str]) -> None:
        """Unregister and stop the servers of *services*, which have been drained before."""
        removed = [server for server in self.servers if server.service in set(services)]
        for server in removed:
            self.unregister(server.server_id)
            self.servers.remove(server)
            server.stop()

    def exclude(self, domain: str) -> None:
        """Exclude a failure domain."""
        self.store.put(f"op/evacuate/{domain}", {})
        self.journal.exclusions.append((domain, self.now(), float("inf")))

    def readmit(self, domain: str) -> None:
        """End the exclusion of a failure domain."""
        for index, (name, start, end) in enumerate(self.journal.exclusions):
            if name == domain and end == float("inf"):
                self.journal.exclusions[index] = (name, start, self.now())
        self.store.delete(f"op/evacuate/{domain}")

    def restore_store(self, change_count: int, rewrite_after_s: float) -> None:
        """Restore the store to before its last changes; its writers repeat these after a delay."""
        written = dict(self.store.items)
        self.store.restore(change_count)
        gevent.spawn_later(rewrite_after_s, self._write_again, written, self.store.revision)

    def _write_again(self, written: dict[str, dict[str, Any]], restored_revision: int) -> None:
        """Repeat lost changes, except for keys that have been written since the restore."""
        store = self.store
        changed = {e["key"] for e in store.history if e["revision"] > restored_revision}
        for key, item in written.items():
            if key not in changed and store.items.get(key) != item:
                store.put(key, b64decode(item["value"]))
        for key in [key for key in store.items if key not in written and key not in changed]:
            store.delete(key)

    def switch_read_service(self) -> None:
        """Point the ``/read/`` route to the other single service in the next version."""
        one, other = SINGLE_SERVICES
        self._read_service = other if self._read_service == one else one

    def publish(self) -> Version:
        """Publish the next version of the configuration."""
        self._version_number += self.rng.randint(1, 3)
        self._probes = [*self._probes[-KEPT_PROBE_ROUTES:], f"/v{self._version_number}/"]
        shards = self.shards(self.shard_set)
        routes = [
            _route("/all/", service=None, **_fan_out(shards)),
            _route("/read/", service=self._read_service),
            _route("/once/", service="orders", **{"route-kind": "unsafe", "max-attempts": 1}),
            *(_route(probe, service="reads") for probe in self._probes),
        ]
        record = config_record(self._version_number, routes, (*shards, *SINGLE_SERVICES))
        for service in record["services"]:
            service |= {"cold-start-s": 2, "cold-per-s": COLD_PER_S}
        record["tenants"] = [{"name": n, "api-keys": [key]} for n, key in WORKSPACE_KEYS.items()]
        self.store.put("op/config", record)
        version = Version(
            number=self._version_number,
            at=self.now(),
            shards=shards,
            services={
                "/all/": shards,
                "/read/": (self._read_service,),
                "/once/": ("orders",),
                **dict.fromkeys(self._probes, ("reads",)),
            },
            probes=frozenset(self._probes),
        )
        self.journal.versions.append(version)
        return version


def _route(prefix: str, **changes: object) -> dict[str, object]:
    fields = {
        "timeout-ms": TIMEOUT_S * 1000,
        "target-latency-ms": TARGET_LATENCY_S * 1000,
        "max-attempts": MAX_ATTEMPTS,
    }
    return route_record(prefix, **(fields | changes))


def _fan_out(shards: tuple[str, ...]) -> dict[str, object]:
    return {
        "fanout-services": list(shards),
        "top-k": TOP_K,
        "min-coverage": MIN_COVERAGE,
    }
