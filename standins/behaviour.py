"""Behaviour of a stand-in backend server, as set through its control address."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from pydantic import BaseModel, ConfigDict, Field

if TYPE_CHECKING:
    import random


class ServerSpec(BaseModel):
    """Identity and limits of a server, and the position of its service in the index."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str
    index: str
    service: str
    service_ordinal: int
    service_count: int
    slots: int
    connections: int


class Behaviour(BaseModel):
    """Settings of a server that a test or an operator may change at run time."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    snapshots: dict[int, int] = Field(default_factory=dict)
    """Number of shards of each snapshot that the server holds."""
    draining: bool = False
    queue_count: int = 4
    """Number of subrequests that may wait for a slot; further ones are shed."""
    retry_after_ms: int = 50
    service_ms: float = 4.0
    """Median duration of a run."""
    service_sigma: float = 0.35
    """Standard deviation of the logarithm of a run's duration."""
    slow_factor: float = 1.0
    straggler_share: float = 0.0
    straggler_factor: float = 20.0
    connect_ms: float = 0.0
    """Delay between accepting a connection and reading its first request."""
    cold_runs_count: int = 8
    """Number of runs after which a new incarnation is warm."""
    cold_factor: float = 3.0
    cold_crash_count: int = 2
    """Number of concurrent subrequests that crashes a cold server; 0 disables this."""
    down_s: float = 2.0
    """Time during which a crashed server refuses connections."""
    crash_marker: str = ""
    """Text that crashes the server when it runs a request whose body contains it."""
    health_lag_s: float = 0.0
    health_lie: dict[str, Any] = Field(default_factory=dict)
    """Fields of the health reply that are overridden, with the values to report."""

    def draw_service_s(self, rng: random.Random, cold: bool) -> float:
        """Return a random duration for the next run, in seconds."""
        factor = self.slow_factor
        if self.straggler_share and rng.random() < self.straggler_share:
            factor *= self.straggler_factor
        if cold:
            factor *= self.cold_factor
        return self.service_ms / 1000 * rng.lognormvariate(0.0, self.service_sigma) * factor


class Control(Behaviour):
    """A control request: changed settings and actions that take effect immediately."""

    crash: bool = False
    restart: bool = False
    """Restart without recording a crash; the new incarnation is cold."""
    warm: bool = False
    """Mark the current incarnation as warm."""

    def applied_to(self, behaviour: Behaviour) -> Behaviour:
        """Return *behaviour* with the fields that this request sets."""
        fields = self.model_fields_set & set(Behaviour.model_fields)
        return behaviour.model_copy(update={name: getattr(self, name) for name in fields})


class ServersFile(BaseModel):
    """The start-up file of a process that serves backend servers."""

    model_config = ConfigDict(extra="forbid")

    seed: int
    behaviour: Behaviour
    servers: tuple[ServerSpec, ...]
    snapshots_by_index: dict[str, dict[int, int]]
