"""The state that all systems of one core share."""

from __future__ import annotations

import heapq
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..util.ranking import Ranking
from .actions import Note, SendPeer
from .events import PeerReceived

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..config.acceptance import Verdict
    from ..config.view import Address, View
    from .actions import Action
    from .engine import AnyEvent
    from .parameters import Parameters
    from .peer_messages import PeerMessage
    from .tables import (
        AttemptRow,
        BlockRow,
        BudgetRow,
        ClaimRow,
        ItemRow,
        JobRow,
        LatencyWindow,
        PeerRow,
        Pin,
        PromiseRow,
        QueryRow,
        ServerRow,
        SuspectRow,
        TaskRow,
    )


Queue = list[tuple[int, float, int]]
"""A heap of waiting items as (priority, deadline, item)."""

_KEY_BITS = 20


@dataclass(frozen=True, slots=True)
class Identity:
    """Who this daemon is. ``started_at`` names the incarnation, in Unix seconds."""

    name: str
    domain: str
    address: Address
    started_at: float


@dataclass(slots=True)
class DaemonState:
    """What this daemon knows about its own view."""

    revision_confirmed_at: float = 0.0
    """A time at which the document in force was the platform's newest, as far as is known."""
    last_answered_request_at: float = 0.0
    """When the newest question was sent that the platform or an agreeing peer has answered."""
    newer_revision_heard_at: float = 0.0
    """When a peer last told of a newer document than the one in force; 0 if it was obtained."""
    peers_heard: bool = False
    """Whether the peers could tell of a newer document since the start."""
    heartbeats_sent: dict[int, float] = field(default_factory=dict)
    """When the latest heartbeats were sent, by sequence."""
    list_first_read_at: float = 0.0
    """When the instance list was first read."""
    list_read_at: float = 0.0
    """When the instance list was last asked for with success."""
    list_continuous_since: float = 0.0
    """Since when the instance list has been read without a long gap."""
    self_listed: bool = False
    """Whether the list read last names this daemon."""
    list_confirmed_at: float = 0.0
    list_early_read_at: float = 0.0
    """When the instance list was last asked for because a peer had a newer one."""
    last_step_at: float = 0.0
    resumed_at: float = 0.0
    """When a pause of this process was last noticed."""
    list_version: int = 0
    listed: bool = False
    """Whether the platform's list names this daemon."""
    document_text: str = ""
    ready: bool = False
    stopping: bool = False
    stopping_since: float = 0.0
    heartbeat_sequence: int = 0


