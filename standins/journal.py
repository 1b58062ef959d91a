"""Counts and events that a stand-in backend server records."""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from dataclasses import asdict, dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a server; ``at`` is in Unix seconds."""

    at: float
    cause: str


@dataclass(frozen=True, slots=True)
class Overload:
    """More concurrent subrequests than a server has slots; ``at`` is in Unix seconds.

    A cold server has one slot. ``attempts`` describes each subrequest: its attempt name and the
    milliseconds left until its deadline.
    """

    at: float
    cold: bool
    attempts: tuple[str, ...]


@dataclass(slots=True)
class Journal:
    """Counts and events of one server over all its incarnations."""

    executions: Counter[str] = field(default_factory=Counter)
    """Number of runs started for each request id."""
    first_run_at: dict[str, float] = field(default_factory=dict)
    """Start of the first run of each request id, in Unix seconds."""
    attempts: Counter[str] = field(default_factory=Counter)
    """Number of subrequests received under each attempt name."""
    outcomes: Counter[str] = field(default_factory=Counter)
    """Number of replies with each state."""
    received_at: list[float] = field(default_factory=list)
    deaths: list[Crash] = field(default_factory=list)
    runs: int = 0
    running_peak: int = 0
    over_slots: int = 0
    """Subrequests received while the server was warm and all its slots were taken."""
    held_peak: int = 0
    """Maximum number of concurrent subrequests, including waiting ones."""
    cold_peak: int = 0
    """Maximum number of concurrent subrequests, including waiting ones, while cold."""
    cold_overloads: int = 0
    """Subrequests received while the server was cold and already had one."""
    crowds: list[Overload] = field(default_factory=list)
    """Every time that the server had more concurrent subrequests than slots."""
    connections_peak: int = 0
    connections_refused: int = 0

    def record_arrival(self, now: float, attempt: str) -> None:
        """Record that a subrequest arrived at *now* (Unix seconds)."""
        self.received_at.append(now)
        self.attempts[attempt] += 1

    def received_after(self, when: float) -> int:
        """Return the number of subrequests that arrived after *when* (Unix seconds)."""
        return len(self.received_at) - bisect_right(self.received_at, when)

    def record_run(self, now: float, request_id: str, running: int) -> None:
        """Record a run that started at *now* (Unix seconds); *running* counts all current runs."""
        self.runs += 1
        self.running_peak = max(self.running_peak, running)
        if request_id:
            self.executions[request_id] += 1
            self.first_run_at.setdefault(request_id, now)

    def summary(self, after: float = 0.0) -> dict[str, Any]:
        """Return the journal as JSON data; ``received`` counts arrivals later than *after*."""
        return {
            "executions": dict(self.executions),
            "first_run_at": dict(self.first_run_at),
            "repeated_attempts": sum(count > 1 for count in self.attempts.values()),
            "outcomes": dict(self.outcomes),
            "received": self.received_after(after),
            "last_received_at": self.received_at[-1] if self.received_at else 0.0,
            "deaths": [{"at": crash.at, "cause": crash.cause} for crash in self.deaths],
            "runs": self.runs,
            "running_peak": self.running_peak,
            "over_slots": self.over_slots,
            "held_peak": self.held_peak,
            "cold_peak": self.cold_peak,
            "cold_overloads": self.cold_overloads,
            "crowds": [asdict(overload) for overload in self.crowds],
            "connections_peak": self.connections_peak,
            "connections_refused": self.connections_refused,
        }
