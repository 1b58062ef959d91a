"""Row classes of the core's tables, one for each kind of entity.

The *entry* of a query is the daemon that received it from the caller. Each block of backend
servers has a first and a second *home*, the daemons that send subrequests to its servers.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..config.view import Address, Group
    from ..errors import Missing
    from .events import QueryReceived
    from .peer_messages import BlockRequest, BlockStatus, Hit, Holding, MissingShard

LATENCY_SAMPLES = 128


@dataclass(slots=True)
class LatencyWindow:
    """A sliding window of the latest service times, in seconds."""

    samples: deque[float] = field(default_factory=lambda: deque(maxlen=LATENCY_SAMPLES))
    _since_sort: int = 0
    _sorted: list[float] = field(default_factory=list)

    def add(self, seconds: float) -> None:
        """Record one service time."""
        self.samples.append(seconds)
        self._since_sort += 1

    def quantile(self, ratio: float, default: float) -> float:
        """Return the *ratio* quantile of the window, or *default* while it is empty."""
        if not self.samples:
            return default
        if self._since_sort > LATENCY_SAMPLES // 8 or not self._sorted:
            self._sorted = sorted(self.samples)
            self._since_sort = 0
        return self._sorted[min(int(len(self._sorted) * ratio), len(self._sorted) - 1)]


@dataclass(slots=True)
class ServerRow:
    """A backend server, as seen by a home of its block."""

    name: str
    incarnation: str = ""
    limit: int = 1
    """Concurrency limit: subrequests that may run at once; 1 while the server is cold."""
    successes: int = 0
    """Successes since the limit last changed."""
    draining_until: float = 0.0
    paused_until: float = 0.0
    holdings: tuple[Holding, ...] = ()
    slow_count: int = 0
    """Consecutive replies that took far longer than the median."""
    latency: LatencyWindow = field(default_factory=LatencyWindow)
    sent_at: float = 0.0
    """When the last subrequest was sent to the server."""
    probed_at: float = 0.0
    probed: bool = False
    """Whether a probe has completed since this daemon began to watch the server."""
    usable: bool = False
    """Whether a probe or reply has shown that the server is up since it was last lost."""
    reported_cold: bool = False
    restart_suspected: bool = False
    """Whether the server may have restarted since its incarnation was last seen."""
    running: dict[int, str] = field(default_factory=dict)
    """Attempts that occupy a slot, with the fingerprints of their content."""
    suspects: dict[int, AttemptRow] = field(default_factory=dict)
    """Attempts whose connection broke, any of which may have crashed the server."""


class Role(Enum):
    """The role of a daemon for a block."""

    NONE = "none"
    FIRST = "first home"
    SECOND = "second home"


class Allowance(Enum):
    """The share of a server's slots that a home may use."""

    NONE = "none"
    HALF = "half"
    FULL = "full"
    """All slots; cold servers may be used too."""


@dataclass(slots=True)
class BlockRow:
    """A block as this daemon sees it, whether or not this daemon is one of its homes."""

    name: str
    homes: tuple[str, ...] = ()
    """The first and second home, according to the instance list."""
    role: Role = Role.NONE
    allowance: Allowance = Allowance.NONE
    awaited_homes: dict[str, None] = field(default_factory=dict)
    """Former homes that have not yet handed the block over."""
    preparing: bool = False
    """Whether this daemon is the first home but cannot serve yet, so that former homes continue."""
    serves_until: float = 0.0
    """Until when this daemon, a former home, serves the block unless the next home requests a
    handover; 0 if it is not a former home."""
    former_work_ends_at: float = 0.0
    """When the last work of the former homes ends."""
    busy_until: dict[str, float] = field(default_factory=dict)
    """When the last work of each former home that has handed over ends."""
    handover_replies: dict[str, bool] = field(default_factory=dict)
    """New homes to which this daemon has replied, and whether its work was still running then."""
    relinquished_version: int = 0
    """Version of the instance list up to which this daemon has given up the block."""
    relinquished: bool = False
    """Whether this daemon has given up the block permanently because it is stopping."""
    had_full_allowance: bool = False
    """Whether this daemon has had the full allowance since it became first home."""
    acting_home: str = ""
    """A daemon that acts as home although it is not one by this daemon's instance list."""
    status: BlockStatus | None = None
    """The last status received from the home of the block."""
    status_from: str = ""
    status_at: float = 0.0
    waits_s: tuple[float, ...] = ()
    """Estimated queue waits by priority, from the last reply or status."""
    waits_at: float = 0.0
    status_sent_at: float = 0.0
    sent_status: BlockStatus | None = None
    """The last status that this daemon sent as home."""


