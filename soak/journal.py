"""What callers and backend servers saw during a run, for the checks after it."""

from __future__ import annotations

from dataclasses import dataclass, field

EVERYTHING = "*"
"""Names all daemons at once in a :class:`Disturbance`."""


def server_name(service: str, domain: str) -> str:
    """Return the name under which the disturbances of a server are noted."""
    return f"{service}/{domain}"


@dataclass(slots=True)
class Call:
    """One request of a caller, and what came back."""

    request_id: str
    daemon: str
    method: str
    path: str
    body: bytes
    sent_at: float
    deadline_s: float
    ended_at: float = float("inf")
    """When the answer was whole, or the connection ended without one."""
    status: int | None = None
    """``None`` if the connection ended without a whole response."""
    headers: dict[str, str] = field(default_factory=dict)
    response_body: bytes = b""
    is_probe: bool = False
    """Whether it asks which configuration is in force."""
    abandoned: bool = False
    """Whether the caller left before the answer."""

    @property
    def is_success(self) -> bool:
        """Whether the answer is a success."""
        return self.status is not None and 200 <= self.status < 300


@dataclass(slots=True)
class Arrival:
    """A request as it reached a backend server."""

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
    """Whether the server began to run it; one that refused it did not."""

    @property
    def server_name(self) -> str:
        """The server's name, which stays the same over its incarnations."""
        return server_name(self.service, self.domain)


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole response that a backend server wrote."""

    request_id: str
    service: str
    signature: str
    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A span in which a fault was at work on a daemon, or on everything."""

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
    """The services that each route's path prefix may go to."""
    probes: frozenset[str]
    """Prefixes that exist only to tell versions apart."""


@dataclass(slots=True)
class Journal:
    """All that was seen in one run."""

    calls: list[Call] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    replies: dict[str, Reply] = field(default_factory=dict)
    """By signature."""
    versions: list[Version] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    exclusions: list[tuple[str, float, float]] = field(default_factory=list)
    """Failure domains out of service: name, acknowledged at, taken back at."""
    leaving_since: dict[str, float] = field(default_factory=dict)
    """When the store was told that a server drains or is gone, by server."""
    planned_stops: list[tuple[str, float, float]] = field(default_factory=list)
    """Planned stops: daemon, SIGTERM at, ended at."""
    unexpected_exits: list[tuple[str, float, int]] = field(default_factory=list)
    """Daemons that ended by themselves: name, time, exit status."""
    faults_ended_at: float = float("inf")
    """When the last fault was over."""

    def is_undisturbed(self, target: str, start: float, end: float) -> bool:
        """Return whether nothing disturbed *daemon* at any time between *start* and *end*."""
        return not any(
            d.target in (target, EVERYTHING) and d.start <= end and d.end >= start
            for d in self.disturbances
        )
