"""A loopback TCP proxy that can delay, reset or block its connections."""

from __future__ import annotations

import socket
from enum import Enum
from typing import TYPE_CHECKING

import gevent
from gevent import socket as gevent_socket
from gevent.event import Event
from gevent.server import StreamServer

from standins.listener import LOOPBACK, reset_when_closed

if TYPE_CHECKING:
    from marigoldwalk.config.view import Address

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 2.0
DELAY_S = 0.08
"""Delay per read on a delayed link, many times the latency between failure domains."""


class LinkState(Enum):
    """How a link treats data."""

    HEALTHY = "healthy"
    DELAYED = "delayed"
    BLOCKED = "blocked"
    """Open and new connections stay open, but no data passes."""
    REPLIES_BLOCKED = "replies_blocked"
    """Requests pass and responses do not."""


class Relay:
    """A listening port whose connections are forwarded to *target*."""

    def __init__(self, target: Address, port: int = 0) -> None:
        self.target = target
        self.state = LinkState.HEALTHY
        self._healed = Event()
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()
        self._server = StreamServer((LOOPBACK, port), self._serve)
        self._server.start()

    @property
    def port(self) -> int:
        """The port to connect to."""
        return self._server.server_port

    def set_state(self, state: LinkState) -> None:
        """Set the state of the link; blocked data is delivered once it is healthy or delayed."""
        self.state = state
        if state in (LinkState.HEALTHY, LinkState.DELAYED):
            self._healed.set()
        else:
            self._healed.clear()

    def reset_connections(self) -> None:
        """Reset all open connections; new ones are accepted."""
        for pair in list(self._pairs):
            for sock in pair:
                _reset(sock)

    def stop(self) -> None:
        """Stop the relay and reset its connections."""
        self.reset_connections()
        self._server.stop(timeout=0)

    def _serve(self, client: socket.socket, _: object) -> None:
        address = (self.target.host, self.target.port)
        try:
            upstream = gevent_socket.create_connection(address, CONNECT_TIMEOUT_S)
        except OSError:
            _reset(client)
            return
        upstream.settimeout(None)
        for sock in (client, upstream):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (client, upstream)
        self._pairs.add(pair)
        forwarders = [
            gevent.spawn(self._forward, client, upstream, True),
            gevent.spawn(self._forward, upstream, client),
        ]
        gevent.joinall(forwarders)
        self._pairs.discard(pair)
        client.close()
        upstream.close()

    def _forward(
        self, source: socket.socket, sink: socket.socket, is_request: bool = False
    ) -> None:
        try:
            while data := source.recv(READ_BYTES):
                self._wait_while_blocked(is_request)
                sink.sendall(data)
            self._wait_while_blocked(is_request)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # Propagate the broken connection to the other side.
            _reset(sink)

    def _wait_while_blocked(self, is_request: bool) -> None:
        """Wait for the delay of the link, or while the link is blocked."""
        if self.state is LinkState.DELAYED:
            gevent.sleep(DELAY_S)
        while self.state is LinkState.BLOCKED or (
            self.state is LinkState.REPLIES_BLOCKED and not is_request
        ):
            self._healed.wait()


def _reset(sock: socket.socket) -> None:
    """Close *sock* with a reset; greenlets that wait on it get an error."""
    try:
        reset_when_closed(sock)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The socket is already closed.
        pass
    finally:
        sock.close()