class QueryState(Enum):
    """The state of a query."""

    CLAIMING = "claiming"
    RUNNING = "running"
    ANSWERED = "answered"


@dataclass(slots=True)
class QueryRow:
    """A query from a caller, at its entry."""

    query: int
    request: QueryReceived
    received_at: float
    deadline: float
    answer_by: float
    group: str
    index: str
    fingerprint: str
    state: QueryState
    spec: Group | None
    """The group as it was when the query arrived; ``None`` if it did not exist."""
    snapshot: int = 0
    shard_count: int = 0
    target_shards: frozenset[int] = frozenset()
    """Shards of the pinned snapshot that the query is routed to."""
    answered: set[int] = field(default_factory=set)
    missing: dict[int, Missing] = field(default_factory=dict)
    hits: list[Hit] = field(default_factory=list)
    tasks: set[int] = field(default_factory=set)
    """Tasks that have no reply yet."""
    ran: bool = False
    """Whether any byte may have reached a server, according to the replies of the homes."""
    restarted: bool = False
    on_trial: bool = False
    """Whether the content is unknown and no trial of it has succeeded yet."""
    tried: set[int] = field(default_factory=set)
    """Shards on which the content has been tried."""
    resends: dict[int, int] = field(default_factory=dict)
    """How many times each shard was sent again."""
    asked_blocks: dict[int, set[str]] = field(default_factory=dict)
    """For each shard, the blocks that could not serve it."""
    resending: set[int] = field(default_factory=set)
    """Shards waiting to be sent again."""
    retry_after_s: float = 0.0
    subrequests: int = 0
    claimed: bool = False
    """Whether the request id is promised to this daemon."""

    @property
    def at_most_once(self) -> bool:
        """Whether the request may run at most once."""
        return self.spec is not None and not self.spec.repeatable


@dataclass(slots=True)
class TaskRow:
    """A block request, at the entry that sent it to a home."""

    task: int
    query: int
    block: str
    home: str
    shards: tuple[int, ...]
    snapshot: int
    sent_at: float
    trial: bool = False


@dataclass(slots=True)
class JobRow:
    """A block request, at the home that executes it."""

    job: int
    entry: str
    request: BlockRequest
    started_at: float
    pending_items: set[int] = field(default_factory=set)
    """Items that have no result yet."""
    shards: list[int] = field(default_factory=list)
    hits: list[Hit] = field(default_factory=list)
    missing: list[MissingShard] = field(default_factory=list)
    possible_runs: int = 0
    """Number of attempts that ran or may have run."""
    attempts: int = 0
    retry_after_s: float = 0.0


@dataclass(slots=True)
class ItemRow:
    """The shards of a job that one replica set serves in one subrequest."""

    item: int
    job: int
    replicas: str
    shards: tuple[int, ...]
    priority: int
    deadline: float
    attempts: set[int] = field(default_factory=set)
    """Attempts in flight."""
    tried: set[str] = field(default_factory=set)
    """Servers to which the item has been sent."""
    done: bool = False
    failure: Missing | None = None
    """Why the last attempt failed."""
    waits_for_server: str = ""
    """The server whose connection broke; the item waits until it is known whether it crashed."""


