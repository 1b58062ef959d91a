"""Servers that name the requests a second that they take from all daemons together."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from .fleet import Fleet
from .simulation import registration, server_reply

STABILITY_S = 4.0
"""Time after a server first named its limit from which the bound holds."""
WINDOW_S = 4.0
NOTICE_S = 0.5
"""Time after a daemon has received an answer with a limit from which its requests count."""


@dataclass(eq=False)
class LimitedServer:
    """A server with a limit for each time; *limits* holds pairs of start time and limit.

    ``None`` as limit means that answers name none. Times count from the start of the fleet.
    """

    server_id: str
    service: str
    domain: str
    limits: list[tuple[float, float | None]]
    work_s: float = 0.03
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    counted: list[float] = field(default_factory=list)
    """Times of the arrivals from daemons that knew of the limit."""
    _told_at: dict = field(default_factory=dict)
    started_at: float = 100.0

    def record(self):
        return registration(self.server_id, self.service, self.domain)

    def limit(self, now):
        passed = [limit for start, limit in self.limits if now >= self.started_at + start]
        return passed[-1] if passed else None

    def is_listening(self, now):
        return True

    def answer(self, daemon, attempt):
        self.arrivals.append((daemon.now, attempt.task.exchange.request.request_id))
        if daemon.now >= self._told_at.get(daemon, float("inf")) + NOTICE_S:
            self.counted.append(daemon.now)
        limit = self.limit(daemon.now + self.work_s)
        if limit is None:
            self._told_at.pop(daemon, None)
        else:
            self._told_at.setdefault(daemon, daemon.now + self.work_s)
        return self.work_s, replace(server_reply(), rate_limit=limit)

    def excess(self):
        """Return by how much the arrivals in the worst window exceed what the limit allows."""
        first = min(start for start, limit in self.limits if limit is not None)
        bound_from = self.started_at + first + STABILITY_S
        return max(
            (self._excess_from(start) for start in self.counted if start >= bound_from),
            default=float("-inf"),
        )

    def _excess_from(self, start):
        arrived = sum(start <= time <= start + WINDOW_S for time in self.counted)
        steps = 40
        times = [start + WINDOW_S * (step + 0.5) / steps for step in range(steps)]
        allowed = sum(
            float("inf") if (limit := self.limit(time)) is None else limit * WINDOW_S / steps
            for time in times
        )
        return arrived - (1.5 * allowed + 5)

    def rate(self, from_s, to_s):
        """Return the arrivals a second between two times from the start of the fleet."""
        start, end = self.started_at + from_s, self.started_at + to_s
        return sum(start <= time < end for time, _ in self.arrivals) / (to_s - from_s)


def offer(fleet, per_s, for_s, path="/one/1", prefix="q", wait_s=1.5):
    """Send requests at random times to random daemons."""
    end = fleet.now + for_s
    next_at = fleet.now + fleet.rng.expovariate(per_s)
    number = 0
    while fleet.now < end:
        fleet.run(0.01)
        while next_at <= fleet.now:
            next_at += fleet.rng.expovariate(per_s)
            number += 1
            daemon = fleet.rng.choice(fleet.daemons)
            daemon.ask(path, f"{prefix}-{fleet.now:.2f}-{number}", wait_s)


def limited_fleet(route, servers, daemon_count, seed=1):
    domains = [("north", "centre", "south")[number % 3] for number in range(daemon_count)]
    return Fleet([route], servers, domains, seed)
