"""The state that all systems of a core share."""

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
"""A heap of waiting items, as (priority, deadline, item)."""

_KEY_BITS = 20


@dataclass(frozen=True, slots=True)
class Identity:
    """The identity of this daemon; ``started_at`` (Unix seconds) identifies the incarnation."""

    name: str
    domain: str
    address: Address
    started_at: float


@dataclass(slots=True)
class DaemonState:
    """Readiness of this daemon, and how current its configuration and instance list are."""

    revision_confirmed_at: float = 0.0
    """The latest time at which the active document is known to have been the platform's newest."""
    last_answered_request_at: float = 0.0
    """When the latest request was sent that the platform, or a peer with the same active document,
    has answered."""
    newer_revision_heard_at: float = 0.0
    """When a peer last reported a newer document; 0 once a newer document has become active."""
    peers_heard: bool = False
    """Whether the peers have had the chance to report a newer document since the start."""
    heartbeats_sent: dict[int, float] = field(default_factory=dict)
    """Send times of the latest heartbeats, by sequence number."""
    list_first_read_at: float = 0.0
    """When the first successful read of the instance list was requested."""
    list_read_at: float = 0.0
    """When the latest successful read of the instance list was requested."""
    list_continuous_since: float = 0.0
    """Since when the instance list has been read without a gap longer than ``list_age_s``."""
    self_listed: bool = False
    """Whether the instance list read last includes this daemon."""
    list_confirmed_at: float = 0.0
    list_early_read_at: float = 0.0
    """When an extra read of the instance list was last requested because a peer had a newer one."""
    last_step_at: float = 0.0
    resumed_at: float = 0.0
    """When a pause of this process was last detected."""
    list_version: int = 0
    listed: bool = False
    """Whether the newest version of the instance list includes this daemon."""
    document_text: str = ""
    ready: bool = False
    stopping: bool = False
    stopping_since: float = 0.0
    heartbeat_sequence: int = 0


@dataclass(slots=True)
class World:
    """The tables, timers, counters and pending actions of one core.

    Systems change it only during a step; ``now`` is the time of the step in Unix seconds.
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
    """The blocks for which this daemon is a home."""
    ranking: Ranking = field(default_factory=Ranking)
    """The order in which daemons are preferred as homes, for each block."""
    queries: dict[int, QueryRow] = field(default_factory=dict)
    tasks: dict[int, TaskRow] = field(default_factory=dict)
    jobs: dict[int, JobRow] = field(default_factory=dict)
    job_by_task: dict[tuple[str, int], int] = field(default_factory=dict)
    items: dict[int, ItemRow] = field(default_factory=dict)
    attempts: dict[int, AttemptRow] = field(default_factory=dict)
    peers: dict[str, PeerRow] = field(default_factory=dict)
    promises: dict[str, PromiseRow] = field(default_factory=dict)
    claims: dict[str, ClaimRow] = field(default_factory=dict)
    witness_candidates: dict[str, float] = field(default_factory=dict)
    """Daemons that may have promised a request id, with the time when each was last listed."""
    suspects: dict[str, SuspectRow] = field(default_factory=dict)
    budgets: dict[str, BudgetRow] = field(default_factory=dict)
    group_latency: dict[str, LatencyWindow] = field(default_factory=dict)
    queues: dict[str, Queue] = field(default_factory=dict)
    """Waiting items of each replica set."""
    dirty_queues: dict[str, None] = field(default_factory=dict)
    """Replica sets whose queues must be processed in this step, in order of insertion."""
    changed_blocks: dict[str, None] = field(default_factory=dict)
    """Blocks whose allowance changed or that were removed in this step."""
    block_of_server: dict[str, str] = field(default_factory=dict)
    """The block of each server when homes were last assigned."""
    moving_until: dict[str, float] = field(default_factory=dict)
    """Servers that moved to another block, with the time from which they may receive work."""
    handovers: dict[str, dict[str, int]] = field(default_factory=dict)
    """Unanswered handover requests: the list versions of the new homes, by block and home."""
    dirty_statuses: dict[str, None] = field(default_factory=dict)
    """Blocks whose status may have changed in this step."""
    pins: dict[str, Pin] = field(default_factory=dict)
    """The snapshot on which new queries to each index are planned."""
    trials: dict[str, list[int]] = field(default_factory=dict)
    """Fingerprints of content on trial, each with its jobs: the first one runs the trial, and the
    others wait for its outcome."""
    recent_tasks: dict[tuple[str, int], float] = field(default_factory=dict)
    """Block requests received or cancelled, with the time when they may be forgotten."""
    held_items: dict[str, dict[int, None]] = field(default_factory=dict)
    """Items held back, by server, until it is known whether the server crashed."""
    counters: Counter[str] = field(default_factory=Counter)
    actions: list[Action] = field(default_factory=list)
    inbox: deque[AnyEvent] = field(default_factory=deque)
    """Events that systems raise to be handled in the same step."""
    _timers: list[tuple[float, int, AnyEvent]] = field(default_factory=list)
    _timer_sequence: int = 0
    _next_key: int = 0

    def __post_init__(self) -> None:
        # Peers remember keys, so the keys of different incarnations must differ.
        self._next_key = int(self.identity.started_at * 1000) << _KEY_BITS

    def new_key(self) -> int:
        """Return a number that no other incarnation of this daemon uses as a key."""
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
        """Return when the next timer fires, or ``None`` if no timer is set."""
        return self._timers[0][0] if self._timers else None

    def due_timers(self) -> list[AnyEvent]:
        """Remove and return the timers that are due."""
        due: list[AnyEvent] = []
        while self._timers and self._timers[0][0] <= self.now:
            due.append(heapq.heappop(self._timers)[2])
        return due

    def emit(self, action: Action) -> None:
        """Queue *action* for the I/O layer, which performs it after this step."""
        self.actions.append(action)

    def count(self, name: str, amount: int = 1) -> None:
        """Increase the counter *name*, for example ``refusal.overloaded`` or ``retry.shed``."""
        self.counters[name] += amount

    def note(self, subject: str, change: str, detail: str = "") -> None:
        """Request a log line about a change of state; the parameters are the fields of ``Note``."""
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
        """Send *message* to every other daemon in the instance list."""
        for peer in self.peers.values():
            if peer.listed:
                self.actions.append(SendPeer(peer.name, peer.address, message))