@dataclass(slots=True)
class World:
    """Tables, timers, counters and the outgoing actions of one core.

    Systems change it only from within a step, where ``now`` is the time in Unix seconds.
    """

    identity: Identity
    parameters: Parameters
    accept: Callable[[str], Verdict]
    now: float = 0.0
    view: View | None = None
    daemon_state: DaemonState = field(default_factory=DaemonState)
    servers: dict[str, ServerRow] = field(default_factory=dict)
    blocks: dict[str, BlockRow] = field(default_factory=dict)
    own_blocks: dict[str, BlockRow] = field(default_factory=dict)
    """Those of the blocks that this daemon is a home of."""
    ranking: Ranking = field(default_factory=Ranking)
    """The daemons in the order in which each block prefers them as homes."""
    queries: dict[int, QueryRow] = field(default_factory=dict)
    tasks: dict[int, TaskRow] = field(default_factory=dict)
    jobs: dict[int, JobRow] = field(default_factory=dict)
    job_by_task: dict[tuple[str, int], int] = field(default_factory=dict)
    items: dict[int, ItemRow] = field(default_factory=dict)
    attempts: dict[int, AttemptRow] = field(default_factory=dict)
    peers: dict[str, PeerRow] = field(default_factory=dict)
    promises: dict[str, PromiseRow] = field(default_factory=dict)
    claims: dict[str, ClaimRow] = field(default_factory=dict)
    electors: dict[str, float] = field(default_factory=dict)
    """Daemons that may have promised a request id, with the time when last seen in the list."""
    suspects: dict[str, SuspectRow] = field(default_factory=dict)
    budgets: dict[str, BudgetRow] = field(default_factory=dict)
    group_latency: dict[str, LatencyWindow] = field(default_factory=dict)
    queues: dict[str, Queue] = field(default_factory=dict)
    """Waiting items of each replica set."""
    dirty_queues: dict[str, None] = field(default_factory=dict)
    """Replica sets whose queues should be looked at in this tick, in order of arrival."""
    changed_blocks: dict[str, None] = field(default_factory=dict)
    """Blocks whose allowance changed or which went away in this tick."""
    block_of_server: dict[str, str] = field(default_factory=dict)
    """The block that each server was in when homes were last worked out."""
    moving_until: dict[str, float] = field(default_factory=dict)
    """Servers that came from another block, with the time when they may get work."""
    handovers: dict[str, dict[str, int]] = field(default_factory=dict)
    """Blocks that new homes wait for, with each home's instance list version."""
    dirty_statuses: dict[str, None] = field(default_factory=dict)
    """Blocks whose status may have changed in this tick."""
    pins: dict[str, Pin] = field(default_factory=dict)
    """The snapshot that new queries to each index are planned on."""
    trials: dict[str, list[int]] = field(default_factory=dict)
    """Contents on trial, each with the jobs that wait for the outcome."""
    recent_tasks: dict[tuple[str, int], float] = field(default_factory=dict)
    """Block requests seen or cancelled, with the time when they may be forgotten."""
    held_items: dict[str, dict[int, None]] = field(default_factory=dict)
    """Items held back until it is known whether a server died."""
    counters: Counter[str] = field(default_factory=Counter)
    actions: list[Action] = field(default_factory=list)
    inbox: deque[AnyEvent] = field(default_factory=deque)
    """Events that systems raise for this same step."""
    _timers: list[tuple[float, int, AnyEvent]] = field(default_factory=list)
    _timer_sequence: int = 0
    _next_key: int = 0

    def __post_init__(self) -> None:
        # Keys of different incarnations must differ, since peers remember them.
        self._next_key = int(self.identity.started_at * 1000) << _KEY_BITS

    def new_key(self) -> int:
        """Return a number that no other incarnation of this daemon hands out."""
        self._next_key += 1
        return self._next_key

    def at(self, when: float, timer: AnyEvent) -> None:
        """Raise *timer* at *when*, in Unix seconds."""
        self._timer_sequence += 1
        heapq.heappush(self._timers, (when, self._timer_sequence, timer))

    def after(self, delay_s: float, timer: AnyEvent) -> None:
        """Raise *timer* in *delay_s* seconds."""
        self.at(self.now + delay_s, timer)

    def next_timer_at(self) -> float | None:
        """Return when the next timer fires, or ``None`` without one."""
        return self._timers[0][0] if self._timers else None

    def due_timers(self) -> list[AnyEvent]:
        """Take out the timers that are due."""
        due: list[AnyEvent] = []
        while self._timers and self._timers[0][0] <= self.now:
            due.append(heapq.heappop(self._timers)[2])
        return due

    def emit(self, action: Action) -> None:
        """Ask the shells for *action*."""
        self.actions.append(action)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter named like ``refusal.overloaded`` or ``retry.shed``."""
        self.counters[name] += amount

    def note(self, subject: str, change: str, detail: str = "") -> None:
        """Ask for a log line about a change of state."""
        self.actions.append(Note(subject, change, detail))

    def send_message(self, name: str, message: PeerMessage) -> None:
        """Send *message* to the daemon *name*, which may be this one."""
        if name == self.identity.name:
            self.inbox.append(PeerReceived(name, message))
            return
        peer = self.peers.get(name)
        if peer is not None:
            self.actions.append(SendPeer(name, peer.address, message))

    def broadcast(self, message: PeerMessage) -> None:
        """Send *message* to every other daemon that is listed."""
        for peer in self.peers.values():
            if peer.listed:
                self.actions.append(SendPeer(peer.name, peer.address, message))
