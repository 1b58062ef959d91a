"""The record of what callers and backend servers saw during a run, for the checks after it."""

from __future__ import annotations

from dataclasses import dataclass, field

EVERYTHING = "*"
"""The ``target`` of a :class:`Disturbance` that affects all daemons and servers."""


def server_name(service: str, domain: str) -> str:
    """Return the name of a server in :class:`Disturbance`."""
    return f"{service}/{domain}"


@dataclass(slots=True)
class Call:
    """One request of a caller, and its response."""

    request_id: str
    daemon: str
    method: str
    path: str
    body: bytes
    sent_at: float
    deadline_s: float
    ended_at: float = float("inf")
    """When the response was complete, or the connection ended without one."""
    status: int | None = None
    """``None`` if the connection ended without a complete response."""
    headers: dict[str, str] = field(default_factory=dict)
    response_body: bytes = b""
    is_probe: bool = False
    """Whether the request tests which configuration is in force."""
    abandoned: bool = False
    """Whether the caller closed the connection before the response."""
    workspace: str = ""
    """The workspace that the caller belongs to."""

    @property
    def is_success(self) -> bool:
        """Whether the response has a 2xx status."""
        return self.status is not None and 200 <= self.status < 300


@dataclass(slots=True)
class Arrival:
    """A request as a backend server received it."""

    at: float
    server_id: str
    service: str
    domain: str
    request_id: str
    method: str
    path: str
    body: bytes
    deadline_s: float
    was_cold: bool
    ran: bool = False
    """Whether the server executed the request, rather than rejecting it."""
    workspace: str = ""
    key: str = ""
    """The caller's key, which servers must not receive."""

    @property
    def server_name(self) -> str:
        """The server's name, which is the same for all its incarnations."""
        return server_name(self.service, self.domain)


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete response that a backend server generated."""

    request_id: str
    service: str
    signature: str
    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A time span in which a fault affected a daemon, a server or everything."""

    target: str
    kind: str
    start: float
    end: float


@dataclass(frozen=True, slots=True)
class Version:
    """One configuration, and when the store acknowledged it."""

    number: int
    at: float
    shards: tuple[str, ...]
    services: dict[str, tuple[str, ...]]
    """The services to which each path prefix is routed."""
    probes: frozenset[str]
    """Path prefixes of the routes that exist only to tell versions apart."""


@dataclass(slots=True)
class Journal:
    """The record of one run; times are those of the run's monotonic clock, in seconds."""

    calls: list[Call] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    replies: dict[str, Reply] = field(default_factory=dict)
    """Replies by signature."""
    versions: list[Version] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    exclusions: list[tuple[str, float, float]] = field(default_factory=list)
    """Exclusions of failure domains: domain, acknowledged at, revoked at."""
    leaving_since: dict[str, float] = field(default_factory=dict)
    """When the store acknowledged that a server is draining or removed, by server id."""
    planned_stops: list[tuple[str, float, float]] = field(default_factory=list)
    """Planned stops: daemon, time of the SIGTERM, end of the process."""
    unexpected_exits: list[tuple[str, float, int]] = field(default_factory=list)
    """Unexpected exits: daemon, time, exit status."""
    faults_ended_at: float = float("inf")
    """When the last fault was over."""

    def is_undisturbed(self, target: str, start: float, end: float) -> bool:
        """Return whether nothing disturbed *target* at any time between *start* and *end*."""
        return not any(
            d.target in (target, EVERYTHING) and d.start <= end and d.end >= start
            for d in self.disturbances
        )
