"""Links between a daemon and its servers that can be cut in the ways in which networks fail."""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import replace

from gevent import socket
from gevent.server import StreamServer

from marigoldwalk.config.view import Address
from marigoldwalk.routing.membership import MemberReport
from soak.relay import LinkState, Relay
from standins.gateway_backends import StandinStore, config_record, stopping
from standins.listener import LOOPBACK

from .daemons import Daemon, wait_until

SILENT = "silent"
"""Open connections pass no data, and new ones get no answer."""
RESET = "reset"
"""Open connections are reset, and new ones are refused."""
REFUSED = "refused"
"""Open connections go on, and new ones are refused."""

QUEUE_FILLERS = 4
"""Connections that fill the accept queue of a listener with a backlog of 0."""


class Link(Relay):
    """A proxy before one server."""

    def __init__(self, target):
        super().__init__(target)
        self.address = Address(LOOPBACK, self.port)
        self._fillers = []
        self._successor = None

    def cut(self, how):
        self._server.close()
        if how == SILENT:
            self.set_state(LinkState.BLOCKED)
            self._fill_accept_queue()
        elif how == RESET:
            self.reset_connections()

    def sever(self):
        """Let the open connections fall silent for good, while new ones work."""
        self._server.close()
        self.set_state(LinkState.BLOCKED)
        self._successor = Relay(self.target, self.address.port)

    def heal(self):
        self._close_fillers()
        self.set_state(LinkState.HEALTHY)
        self._server = StreamServer((LOOPBACK, self.address.port), self._serve)
        self._server.start()

    def stop(self):
        self._close_fillers()
        if self._successor is not None:
            self._successor.stop()
        super().stop()

    def _fill_accept_queue(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((LOOPBACK, self.address.port))
        listener.listen(0)
        self._fillers = [listener]
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((LOOPBACK, self.address.port))
            self._fillers.append(filler)

    def _close_fillers(self):
        for sock in self._fillers:
            sock.close()
        self._fillers = []


class LinkedFleet:
    """Two daemons with the same servers; the links of the first can be cut."""

    def __init__(self, entry, other, links):
        self.entry = entry
        self.other = other
        self.links = links

    def cut(self, how):
        for link in self.links:
            link.cut(how)

    def heal(self):
        for link in self.links:
            link.heal()


@contextmanager
def linked_fleet(routes, servers):
    """Run two daemons that route to *servers*, a list of servers by service."""
    links = {server: Link(server.address) for group in servers.values() for server in group}
    stores = StandinStore(), StandinStore()
    with stopping(*stores, *links, *links.values()):
        for store in stores:
            for service, group in servers.items():
                for server in group:
                    end = links[server] if store is stores[0] else server
                    record = server.registration(service, address=str(end.address))
                    store.put(f"servers/{server.server_id}", record)
            store.put("op/config", config_record(1, routes, list(servers)))
        entry, other = (Daemon(store) for store in stores)
        try:
            for daemon in (entry, other):
                daemon.wait_until_ready()
                rows = daemon.gateway.world.catalog.rows
                wait_until(lambda rows=rows: len(rows) == len(links))
            introduce(entry, other)
            yield LinkedFleet(entry, other, list(links.values()))
        finally:
            entry.kill()
            other.kill()


def introduce(entry, other, heartbeat=1, **changes):
    """Give *entry* a report on *other*, as gossip would."""
    address = other.gateway.peer_address
    report = replace(MemberReport("g-2", address, 1, heartbeat, "north"), **changes)
    gateway = entry.gateway
    gateway._membership.merge([report], gateway._clock.now())
