"""Messages between the cores of two daemons."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..errors import Missing


@dataclass(frozen=True, slots=True)
class Hit:
    """One result: a key, a score that the merge strategy interprets, and a JSON body."""

    key: str
    score: float
    body: str


@dataclass(frozen=True, slots=True)
class Holding:
    """The shards of one snapshot that a server or block can serve.

    ``shard_count`` is the total number of shards in the snapshot.
    """

    snapshot: int
    shard_count: int
    shards: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A periodic message by which a daemon shows that it is alive.

    ``started_at`` identifies the sender's incarnation (Unix seconds). ``revision`` and ``digest``
    identify its active configuration (0 and empty before the first one). ``list_version`` is the
    newest instance list that it has read. ``confirmed_age_s`` is the time since the platform last
    confirmed its configuration, directly or through peers. ``reply_to`` echoes the sequence of the
    last heartbeat that the sender received from the receiver, which proves that the path works in
    both directions.
    """

    sequence: int
    started_at: float
    revision: int
    digest: str
    list_version: int
    confirmed_age_s: float
    leaving: bool
    reply_to: int


@dataclass(frozen=True, slots=True)
class BlockStatus:
    """The current serving state of a block, sent by its home to all daemons.

    ``sequence`` orders the statuses of one sender. ``waits_s`` estimates, for each priority from 0
    upwards, how long new work would wait in the queue. ``warm`` lists the incarnations of servers
    that are no longer cold.
    """

    block: str
    sequence: int
    sent_at: float
    holdings: tuple[Holding, ...]
    waits_s: tuple[float, ...]
    warm: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class BlockRequest:
    """A request to a home to run a query on some shards of its block.

    ``task`` is unique within the incarnation of the sending daemon. Times are in Unix seconds:
    from ``answer_by`` on, a reply with ``min_coverage`` of the shards is sufficient; after
    ``deadline`` no reply is useful. A request with a ``request_id`` may run at most once.
    ``canary`` requests a trial on one server before the content is sent to many.
    """

    task: int
    block: str
    group: str
    index: str
    snapshot: int
    shards: tuple[int, ...]
    body: str
    fingerprint: str
    request_id: str
    priority: int
    merge: str
    limit: int
    answer_by: float
    deadline: float
    min_coverage: float
    canary: bool


@dataclass(frozen=True, slots=True)
class MissingShard:
    """A shard without a result, and the reason."""

    shard: int
    reason: Missing


@dataclass(frozen=True, slots=True)
class BlockReply:
    """The merged result of a home for one block request.

    ``retry_after_s`` is set if work was refused because of load. ``ran`` tells whether any byte of
    the request may have reached a backend server. ``waits_s`` is as in ``BlockStatus``.
    """

    task: int
    block: str
    snapshot: int
    shards: tuple[int, ...]
    hits: tuple[Hit, ...]
    missing: tuple[MissingShard, ...]
    ran: bool
    retry_after_s: float
    attempts: int
    waits_s: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class BlockCancel:
    """A notice that the sender no longer needs the reply to a block request."""

    task: int


@dataclass(frozen=True, slots=True)
class HandoverRequest:
    """A request to a former home to stop sending to the servers of a block."""

    block: str
    list_version: int


@dataclass(frozen=True, slots=True)
class HandoverReply:
    """A confirmation that the sender has stopped sending to a block.

    ``busy_until`` is when its last work there ends.
    """

    block: str
    list_version: int
    busy_until: float


class ClaimAnswer(IntEnum):
    """A witness's answer to a claim."""

    PROMISED = 1
    HELD_BY_OTHER = 2
    FINISHED = 3
    ABSTAINED = 4


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A request to a witness to promise a request id to the sender only.

    ``claim`` numbers the claims of the sender in increasing order, and ``started_at`` is the
    sender's incarnation. ``issued_at`` is when the id was issued. Times are in Unix seconds.
    """

    request_id: str
    claim: int
    started_at: float
    issued_at: float


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """A witness's answer to a claim request.

    A witness that abstains sets ``retry_after_s`` to the time after which it can promise newly
    issued ids.
    """

    request_id: str
    claim: int
    answer: ClaimAnswer
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class ClaimRelease:
    """A notice that the holder gives up a claim and all its earlier ones, none of which it used."""

    request_id: str
    claim: int


@dataclass(frozen=True, slots=True)
class ClaimFinished:
    """A notice that the holder has run the request to completion."""

    request_id: str
    claim: int


@dataclass(frozen=True, slots=True)
class DocumentPull:
    """A request to a peer for its accepted configuration document."""

    revision: int


@dataclass(frozen=True, slots=True)
class DocumentPush:
    """An accepted configuration document, as published."""

    revision: int
    text: str


@dataclass(frozen=True, slots=True)
class SuspectNotice:
    """Evidence about content that may crash backend servers.

    ``deaths`` counts the servers of ``service`` that were lost while they ran the content, as
    counted by the daemon incarnation ``reporter``; any daemon may forward the notice. ``cleared``
    is set once the content has run there without a crash.
    """

    fingerprint: str
    service: str
    deaths: int
    cleared: bool
    until: float
    reporter: str


PeerMessage = (
    Heartbeat
    | BlockStatus
    | BlockRequest
    | BlockReply
    | BlockCancel
    | HandoverRequest
    | HandoverReply
    | ClaimRequest
    | ClaimReply
    | ClaimRelease
    | ClaimFinished
    | DocumentPull
    | DocumentPush
    | SuspectNotice
)