@dataclass(slots=True)
class AttemptRow:
    """One subrequest to one server."""

    attempt: int
    item: int
    server: str
    sent_at: float
    deadline: float
    fingerprint: str
    hedge: bool = False
    trial: bool = False
    """Whether the content is not yet known to be harmless."""
    abandoned: bool = False
    """Whether the result is no longer needed although the server may still be working on it."""


@dataclass(slots=True)
class PeerRow:
    """Another daemon that is or was in the instance list."""

    name: str
    address: Address
    domain: str
    leaving: bool = False
    """Whether the peer's own heartbeats say that it is leaving."""
    list_leaving: bool = False
    """Whether the instance list says that the peer is leaving."""
    listed: bool = True
    listed_at: float = 0.0
    """When the peer was first seen in the instance list."""
    listed_until: float = 0.0
    """When the peer was last seen in the instance list."""
    started_at: float = 0.0
    heard_at: float = 0.0
    last_sequence: int = 0
    reachable: bool = False
    lost_at: float = 0.0
    """When the peer became unreachable."""
    connection_lost: bool = False
    """Whether a broken connection, not missing heartbeats, made the peer unreachable."""
    process_ended: bool = False
    """Whether the peer's process has ended: nothing listens at its address."""
    process_ended_at: float = 0.0
    last_echo_at: float = 0.0
    """When the peer last echoed a recent heartbeat of this daemon."""
    revision: int = 0
    digest: str = ""
    list_version: int = 0
    agreed_at: float = 0.0
    """A lower bound of the latest time at which the peer had the same active configuration."""
    pulled_at: float = 0.0
    """When the peer was asked for its configuration document; 0 once it has answered."""


@dataclass(slots=True)
class PromiseRow:
    """A promise of a request id that this daemon made as a witness.

    ``claim`` is the newest claim of the holder and ``started_at`` the holder's incarnation. A
    released promise stays in the table so that a delayed copy of the same claim cannot renew it.
    """

    request_id: str
    holder: str
    started_at: float
    claim: int
    expires_at: float
    released: bool = False
    finished: bool = False


class ClaimState(Enum):
    """The state of a claim."""

    ASKING = "asking"
    GRANTED = "granted"
    FINISHED = "finished"
    RELEASED = "released"


@dataclass(slots=True)
class ClaimRow:
    """A claim that this daemon makes as an entry; it is kept until the request id expires."""

    request_id: str
    claim: int
    query: int
    expires_at: float
    witnesses: tuple[str, ...]
    quorum: int
    state: ClaimState = ClaimState.ASKING
    promised: set[str] = field(default_factory=set)
    held_elsewhere: set[str] = field(default_factory=set)
    """Witnesses that have promised the id to another daemon."""
    abstained: dict[str, float] = field(default_factory=dict)
    """Witnesses that abstained, with their retry hints in seconds."""


@dataclass(slots=True)
class SuspectRow:
    """Evidence about whether the content with one fingerprint crashes servers."""

    fingerprint: str
    crashes: dict[str, dict[str, int]] = field(default_factory=dict)
    """Number of servers lost, by service and by the daemon that reported it."""
    cleared_at: dict[str, float] = field(default_factory=dict)
    """When the content last ran without a crash, by service."""
    reported: set[str] = field(default_factory=set)
    """Services whose losses have been shared with other daemons."""
    cleared_reported_at: dict[str, float] = field(default_factory=dict)
    """When this daemon last reported to the others that the content ran without a crash, by
    service."""
    until: float = 0.0
    proven_until: float = 0.0


@dataclass(slots=True)
class BudgetRow:
    """The retry and hedge tokens of one group."""

    retries: float = 0.0
    hedges: float = 0.0


@dataclass(slots=True)
class Pin:
    """The snapshot chosen for an index, and the blocks that can serve each of its shards."""

    snapshot: int
    shard_count: int
    blocks_of_shard: dict[int, tuple[str, ...]]
    valid_until: float = float("inf")
    """When the oldest block status used for the choice expires."""
