"""A complete gateway daemon in the test process, with a stand-in platform around it."""

from __future__ import annotations

from contextlib import contextmanager

import gevent
from gevent import socket

from marigoldwalk.gateway.settings import parse_gateway_settings
from marigoldwalk.platform.program import make_gateway
from standins.gateway_backends import (
    StandinServer,
    StandinStore,
    config_record,
    route_record,
    stopping,
)

from ..daemon.scripted import TEST_TIMEOUT_S

SETTINGS = """
name: g-1
domain: north
caller_address: 127.0.0.1:0
readiness_address: 127.0.0.1:0
peer_address: 127.0.0.1:0
store_address: {store}
grace_s: 4
"""


class Daemon:
    """A gateway daemon that runs in a greenlet."""

    def __init__(self, store):
        settings = parse_gateway_settings(SETTINGS.format(store=store.address))
        self.gateway = make_gateway(settings)
        self.running = gevent.spawn(self.gateway.run)

    def wait_until_ready(self):
        with gevent.Timeout(TEST_TIMEOUT_S):
            while not self.gateway.is_ready():
                gevent.sleep(0.002)

    def stop(self):
        self.gateway.request_stop()
        return self.running.get(timeout=TEST_TIMEOUT_S)

    def kill(self):
        self.running.kill()
        self.gateway.close()

    def connect(self):
        address = self.gateway.caller_address
        return socket.create_connection((address.host, address.port), TEST_TIMEOUT_S)


def wait_until(condition):
    with gevent.Timeout(TEST_TIMEOUT_S):
        while not condition():
            gevent.sleep(0.005)


def request(path="/one/1", method="GET", request_id="q-1", body=None, headers=()):
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: desk.example",
        f"X-Marigoldwalk-Request-Id: {request_id}",
        "X-Marigoldwalk-Deadline-Ms: 3000",
        *headers,
    ]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


def read_response(stream):
    """Return status, headers and body of the next response, or None at the end of the stream."""
    line = stream.readline()
    if not line:
        return None
    status = int(line.split()[1])
    headers = {}
    while (header := stream.readline().strip()) != b"":
        name, _, value = header.decode().partition(":")
        headers[name.lower()] = value.strip()
    return status, headers, stream.read(int(headers.get("content-length", 0)))


def ask(daemon, *requests):
    """Send *requests* one after the other on one connection and return the responses."""
    with daemon.connect() as sock, sock.makefile("rb") as stream:
        responses = []
        for data in requests:
            sock.sendall(data)
            responses.append(read_response(stream))
        return responses


@contextmanager
def deployment(routes=None, servers=None):
    """Run a store, servers by service and a daemon that routes to them."""
    servers = servers or {"s-1": [StandinServer("i-1", b"the whole body")]}
    store = StandinStore()
    all_servers = [server for group in servers.values() for server in group]
    with stopping(store, *all_servers):
        for service, group in servers.items():
            for server in group:
                store.put(f"servers/{server.server_id}", server.registration(service))
        store.put("op/config", config_record(1, routes or [route_record()], list(servers)))
        daemon = Daemon(store)
        daemon.wait_until_ready()
        try:
            yield daemon, store
        finally:
            daemon.kill()
