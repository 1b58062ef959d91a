"""Events that the I/O layer passes to the core."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..config.view import Address
    from .peer_messages import Hit, Holding, PeerMessage


@dataclass(frozen=True, slots=True)
class QueryReceived:
    """A query from a caller.

    ``deadline_ms`` and ``limit`` are 0 to use the group's defaults. ``key`` selects the shard in
    groups that route by key. ``request_id`` is required in groups whose requests may not be
    repeated; ``issued_at`` is when the id was issued, in Unix seconds. With ``first_sending`` the
    caller asserts that no earlier request with this id can have run.
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
    """The caller no longer waits for the answer to a query."""

    query: int


class ReplyState(Enum):
    """The outcome of a subrequest, as its backend server reports it."""

    DONE = "done"
    SHED = "shed"
    DRAINING = "draining"
    SNAPSHOT_GONE = "snapshot gone"
    EXPIRED = "expired"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class ServerReply:
    """A backend server's reply to one subrequest.

    ``SHED``, ``DRAINING``, ``SNAPSHOT_GONE`` and ``EXPIRED`` guarantee that nothing ran.
    ``retry_after_s`` is the server's hint when to try again.
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
    """A subrequest got no reply; ``sent`` tells whether any byte of it may have been sent."""

    attempt: int
    sent: bool
    timed_out: bool


@dataclass(frozen=True, slots=True)
class SubrequestEnded:
    """A backend server confirmed that it has stopped working on a cancelled subrequest."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ServerClosedConnection:
    """A backend server closed an idle connection."""

    server: str


@dataclass(frozen=True, slots=True)
class ProbeReply:
    """The health that a backend server reports; it may be out of date or wrong."""

    server: str
    incarnation: str
    draining: bool
    cold: bool
    holdings: tuple[Holding, ...]


@dataclass(frozen=True, slots=True)
class ProbeFailed:
    """A health probe got no answer; ``refused`` tells whether the connection was refused."""

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

    ``refused`` means that the machine answered but nothing listens at the daemon's address, so
    its process has ended.
    """

    peer: str
    refused: bool = False


@dataclass(frozen=True, slots=True)
class DocumentRead:
    """The text of a configuration document read from the platform.

    ``requested_at`` is when the daemon requested it. A paused process may read the answer late, so
    only the time of the request bounds how old the answer can be.
    """

    text: str
    requested_at: float


@dataclass(frozen=True, slots=True)
class PlatformConfirmed:
    """The platform confirmed that ``revision`` is still its newest document.

    ``requested_at`` is as in ``DocumentRead``.
    """

    revision: int
    requested_at: float


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
    """The platform's instance list; ``requested_at`` is as in ``DocumentRead``."""

    version: int
    instances: tuple[Instance, ...]
    requested_at: float


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
