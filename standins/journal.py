"""What a stand-in for a backend server remembers of its own work."""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from dataclasses import asdict, dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class Death:
    """A crash of a server, in Unix seconds."""

    at: float
    cause: str


@dataclass(frozen=True, slots=True)
class Overload:
    """More subrequests held at once than a server bears; ``at`` is in Unix seconds.

    ``attempts`` has the attempt name of each and the time left to it, in milliseconds.
    """

    at: float
    cold: bool
    attempts: tuple[str, ...]


@dataclass(slots=True)
class Journal:
    """Counts of one server over all its incarnations."""

    executions: Counter[str] = field(default_factory=Counter)
    """Runs begun for each request id."""
    first_run_at: dict[str, float] = field(default_factory=dict)
    """When the first run of each request id began, in Unix seconds."""
    attempts: Counter[str] = field(default_factory=Counter)
    """Subrequests received under each attempt name."""
    outcomes: Counter[str] = field(default_factory=Counter)
    """Replies of each state; ``cancelled`` counts running and waiting work that was cancelled."""
    received_at: list[float] = field(default_factory=list)
    deaths: list[Death] = field(default_factory=list)
    runs: int = 0
    running_peak: int = 0
    over_slots: int = 0
    """Subrequests received by a warm server whose slots were all taken."""
    held_peak: int = 0
    """Most subrequests held at once, waiting ones too."""
    cold_peak: int = 0
    """Most subrequests held at once, waiting ones too, while the server was cold."""
    cold_overloads: int = 0
    """Subrequests received while the server was cold and already held one."""
    crowds: list[Overload] = field(default_factory=list)
    """Times when more was held than the server bears."""
    connections_peak: int = 0
    connections_refused: int = 0

    def record_arrival(self, now: float, attempt: str) -> None:
        """Note that a subrequest arrived at *now* (Unix seconds)."""
        self.received_at.append(now)
        self.attempts[attempt] += 1

    def received_after(self, when: float) -> int:
        """Return how many subrequests arrived after *when*, in Unix seconds."""
        return len(self.received_at) - bisect_right(self.received_at, when)

    def record_run(self, now: float, request_id: str, running: int) -> None:
        """Note that a run began at *now* (Unix seconds), with *running* subrequests in work."""
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
            "deaths": [{"at": death.at, "cause": death.cause} for death in self.deaths],
            "runs": self.runs,
            "running_peak": self.running_peak,
            "over_slots": self.over_slots,
            "held_peak": self.held_peak,
            "cold_peak": self.cold_peak,
            "cold_overloads": self.cold_overloads,
            "crowds": [asdict(crowd) for crowd in self.crowds],
            "connections_peak": self.connections_peak,
            "connections_refused": self.connections_refused,
        }
