"""Requests in progress: an exchange for each, with its tasks and their attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..errors import RefusalReason
    from .admission import ConcurrencyLimit
    from .model import Route, Workspace
    from .placement import NoServer
    from .slot_reserve import Presence
    from .tables import ServerRow


@dataclass(frozen=True, slots=True)
class ServerReply:
    """A complete response of a backend server."""

    status: int
    headers: tuple[tuple[str, str], ...]
    """The headers that are passed on to the caller."""
    body: bytes
    signature: str
    """The server's signature of its response to this request, or an empty string."""
    executed: bool
    """``False`` if the server states that it did not execute the request."""
    is_misdirected: bool = False
    """Whether another server now uses the address and sent the reply."""
    is_leaving: bool = False
    """Whether the server says that it is leaving."""
    pause_s: float = 0.0
    """Time for which the server wants no requests from this daemon."""
    rate_limit: float | None = None
    """Requests per second that the server takes from all daemons together, if it states a limit."""

    @property
    def is_success(self) -> bool:
        """Whether the reply is a signed success."""
        return 200 <= self.status < 300 and bool(self.signature)


class LossReason(Enum):
    """The reason why an attempt ended without a reply."""

    CONNECT_FAILED = "connect_failed"
    CONNECT_TIMEOUT = "connect_timeout"
    CLOSED = "closed"
    CRASHED = "crashed"
    """Closed by a server that then refused a new connection."""
    MALFORMED = "malformed"
    ABANDONED = "abandoned"
    TIMEOUT = "timeout"


@dataclass(frozen=True, slots=True)
class LostAttempt:
    """An attempt that ended without a reply. It is falsy."""

    reason: LossReason
    may_have_run: bool
    detail: str = ""

    def __bool__(self) -> bool:
        return False


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as received from a caller."""

    request_id: str
    method: str
    host: str
    path: str
    """The request target as sent, including the query string."""
    received_at: float
    deadline_at: float
    """When the caller stops waiting, on this daemon's clock."""
    fingerprint: str = ""
    """A digest of method, path and body, which identifies repeated requests."""
    key_digests: tuple[bytes, ...] = field(default=(), repr=False)
    """Digests of the keys with which the caller identifies itself."""
    workspace: Workspace | None = None
    """The workspace that holds the caller's key; ``None`` if the request needs none."""


@dataclass(slots=True, eq=False)
class Attempt:
    """A single send of a task to one server."""

    number: int
    task: Task
    row: ServerRow
    sent_at: float
    is_trial: bool = False
    """Whether it was sent alone, since servers had crashed under the content."""
    is_open: bool = True
    is_connected: bool = False
    """Whether the server has taken a new connection for the attempt."""


class TaskState(Enum):
    """The state of a task."""

    WAITING = "waiting"
    SENT = "sent"
    DONE = "done"
    FAILED = "failed"


@dataclass(slots=True, eq=False)
class Task:
    """The part of an exchange that is sent to one service."""

    exchange: Exchange
    service: str
    state: TaskState = TaskState.WAITING
    open_attempts: list[Attempt] = field(default_factory=list)
    may_have_run_on: set[str] = field(default_factory=set)
    """Servers that may have executed the request."""
    possible_run_count: int = 0
    """Number of sends that may have led to an execution, counting several to one server."""
    avoided: set[str] = field(default_factory=set)
    """Servers to which the task is not sent, permanently or for the moment."""
    reply: ServerReply | None = None
    """The successful reply, or the last failure reply of a server."""
    sends: int = 0
    hedge_at: float = float("inf")
    hedge_refusal: str = ""
    """Why the latest check for a hedge did not send one."""
    resend_at: float = float("inf")
    failure: str = ""
    """Why the task failed."""
    refusal: NoServer | None = None
    """Why no server could take the failed task."""

    @property
    def is_over(self) -> bool:
        """Whether the task is done or has failed."""
        return self.state is TaskState.DONE or self.state is TaskState.FAILED

    def finish(self, reply: ServerReply) -> None:
        """End the task with a successful reply."""
        self.reply = reply
        self.state = TaskState.DONE
        self.exchange.done_count += 1

    def fail(self, reason: str) -> None:
        """End the task as failed; the first reason is kept."""
        if self.is_over:
            return
        self.state = TaskState.FAILED
        self.failure = self.failure or reason
        self.exchange.failed_count += 1

    def record_not_run(self, server_id: str) -> None:
        """Undo the count of a send to a server that did not execute it, and avoid that server."""
        self.may_have_run_on.discard(server_id)
        self.possible_run_count -= 1
        self.avoided.add(server_id)

    def schedule_hedge(self, time: float) -> None:
        """Schedule the check for a hedge at *time*."""
        self.hedge_at = time
        self.exchange.due_at = min(self.exchange.due_at, time)

    def schedule_resend(self, time: float) -> None:
        """Schedule another send of the task at *time*."""
        self.state = TaskState.WAITING
        self.resend_at = time
        self.exchange.due_at = min(self.exchange.due_at, time)


