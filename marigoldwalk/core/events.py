"""Events that the shells hand to the core."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..config.view import Address
    from .peer_messages import Hit, Holding, PeerMessage


@dataclass(frozen=True, slots=True)
class QueryReceived:
    """A caller's query. ``deadline_ms`` and ``limit`` are 0 where the group's own applies.

    ``key`` routes a query to one shard in groups that route by key. ``request_id`` is needed in
    groups whose requests may not be repeated; ``issued_at`` is its time in Unix seconds, and
    ``first_sending`` the caller's word that no earlier sending of the id can have run.
    """

    query: int
    group: str
    body: str
    key: str = ""
    deadline_ms: int = 0
    limit: int = 0
    request_id: str = ""
    issued_at: float = 0.0
    first_sending: bool = False


@dataclass(frozen=True, slots=True)
class QueryCancelled:
    """The caller has gone away."""

    query: int


class ReplyState(Enum):
    """What a backend server said to a subrequest."""

    DONE = "done"
    SHED = "shed"
    DRAINING = "draining"
    SNAPSHOT_GONE = "snapshot gone"
    EXPIRED = "expired"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class ServerReply:
    """A backend server's reply to one subrequest.

    ``SHED``, ``DRAINING``, ``SNAPSHOT_GONE`` and ``EXPIRED`` promise that nothing ran.
    ``retry_after_s`` is the server's own hint.
    """

    attempt: int
    state: ReplyState
    incarnation: str
    snapshot: int = 0
    shards: tuple[int, ...] = ()
    hits: tuple[Hit, ...] = ()
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ServerLost:
    """A subrequest without a reply; ``sent`` tells whether a byte of it may have left."""

    attempt: int
    sent: bool
    timed_out: bool


@dataclass(frozen=True, slots=True)
class SubrequestEnded:
    """A backend server confirmed that it works no more on a cancelled subrequest."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ServerClosedConnection:
    """A backend server closed a connection that nothing was using."""

    server: str


@dataclass(frozen=True, slots=True)
class ProbeReply:
    """A backend server's health, which may lag or mislead."""

    server: str
    incarnation: str
    draining: bool
    cold: bool
    holdings: tuple[Holding, ...]


@dataclass(frozen=True, slots=True)
class ProbeFailed:
    """A health probe without an answer; ``refused`` when the connection was refused."""

    server: str
    refused: bool


@dataclass(frozen=True, slots=True)
class PeerReceived:
    """A message from another daemon."""

    sender: str
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class PeerDisconnected:
    """The connection to a daemon was refused or reset.

    ``refused`` means that its machine answered and nothing listens at its address: the process is
    gone.
    """

    peer: str
    refused: bool = False


@dataclass(frozen=True, slots=True)
class DocumentRead:
    """The text of a configuration document read from the platform.

    ``asked_at`` is when the daemon asked for it. An answer may lie unread in a paused process, so
    only the time of the question tells how old it can be.
    """

    text: str
    asked_at: float


@dataclass(frozen=True, slots=True)
class PlatformConfirmed:
    """The platform answered that ``revision`` is still its newest document.

    ``asked_at`` is as in ``DocumentRead``.
    """

    revision: int
    asked_at: float


@dataclass(frozen=True, slots=True)
class PlatformFailed:
    """The platform's configuration service did not answer."""


@dataclass(frozen=True, slots=True)
class Instance:
    """A daemon in the platform's instance list."""

    name: str
    address: Address
    domain: str
    leaving: bool


@dataclass(frozen=True, slots=True)
class InstancesRead:
    """The platform's instance list; ``asked_at`` is as in ``DocumentRead``."""

    version: int
    instances: tuple[Instance, ...]
    asked_at: float


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The operator asked this daemon to stop."""


Event = (
    QueryReceived
    | QueryCancelled
    | ServerReply
    | ServerLost
    | SubrequestEnded
    | ServerClosedConnection
    | ProbeReply
    | ProbeFailed
    | PeerReceived
    | PeerDisconnected
    | DocumentRead
    | PlatformConfirmed
    | PlatformFailed
    | InstancesRead
    | StopRequested
)
