"""Actions that the core requests from the I/O layer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..config.view import Address
    from ..errors import Code, Execution
    from .peer_messages import Hit, MissingShard, PeerMessage


@dataclass(frozen=True, slots=True)
class AnswerCaller:
    """The final answer to a query.

    ``snapshot`` and ``shard_count`` are 0 if the query was not pinned to a snapshot. ``answered``
    counts the shards whose results are in ``hits``. ``elapsed_s`` is the time spent in this
    daemon.
    """

    query: int
    code: Code
    reason: str
    execution: Execution
    group: str
    index: str
    snapshot: int
    shard_count: int
    answered: int
    missing: tuple[MissingShard, ...]
    hits: tuple[Hit, ...]
    retry_after_s: float
    elapsed_s: float
    subrequests: int


@dataclass(frozen=True, slots=True)
class SendSubrequest:
    """Send one subrequest to a backend server.

    The I/O layer does not retry. ``deadline`` is in Unix seconds; once it has passed, the I/O
    layer closes the connection and reports ``ServerLost``.
    """

    attempt: int
    server: str
    address: Address
    group: str
    index: str
    snapshot: int
    shards: tuple[int, ...]
    body: str
    limit: int
    request_id: str
    deadline: float


@dataclass(frozen=True, slots=True)
class CancelSubrequest:
    """Cancel a subrequest at its server.

    The only event that may follow for the subrequest is ``SubrequestEnded``, once the server has
    confirmed that it stopped.
    """

    attempt: int


@dataclass(frozen=True, slots=True)
class ProbeServer:
    """Probe the health of a backend server."""

    server: str
    address: Address


@dataclass(frozen=True, slots=True)
class ReadInstances:
    """Read the instance list now, since another daemon has a newer one."""


@dataclass(frozen=True, slots=True)
class SendPeer:
    """Send a message to another daemon; the message may be lost."""

    peer: str
    address: Address
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class ReadinessChanged:
    """The daemon became ready for callers, or stopped being ready."""

    ready: bool
    reason: str


@dataclass(frozen=True, slots=True)
class Note:
    """A change of state to be logged.

    ``subject`` is the kind of thing that changed and ``change`` is what happened to it, for example
    "peer" and "unreachable". Together they are the log message; ``detail`` is a field of the line.
    """

    subject: str
    change: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Exit:
    """A planned stop is complete."""


Action = (
    AnswerCaller
    | SendSubrequest
    | CancelSubrequest
    | ProbeServer
    | ReadInstances
    | SendPeer
    | ReadinessChanged
    | Note
    | Exit
)
