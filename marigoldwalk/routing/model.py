"""Data classes for the routing configuration and for server registrations."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..config.view import Address


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a split route and its weight relative to the other services."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class FanOut:
    """The shards of a fan-out query and how their results are merged."""

    shards: tuple[str, ...]
    """The services of the query; each serves one shard."""
    top_k: int
    min_coverage: float
    """Minimum fraction of the shards, 0 to 1, that a useful answer covers."""


@dataclass(frozen=True, slots=True)
class Route:
    """Services, time limits and retry rules for requests of one host and path prefix."""

    name: str
    host: str
    prefix: str
    idempotent: bool
    """Whether a request may be executed more than once."""
    timeout_s: float
    target_s: float
    """Target latency: an answer within this time has its full value to the caller."""
    max_attempts: int
    """Maximum number of attempts that may have executed a request, or one of its shards."""
    priority: int
    """Priority in the queue; 0 is the most urgent."""
    splits: tuple[WeightedService, ...] = ()
    fan_out: FanOut | None = None
    is_public: bool = False
    """Whether requests need no key although the configuration has workspaces."""

    @property
    def services(self) -> tuple[str, ...]:
        """The services that may receive requests of this route."""
        if self.fan_out is not None:
            return self.fan_out.shards
        return tuple(split.service for split in self.splits)


@dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable backend servers."""

    name: str
    max_connections: int
    """Maximum number of connections that a server accepts from all daemons together."""
    cold_s: float
    """Time after its start for which a server is considered cold."""
    cold_per_s: float
    """Requests per second that a cold server can take from all daemons together; 0 for no limit."""


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer of the operators, whose callers identify themselves with keys."""

    name: str
    key_digests: frozenset[bytes] = field(default=frozenset(), repr=False)
    """Digests of the keys; the keys themselves are not kept."""
    priority: int | None = None
    """Priority of its requests, which takes precedence over that of their routes."""
    rate_per_s: float = 0.0
    """Requests per second that all daemons together send to servers; 0 for no limit."""
    burst: float = 0.0
    """Requests that may be sent at once in addition to that."""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size limits for callers' requests and time-outs for receiving them."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One complete version of the routing configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits = field(default_factory=CallerLimits)
    workspaces: tuple[Workspace, ...] = ()
    """The customers that share the deployment; empty if requests need no keys."""


@dataclass(frozen=True, slots=True)
class Registration:
    """The latest registration record of a backend server."""

    server_id: str
    service: str
    address: Address
    domain: str
    slots: int
    draining: bool
    cold_left_s: float
    """Time for which the server stays cold, counted from when it wrote the record."""
    started_at_ms: int
    """Start of this incarnation in Unix milliseconds; 0 if the record does not give it."""
    sequence: int
