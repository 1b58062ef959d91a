"""The core's tables: one row class for each kind of entity."""

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
    """The latest service times of one kind, in seconds."""

    samples: deque[float] = field(default_factory=lambda: deque(maxlen=LATENCY_SAMPLES))
    _since_sort: int = 0
    _sorted: list[float] = field(default_factory=list)

    def add(self, seconds: float) -> None:
        """Record one service time."""
        self.samples.append(seconds)
        self._since_sort += 1

    def quantile(self, ratio: float, default: float) -> float:
        """Return a quantile of the window, or *default* while it is empty."""
        if not self.samples:
            return default
        if self._since_sort > LATENCY_SAMPLES // 8 or not self._sorted:
            self._sorted = sorted(self.samples)
            self._since_sort = 0
        return self._sorted[min(int(len(self._sorted) * ratio), len(self._sorted) - 1)]


@dataclass(slots=True)
class ServerRow:
    """A backend server as its home sees it."""

    name: str
    incarnation: str = ""
    limit: int = 1
    """Subrequests that may run at once; 1 while the server is cold."""
    successes: int = 0
    """Successes since the limit last changed."""
    draining_until: float = 0.0
    paused_until: float = 0.0
    holdings: tuple[Holding, ...] = ()
    slow_count: int = 0
    """Replies in a row that took far longer than the median."""
    latency: LatencyWindow = field(default_factory=LatencyWindow)
    sent_at: float = 0.0
    """When it was last sent a subrequest."""
    probed_at: float = 0.0
    probed: bool = False
    """Whether a probe has ended since the daemon began to watch it."""
    usable: bool = False
    """Whether a probe or reply has shown it serving since it was last lost."""
    reported_cold: bool = False
    possibly_restarted: bool = False
    """Whether it may have restarted since its incarnation was last seen."""
    running: dict[int, str] = field(default_factory=dict)
    """Attempts that hold a slot, with the fingerprints of their content."""
    suspects: dict[int, AttemptRow] = field(default_factory=dict)
    """Attempts whose connection broke."""


class Role(Enum):
    """What a daemon may do for a block."""

    NONE = "none"
    FIRST = "first home"
    SECOND = "second home"


class Allowance(Enum):
    """How much of a server's slots a home may use."""

    NONE = "none"
    HALF = "half"
    FULL = "full"
    """All slots, and cold servers too."""


@dataclass(slots=True)
class BlockRow:
    """A block as this daemon sees it, whether or not it is its home."""

    name: str
    homes: tuple[str, ...] = ()
    """First and second home by the instance list."""
    role: Role = Role.NONE
    allowance: Allowance = Allowance.NONE
    awaited_homes: dict[str, None] = field(default_factory=dict)
    """Former homes that have not yet handed over."""
    preparing: bool = False
    """Whether this first home is not yet able to serve, and former homes go on."""
    serves_until: float = 0.0
    """How long this former home goes on unless the next one asks it to hand over; 0 if it is none.
    """
    former_work_ends_at: float = 0.0
    """When the former homes' last work ends."""
    busy_until: dict[str, float] = field(default_factory=dict)
    """When the work of each former home ends that has handed over."""
    handover_replies: dict[str, bool] = field(default_factory=dict)
    """New homes that were told that this daemon has stopped, and whether work was left then."""
    yielded_version: int = 0
    """Instance list up to which this daemon has given the block up."""
    yielded: bool = False
    """Whether this daemon has given the block up for good, since it stops."""
    had_full_allowance: bool = False
    """Whether this daemon has once held all the block's slots as first home."""
    other_home: str = ""
    """A daemon that acts as home although the own instance list does not make it one."""
    status: BlockStatus | None = None
    """The last status heard from its home."""
    status_from: str = ""
    status_at: float = 0.0
    waits_s: tuple[float, ...] = ()
    """Queue waits by priority, from the last reply or status."""
    waits_at: float = 0.0
    status_sent_at: float = 0.0
    sent_status: BlockStatus | None = None
    """The last status that this daemon told as home."""


class QueryState(Enum):
    """Where a query stands."""

    CLAIMING = "claiming"
    RUNNING = "running"
    ANSWERED = "answered"


@dataclass(slots=True)
class QueryRow:
    """A caller's query at its entry."""

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
    """The group as it was when the query came in; ``None`` if there was none."""
    snapshot: int = 0
    shard_count: int = 0
    wanted: frozenset[int] = frozenset()
    """Shards of the pinned snapshot that the query is routed to."""
    answered: set[int] = field(default_factory=set)
    missing: dict[int, Missing] = field(default_factory=dict)
    hits: list[Hit] = field(default_factory=list)
    tasks: set[int] = field(default_factory=set)
    """Tasks without a reply."""
    ran: bool = False
    """Whether a byte may have reached a server, as far as homes have told."""
    restarted: bool = False
    canary: bool = False
    """Whether no trial of unknown content has ended without harm yet."""
    tried: set[int] = field(default_factory=set)
    """Shards on which the content was tried."""
    resends: dict[int, int] = field(default_factory=dict)
    """How often each shard was sent again to another home."""
    asked_blocks: dict[int, set[str]] = field(default_factory=dict)
    """Blocks that could not serve a shard."""
    resending: set[int] = field(default_factory=set)
    """Shards that wait to be sent again."""
    retry_after_s: float = 0.0
    subrequests: int = 0
    claimed: bool = False
    """Whether its request id is promised to this daemon."""

    @property
    def at_most_once(self) -> bool:
        """Whether the request may run only once."""
        return self.spec is not None and not self.spec.repeatable


