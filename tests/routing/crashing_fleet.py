"""Several daemons in virtual time, with servers that crash while they execute certain content."""

from __future__ import annotations

from dataclasses import dataclass, field

from .fleet import Fleet
from .simulation import REFUSED, registration, server_reply

CRASH_DELAY_S = 0.003
DOWN_S = 3.0
REGISTRATION_LAG_S = 1.0
"""Time from a server's start until daemons know of it."""


@dataclass(eq=False)
class CrashingServer:
    """A server that crashes when it starts to execute one of the contents in *deadly*."""

    server_id: str
    service: str
    domain: str
    deadly: set[str]
    work_s: float
    crash_delay_s: float = CRASH_DELAY_S
    """Time from the start of a deadly request to the crash."""
    fails_deadly: bool = False
    """Whether it answers deadly requests with an error of its own instead of a crash."""
    up_at: float = 0.0
    incarnation: int = 1
    open_attempts: list = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    """Time and id of each request that reached the server."""

    def record(self):
        return registration(
            self.server_id, self.service, self.domain, started_at_ms=self.incarnation
        )

    def answer(self, daemon, attempt):
        if daemon.now < self.up_at:
            return 0.001, REFUSED
        self.arrivals.append((daemon.now, attempt.task.exchange.request.request_id))
        self.open_attempts.append((daemon, attempt))
        if attempt.task.exchange.request.fingerprint in self.deadly:
            if self.fails_deadly:
                return self.work_s, server_reply(status=500)
            daemon.schedule(daemon.now + self.crash_delay_s, lambda: self.crash(daemon.now))
            return 0.0, None
        return self.work_s, server_reply()

    def is_listening(self, now):
        return now >= self.up_at

    def crash(self, now):
        """End the process, with all requests that it executes."""
        if now < self.up_at:
            return
        self.crashes.append(now)
        self.up_at = now + DOWN_S
        lost, self.open_attempts = self.open_attempts, []
        for daemon, attempt in lost:
            daemon.lose(attempt)


class CrashingFleet(Fleet):
    """A fleet whose servers start again some time after a crash."""

    @property
    def crashes(self):
        """The times of all crashes, in order."""
        return sorted(time for server in self.servers for time in server.crashes)

    def _update_servers(self):
        for server in self.servers:
            if len(server.crashes) >= server.incarnation and self.now >= server.up_at:
                server.incarnation = len(server.crashes) + 1
                for daemon in self.daemons:
                    daemon.register(server.record(), REGISTRATION_LAG_S)
