"""The published routing configuration and server registrations, as the product uses them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..config.view import Address


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One part of a split: a service and its share relative to the other parts."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Gather:
    """How the parts of a query over many shards are merged."""

    shards: tuple[str, ...]
    """The services, each of which holds one shard."""
    top_k: int
    min_coverage: float
    """The least share of the shards in a useful answer, 0 to 1."""


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and what they are promised."""

    name: str
    host: str
    prefix: str
    idempotent: bool
    """Whether a request may run more than once."""
    timeout_s: float
    target_s: float
    """Time within which an answer is worth its full value to the caller."""
    max_attempts: int
    """The most servers that one request, or one of its shards, may be sent to."""
    priority: int
    """0 is the most urgent."""
    splits: tuple[WeightedService, ...] = ()
    gather: Gather | None = None

    @property
    def services(self) -> tuple[str, ...]:
        """The services that may run requests of this route."""
        if self.gather is not None:
            return self.gather.shards
        return tuple(split.service for split in self.splits)


@dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable backend servers."""

    name: str
    max_connections: int
    """Connections that a server takes from all daemons together."""
    cold_s: float
    """Time after its start for which a server counts as cold."""
    cold_per_s: float
    """Requests a second that a cold server bears from all daemons together; 0 if not limited."""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One version of the configuration, whole."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits = field(default_factory=CallerLimits)


@dataclass(frozen=True, slots=True)
class Registration:
    """What a backend server last said of itself."""

    server_id: str
    service: str
    address: Address
    domain: str
    slots: int
    draining: bool
    cold_left_s: float
    """How much longer the server stays cold, from the moment of writing."""
    started_at_ms: int
    """Start of this incarnation in Unix milliseconds; 0 if it is not told."""
    sequence: int
