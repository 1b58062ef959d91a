"""Tables of requests under way: an exchange for each, its tasks and their attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..errors import RefusalReason
    from .model import Route
    from .tables import ServerRow


@dataclass(frozen=True, slots=True)
class ServerReply:
    """A whole response of a backend server."""

    status: int
    headers: tuple[tuple[str, str], ...]
    """The headers that concern the caller too."""
    body: bytes
    signature: str
    """The server's signature of a response to this request; empty if there is none."""
    executed: bool
    """``False`` if the server states that it did not run the request."""
    is_other_server: bool = False
    """Whether another server has the address now."""

    @property
    def is_success(self) -> bool:
        """Whether this is a sound success."""
        return 200 <= self.status < 300 and bool(self.signature)


class LossReason(Enum):
    """Why an attempt has no reply."""

    CONNECT_FAILED = "connect_failed"
    CONNECT_TIMEOUT = "connect_timeout"
    CLOSED = "closed"
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
    """What a caller asked for."""

    request_id: str
    method: str
    host: str
    path: str
    """The request target as sent, query included."""
    received_at: float
    deadline_at: float
    """When the caller stops waiting, as seen by this daemon."""
    fingerprint: str = ""
    """A digest of method, path and body, by which a repeated request is known again."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a task to one server."""

    number: int
    task: Task
    row: ServerRow
    sent_at: float
    is_open: bool = True


class TaskState(Enum):
    """Where a task stands."""

    WAITING = "waiting"
    SENT = "sent"
    DONE = "done"
    FAILED = "failed"


@dataclass(slots=True, eq=False)
class Task:
    """The part of an exchange that one service answers."""

    exchange: Exchange
    service: str
    state: TaskState = TaskState.WAITING
    open_attempts: list[Attempt] = field(default_factory=list)
    may_have_run_on: set[str] = field(default_factory=set)
    """Servers on which the request may have run."""
    run_count: int = 0
    """Sends after which it may have run, several to one server among them."""
    avoided: set[str] = field(default_factory=set)
    """Servers that this task is not sent to, or not at the moment."""
    reply: ServerReply | None = None
    """The part, or the last failure that a server answered."""
    sends: int = 0
    hedge_at: float = float("inf")
    hedge_refusal: str = ""
    """Why no second attempt was sent when one was considered last."""
    resend_at: float = float("inf")
    failure: str = ""
    """Why the task failed."""

    @property
    def is_over(self) -> bool:
        """Whether nothing more will come of the task."""
        return self.state is TaskState.DONE or self.state is TaskState.FAILED

    def finish(self, reply: ServerReply) -> None:
        """End the task with its part."""
        self.reply = reply
        self.state = TaskState.DONE
        self.exchange.done_count += 1

    def fail(self, reason: str) -> None:
        """End the task without a part; the first reason counts."""
        if self.is_over:
            return
        self.state = TaskState.FAILED
        self.failure = self.failure or reason
        self.exchange.failed_count += 1

    def note_not_run(self, server_id: str) -> None:
        """Take back a send to a server that did not run it, and leave that server out for now."""
        self.may_have_run_on.discard(server_id)
        self.run_count -= 1
        self.avoided.add(server_id)

    def hedge_from(self, time: float) -> None:
        """Consider a second attempt at *time*."""
        self.hedge_at = time
        self.exchange.due_at = min(self.exchange.due_at, time)

    def resend_from(self, time: float) -> None:
        """Wait to be sent again until *time*."""
        self.state = TaskState.WAITING
        self.resend_at = time
        self.exchange.due_at = min(self.exchange.due_at, time)


@dataclass(slots=True, eq=False)
class Exchange:
    """One caller's request from its arrival to its answer."""

    request: CallerRequest
    route: Route
    config_version: int
    target_at: float
    """The latest moment at which an answer reaches the caller within the route's target."""
    give_up_at: float
    """The latest moment at which an answer reaches the caller in time."""
    tasks: list[Task] = field(default_factory=list)
    done_count: int = 0
    failed_count: int = 0
    due_at: float = float("inf")
    """No task has anything due before this."""
    is_answered: bool = False
    caller_left_at: float | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether some server may have begun to run the request."""
        return any(task.may_have_run_on for task in self.tasks)

    @property
    def attempt_count(self) -> int:
        """How many sends were made for it."""
        return sum(task.sends for task in self.tasks)


@dataclass(frozen=True, slots=True)
class ForwardedAnswer:
    """One server's reply, unchanged."""

    reply: ServerReply


@dataclass(frozen=True, slots=True)
class MergedAnswer:
    """The merged records of several shards."""

    signatures: tuple[str, ...]
    missing_count: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """A refusal or failure of the tier itself."""

    status: int
    reason: RefusalReason
    retry_after_s: float | None = None


Answer = ForwardedAnswer | MergedAnswer | ErrorAnswer


@dataclass(frozen=True, slots=True)
class Send:
    """Have the shell send an attempt."""

    attempt: Attempt
    deadline_s: float
    """Time that the server may take."""


@dataclass(frozen=True, slots=True)
class Abandon:
    """Have the shell close the connection of an attempt."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Finish:
    """Have the shell answer the caller."""

    exchange: Exchange
    answer: Answer


Action = Send | Abandon | Finish
