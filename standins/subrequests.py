"""Subrequests as a stand-in backend server receives and tracks them."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from gevent.event import Event
from pydantic import BaseModel, ConfigDict

MAX_EARLY_CANCELS_COUNT = 64


class State(Enum):
    """Result of a subrequest, as sent in its reply."""

    DONE = "done"
    SHED = "shed"
    DRAINING = "draining"
    SNAPSHOT_GONE = "snapshot gone"
    EXPIRED = "expired"
    FAILED = "failed"


class Subrequest(BaseModel):
    """The body of a search request."""

    model_config = ConfigDict(extra="forbid")

    attempt: str
    group: str
    index: str
    snapshot: int
    shards: tuple[int, ...]
    limit: int
    body: dict[str, Any]
    request_id: str = ""
    deadline_ms: float


class CancelRequest(BaseModel):
    """The body of a cancellation."""

    model_config = ConfigDict(extra="forbid")

    attempt: str


@dataclass(slots=True, eq=False)
class ActiveSubrequest:
    """A subrequest that waits or runs on a server. ``deadline`` is in Unix seconds."""

    attempt: str
    deadline: float
    wake: Event = field(default_factory=Event)
    ended: Event = field(default_factory=Event)
    """Set once the server has finished with the subrequest."""
    has_slot: bool = False
    cancelled: bool = False

    def __str__(self) -> str:
        text = f"{self.attempt} with {self.remaining_s() * 1000:.0f} ms left"
        return f"{text}, cancelled" if self.cancelled else text

    def remaining_s(self) -> float:
        """Return the time until the deadline, in seconds."""
        return self.deadline - time.time()

    def cancel(self) -> None:
        """Cancel the subrequest, whether it waits or runs."""
        self.cancelled = True
        self.wake.set()


@dataclass(slots=True, eq=False)
class Incarnation:
    """State of a server between a start and the next crash or restart."""

    name: str
    cold: bool = True
    runs_done: int = 0
    running: int = 0
    waiting: deque[ActiveSubrequest] = field(default_factory=deque)
    subrequests: dict[str, ActiveSubrequest] = field(default_factory=dict)
    cancelled_early: deque[str] = field(
        default_factory=lambda: deque(maxlen=MAX_EARLY_CANCELS_COUNT)
    )
    """Attempts that were cancelled when no such subrequest was active."""

    def subrequest_count(self) -> int:
        """Return the number of running and waiting subrequests."""
        return self.running + len(self.waiting)