@dataclass(slots=True)
class TaskRow:
    """A block request that an entry sent to a home."""

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
    """A block request as the home works on it."""

    job: int
    entry: str
    request: BlockRequest
    started_at: float
    waiting: set[int] = field(default_factory=set)
    """Items without a result."""
    shards: list[int] = field(default_factory=list)
    hits: list[Hit] = field(default_factory=list)
    missing: list[MissingShard] = field(default_factory=list)
    possible_runs: int = 0
    """Attempts that ran or may have run."""
    attempts: int = 0
    retry_after_s: float = 0.0


@dataclass(slots=True)
class ItemRow:
    """The shards of a job that one replica set answers in one subrequest."""

    item: int
    job: int
    replicas: str
    shards: tuple[int, ...]
    priority: int
    deadline: float
    attempts: set[int] = field(default_factory=set)
    """Attempts in flight."""
    tried: set[str] = field(default_factory=set)
    """Servers already tried."""
    done: bool = False
    failure: Missing | None = None
    """Why the last attempt failed."""
    waits_for_server: str = ""
    """The server whose broken connection must be explained first."""


@dataclass(slots=True)
class AttemptRow:
    """One subrequest at one server."""

    attempt: int
    item: int
    server: str
    sent_at: float
    deadline: float
    fingerprint: str
    hedge: bool = False
    trial: bool = False
    """Whether its content is not yet known to be harmless."""
    abandoned: bool = False
    """Its result is no longer wanted, yet the server may still be busy with it."""


@dataclass(slots=True)
class PeerRow:
    """Another daemon of the instance list."""

    name: str
    address: Address
    domain: str
    leaving: bool = False
    """Whether its own heartbeats say that it is leaving."""
    list_leaving: bool = False
    """Whether the platform's list says that it is leaving."""
    listed: bool = True
    listed_at: float = 0.0
    """When it was first seen in the list."""
    listed_until: float = 0.0
    """When it was last seen in the list."""
    started_at: float = 0.0
    heard_at: float = 0.0
    last_sequence: int = 0
    reachable: bool = False
    lost_at: float = 0.0
    """When it became unreachable."""
    reset: bool = False
    """Whether it was lost by a broken connection rather than by silence."""
    gone: bool = False
    """Whether nothing listens at its address."""
    gone_at: float = 0.0
    echoed_at: float = 0.0
    """When it last proved to have heard this daemon."""
    revision: int = 0
    digest: str = ""
    list_version: int = 0
    agreed_at: float = 0.0
    """A time since when the peer is known to have had this daemon's configuration in force."""
    pulled_at: float = 0.0
    """When it was last asked for its configuration document."""


@dataclass(slots=True)
class PromiseRow:
    """A promise that this daemon made as a witness.

    ``claim`` is the holder's newest claim and ``started_at`` its incarnation. A released promise
    is kept so that a late copy of the same claim does not renew it.
    """

    request_id: str
    holder: str
    started_at: float
    claim: int
    expires_at: float
    released: bool = False
    finished: bool = False


class ClaimState(Enum):
    """Where a claim stands."""

    ASKING = "asking"
    GRANTED = "granted"
    FINISHED = "finished"
    RELEASED = "released"


@dataclass(slots=True)
class ClaimRow:
    """A claim that this daemon makes as an entry; kept until the request id expires."""

    request_id: str
    claim: int
    query: int
    expires_at: float
    witnesses: tuple[str, ...]
    quorum: int
    state: ClaimState = ClaimState.ASKING
    promised: set[str] = field(default_factory=set)
    held_elsewhere: set[str] = field(default_factory=set)
    """Witnesses that promised the id to another daemon."""
    abstained: dict[str, float] = field(default_factory=dict)
    """Witnesses that abstained, with their hints in seconds."""


@dataclass(slots=True)
class SuspectRow:
    """What is known of one content's effect on servers."""

    fingerprint: str
    deaths: dict[str, dict[str, int]] = field(default_factory=dict)
    """Servers lost, by service and by the daemon that saw it."""
    cleared_at: dict[str, float] = field(default_factory=dict)
    """When the content last ran without harm, by service."""
    reported: set[str] = field(default_factory=set)
    """Services whose deaths other daemons know of."""
    cleared_reported_at: dict[str, float] = field(default_factory=dict)
    """When the other daemons were last told that it ran without harm, by service."""
    until: float = 0.0
    proven_until: float = 0.0


@dataclass(slots=True)
class BudgetRow:
    """Tokens for retries and hedges of one group."""

    retries: float = 0.0
    hedges: float = 0.0


@dataclass(slots=True)
class Pin:
    """The snapshot chosen for an index, and the blocks that hold each of its shards."""

    snapshot: int
    shard_count: int
    blocks_of_shard: dict[int, tuple[str, ...]]
    valid_until: float = float("inf")
    """When the first status that it was chosen from is no longer believed."""
