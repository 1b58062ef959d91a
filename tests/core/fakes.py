"""Fake backend servers and a fake platform in virtual time."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from marigoldwalk.core.events import Instance, ReplyState, ServerReply

from .views import SLOTS, hits_of_shards, shards_of_service

if TYPE_CHECKING:
    from random import Random

    from marigoldwalk.core.actions import SendSubrequest
    from marigoldwalk.core.peer_messages import Holding

CRASH = "crash"
"""Content that crashes any server that runs it; with a number, only those of that shard."""
SLOW_FACTOR = 10.0
COLD_RUNS = 4
"""Completed subrequests after which a server is warm."""


@dataclass(frozen=True)
class Run:
    """One subrequest that a server started to run."""

    at: float
    server: str
    daemon: str
    request_id: str
    body: str


@dataclass
class FakeServer:
    """A backend server that tracks its running subrequests and its peak load."""

    name: str
    service: int
    started_at: float
    services: int
    snapshots: tuple[int, ...] = (1,)
    slots: int = SLOTS
    latency_s: float = 0.005
    spread_ratio: float = 0.0
    """Fraction of the run time that is exponentially distributed."""
    slow_ratio: float = 0.0
    """Fraction of the subrequests that take ten times as long."""
    up: bool = True
    draining: bool = False
    misreports_health: bool = False
    """Whether its health endpoint always reports that it is warm and not draining."""
    running: dict[tuple[str, int], SendSubrequest] = field(default_factory=dict)
    completed: int = 0
    peak: int = 0
    cold_peak: int = 0
    crashes: int = 0

    @property
    def incarnation(self) -> str:
        """The incarnation: the name and the start time."""
        return f"{self.name}/{self.started_at:.6f}"

    @property
    def cold(self) -> bool:
        """Whether it can run only one subrequest at a time."""
        return self.completed < COLD_RUNS

    def holdings(self) -> tuple[Holding, ...]:
        """Return the shards of every loaded snapshot."""
        return tuple(shards_of_service(self.service, s, self.services) for s in self.snapshots)

    def refusal_for(self, request: SendSubrequest, now: float) -> ReplyState | None:
        """Return the state with which a subrequest is refused, or ``None`` if it may run."""
        held = {holding.snapshot: set(holding.shards) for holding in self.holdings()}
        if not set(request.shards) <= held.get(request.snapshot, set()):
            return ReplyState.SNAPSHOT_GONE
        if self.draining:
            return ReplyState.DRAINING
        if now >= request.deadline:
            return ReplyState.EXPIRED
        if len(self.running) >= self.slots:
            self.peak = self.slots + 1
            return ReplyState.SHED
        return None

    def draw_latency_s(self, random: Random) -> float:
        """Return a random run time for the next subrequest."""
        if not (self.slow_ratio or self.spread_ratio):
            return self.latency_s
        slow = random.random() < self.slow_ratio
        spread = 1.0 + self.spread_ratio * (random.expovariate(1.0) - 1.0)
        return self.latency_s * spread * (SLOW_FACTOR if slow else 1.0)

    def begin(self, key: tuple[str, int], request: SendSubrequest) -> None:
        """Start to run a subrequest."""
        self.running[key] = request
        self.peak = max(self.peak, len(self.running))
        if self.cold:
            self.cold_peak = max(self.cold_peak, len(self.running))

    def crashes_on(self, request: SendSubrequest) -> bool:
        """Return whether a subrequest crashes the server."""
        content, _, shard = request.body.partition(" ")
        return content == CRASH and (not shard.isdigit() or int(shard) in request.shards)

    def finish(self, key: tuple[str, int]) -> ServerReply:
        """Finish a subrequest and return its reply."""
        request = self.running.pop(key)
        self.completed += 1
        layout = {holding.snapshot: holding.shard_count for holding in self.holdings()}
        shard_count = layout.get(request.snapshot)
        if shard_count is None:
            return self.reply(request, ReplyState.FAILED)
        hits = tuple(hits_of_shards(request.snapshot, shard_count, request.shards))
        return ServerReply(
            request.attempt,
            ReplyState.DONE,
            self.incarnation,
            request.snapshot,
            request.shards,
            hits,
        )

    def reply(self, request: SendSubrequest, state: ReplyState) -> ServerReply:
        """Return a reply without results."""
        return ServerReply(request.attempt, state, self.incarnation)

    def restart(self, now: float) -> None:
        """Restart the server, cold."""
        self.started_at = now
        self.up = True
        self.completed = 0
        self.running = {}


@dataclass
class Platform:
    """The configuration service and the instance list, which readers may see with a delay."""

    texts: list[tuple[float, int, str]] = field(default_factory=list)
    """Published documents as (time, revision, text)."""
    lists: list[tuple[float, tuple[Instance, ...]]] = field(default_factory=list)
    list_lag_s: dict[str, float] = field(default_factory=dict)
    """Delay with which each reader sees the instance list."""
    down_for: set[str] = field(default_factory=set)
    """Daemons that cannot read the platform."""
    configuration_down: bool = False

    def document(self) -> tuple[int, str]:
        """Return the newest document's revision and text."""
        return self.texts[-1][1:]

    def instances(self, reader: str, now: float) -> tuple[int, tuple[Instance, ...]]:
        """Return the instance list and its version as *reader* sees it."""
        seen = now - self.list_lag_s.get(reader, 0.0)
        version = max(sum(1 for at, _ in self.lists if at <= seen), 1)
        return version, self.lists[version - 1][1]
