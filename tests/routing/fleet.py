"""Several daemons in virtual time that share servers and exchange evidence by gossip."""

from __future__ import annotations

import random

from marigoldwalk.config.view import Address
from marigoldwalk.gateway.gossip import NEWS_INTERVAL_S
from marigoldwalk.routing.membership import MemberReport, Membership
from marigoldwalk.routing.senders import Senders

from .simulation import RESET, Simulation

STEP_S = 0.01
ROUND_S = 1.0
"""Interval between gossip rounds."""


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

    def register(self, record, after_s):
        self.schedule(
            self.now + after_s, lambda: self.world.catalog.apply_registration(record, self.now)
        )

    def _is_listening(self, server_id):
        return self.servers[server_id].is_listening(self.now)

    def _answer(self, attempt):
        return self.servers[attempt.row.server_id].answer(self, attempt)


class Fleet:
    """Daemons that share servers and exchange evidence by gossip.

    ::

        fleet = Fleet(routes, servers, ["north", "north", "south"])
        fleet.daemons[0].ask("/one/1", "q-1")
        fleet.run(1.0)

    A server has an id, a service, a domain and ``arrivals``; ``answer`` returns the delay and the
    outcome of an attempt, and ``is_listening`` whether it takes connections.
    """

    step_s = STEP_S

    def __init__(self, routes, servers, domains, seed=1):
        self.servers = servers
        self.rng = random.Random(seed)
        self.daemons = [
            FleetDaemon(f"g-{number}", domain, routes, servers, len(domains))
            for number, domain in enumerate(domains)
        ]
        names = tuple(daemon.membership.own.name for daemon in self.daemons)
        for daemon in self.daemons:
            daemon.world.senders = Senders(daemon.membership.own.name, names)
        self._by_address = {d.membership.own.address: d for d in self.daemons}
        self._rounds = {d: d.now + self.rng.uniform(0, ROUND_S) for d in self.daemons}
        self._news_checks = dict.fromkeys(self.daemons, self.now)
        for daemon in self.daemons:
            daemon.membership.merge([d.membership.own for d in self.daemons], daemon.now)

    @property
    def now(self):
        return self.daemons[0].now

    def run(self, for_s):
        end = self.now + for_s
        while self.now < end:
            for daemon in self.daemons:
                daemon.run(self.step_s)
            self._update_servers()
            self._gossip()

    def arrivals(self, prefix):
        """Return when each request whose id starts with *prefix* first reached a server."""
        arrivals = sorted(arrival for server in self.servers for arrival in server.arrivals)
        first = {}
        for time, request_id in arrivals:
            if request_id.startswith(prefix):
                first.setdefault(request_id, time)
        return first

    def _update_servers(self):
        """Change the servers after a step; for subclasses."""

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
