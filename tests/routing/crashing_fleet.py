"""Several daemons in virtual time, with servers that crash while they execute certain content."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from marigoldwalk.config.view import Address
from marigoldwalk.gateway.gossip import NEWS_INTERVAL_S
from marigoldwalk.routing.membership import MemberReport, Membership

from .simulation import REFUSED, RESET, Simulation, registration, server_reply

STEP_S = 0.01
ROUND_S = 1.0
"""Interval between gossip rounds."""
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
            daemon.schedule(daemon.now + self.crash_delay_s, lambda: self.crash(daemon.now))
            return 0.0, None
        return self.work_s, server_reply()

    def crash(self, now):
        """End the process, with all requests that it executes."""
        if now < self.up_at:
            return
        self.crashes.append(now)
        self.up_at = now + DOWN_S
        lost, self.open_attempts = self.open_attempts, []
        for daemon, attempt in lost:
            daemon.lose(attempt)


class FleetDaemon(Simulation):
    """One daemon of the fleet; its servers are shared with the others."""

    def __init__(self, name, domain, routes, servers, member_count):
        self.servers = {server.server_id: server for server in servers}
        listed = {s.server_id: (s.service, s.domain) for s in servers}
        super().__init__(routes, listed, members=member_count, domain=domain)
        own = MemberReport(name, Address(name, 1), 1, 0, domain)
        self.membership = Membership(own, [], self.now)

    def lose(self, attempt):
        self.schedule(self.now, lambda: self._end(attempt, RESET))

    def register_later(self, record):
        self.schedule(
            self.now + REGISTRATION_LAG_S,
            lambda: self.world.catalog.apply_registration(record, self.now),
        )

    def _is_listening(self, server_id):
        return self.now >= self.servers[server_id].up_at

    def _answer(self, attempt):
        return self.servers[attempt.row.server_id].answer(self, attempt)


class CrashingFleet:
    """Daemons that share servers and exchange evidence by gossip.

    ::

        fleet = CrashingFleet(routes, servers, ["north", "north", "south"])
        fleet.daemons[0].ask("/one/1", "q-1", fingerprint="deadly")
        fleet.run(1.0)
    """

    def __init__(self, routes, servers, domains, seed=1):
        self.servers = servers
        self.rng = random.Random(seed)
        self.daemons = [
            FleetDaemon(f"g-{number}", domain, routes, servers, len(domains))
            for number, domain in enumerate(domains)
        ]
        self._by_address = {d.membership.own.address: d for d in self.daemons}
        self._rounds = {d: d.now + self.rng.uniform(0, ROUND_S) for d in self.daemons}
        self._news_checks = dict.fromkeys(self.daemons, self.now)
        for daemon in self.daemons:
            daemon.membership.merge([d.membership.own for d in self.daemons], daemon.now)

    @property
    def now(self):
        return self.daemons[0].now

    @property
    def crashes(self):
        """The times of all crashes, in order."""
        return sorted(time for server in self.servers for time in server.crashes)

    def run(self, for_s):
        end = self.now + for_s
        while self.now < end:
            for daemon in self.daemons:
                daemon.run(STEP_S)
            self._restart_servers()
            self._gossip()

    def arrivals(self, prefix):
        """Return when each request whose id starts with *prefix* first reached a server."""
        arrivals = sorted(arrival for server in self.servers for arrival in server.arrivals)
        first = {}
        for time, request_id in arrivals:
            if request_id.startswith(prefix):
                first.setdefault(request_id, time)
        return first

    def _restart_servers(self):
        for server in self.servers:
            if len(server.crashes) >= server.incarnation and self.now >= server.up_at:
                server.incarnation = len(server.crashes) + 1
                for daemon in self.daemons:
                    daemon.register_later(server.record())

    def _gossip(self):
        for daemon in self.daemons:
            if daemon.now >= self._news_checks[daemon]:
                self._news_checks[daemon] += NEWS_INTERVAL_S
                self._send_news(daemon)
            if daemon.now < self._rounds[daemon]:
                continue
            self._rounds[daemon] += ROUND_S
            for address in daemon.membership.next_round(daemon.now):
                self._deliver(daemon, self._by_address[address])

    def _send_news(self, daemon):
        if daemon.world.suspects.take_news():
            for address in daemon.membership.urgent_targets(daemon.now):
                self._deliver(daemon, self._by_address[address])

    def _deliver(self, sender, receiver):
        now = sender.now
        receiver.world.suspects.merge(sender.world.suspects.evidence(now), now)
        receiver.membership.merge(sender.membership.reports(now), now)