@dataclass(slots=True, eq=False)
class Exchange:
    """The processing of one caller's request, from its arrival to its answer."""

    request: CallerRequest
    route: Route
    config_version: int
    target_at: float
    """The latest time at which to answer so that the caller has it within the route's target."""
    give_up_at: float
    """The latest time at which to answer so that the caller has it before its deadline."""
    tasks: list[Task] = field(default_factory=list)
    done_count: int = 0
    failed_count: int = 0
    due_at: float = float("inf")
    """No hedge or resend of a task is due before this time."""
    is_answered: bool = False
    caller_left_at: float | None = None
    limit: ConcurrencyLimit | None = None
    """The limit under which the exchange was admitted."""
    has_run: bool = False
    """Whether a server has executed the request, or its part of it, successfully."""
    holds_place: bool = False
    """Whether the exchange counts as open under the limit."""
    presences: dict[tuple[str, int], Presence] | None = None
    """The latest queries for the same services, by route and priority; looked up once, since the
    services of a wide query are many."""

    @property
    def priority(self) -> int:
        """The priority of the caller's workspace if it has one, else of the route."""
        workspace = self.request.workspace
        if workspace is not None and workspace.priority is not None:
            return workspace.priority
        return self.route.priority

    @property
    def may_have_run(self) -> bool:
        """Whether any server may have started to execute the request."""
        return any(task.may_have_run_on for task in self.tasks)

    @property
    def attempt_count(self) -> int:
        """The number of sends for this exchange."""
        return sum(task.sends for task in self.tasks)


@dataclass(frozen=True, slots=True)
class ForwardedAnswer:
    """A server's reply, forwarded unchanged."""

    reply: ServerReply


@dataclass(frozen=True, slots=True)
class MergedAnswer:
    """The merged records of the shards that answered."""

    signatures: tuple[str, ...]
    missing_count: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """A refusal or an error produced by this daemon."""

    status: int
    reason: RefusalReason
    retry_after_s: float | None = None


Answer = ForwardedAnswer | MergedAnswer | ErrorAnswer


@dataclass(frozen=True, slots=True)
class Send:
    """An action: send the attempt."""

    attempt: Attempt
    deadline_s: float
    """Time in which the server must answer."""


@dataclass(frozen=True, slots=True)
class Abandon:
    """An action: close the connection of the attempt."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Probe:
    """An action: open another connection to the server that closed the one of the attempt."""

    attempt: Attempt
    lost: LostAttempt


@dataclass(frozen=True, slots=True)
class Finish:
    """An action: send the answer to the caller."""

    exchange: Exchange
    answer: Answer


@dataclass(frozen=True, slots=True)
class CheckLinks:
    """An action: open a connection to each of the servers, to learn whether any is reachable."""

    rows: tuple[ServerRow, ...]
    started_at: float
    is_for_connections: bool
    """Whether servers took no connections, while open ones may still work."""


@dataclass(frozen=True, slots=True)
class ReportIsolation:
    """An action: tell the other daemons whether this one reaches any server."""

    is_isolated: bool


Action = Send | Abandon | Probe | Finish | CheckLinks | ReportIsolation
