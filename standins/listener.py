"""HTTP listeners that limit their connections and can stop and restart on the same port."""

from __future__ import annotations

import logging
import socket
import struct
from typing import TYPE_CHECKING, Any

import gevent
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

if TYPE_CHECKING:
    from collections.abc import Callable

LOOPBACK = "127.0.0.1"
BACKLOG_COUNT = 256
SOCKET_KEY = "standins.socket"
"""Key of the connection's socket in a WSGI environment."""

logger = logging.getLogger(__name__)

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reserve_port() -> socket.socket:
    """Return a socket that reserves a free loopback port without listening on it.

    Connections to the port are refused until another socket with SO_REUSEADDR listens on it.
    """
    reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((LOOPBACK, 0))
    return reservation


class _Handler(WSGIHandler):
    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

    def log_request(self) -> None:
        """Disable the access log."""

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        if issubclass(t, gevent.GreenletExit):
            # The listener was stopped: close the connection without a response.
            self.close_connection = True
            return
        super().handle_error(t, v, tb)


class _Server(WSGIServer):
    handler_class = _Handler

    def __init__(self, listening: Any, app: Any, listener: Listener) -> None:
        super().__init__(listening, app, log=None, error_log=logger, spawn=Pool())
        self._listener = listener

    def do_handle(self, sock: Any, address: Any) -> None:
        """Start the handler of a new connection."""
        self._listener.starting_sockets.add(sock)
        super().do_handle(sock, address)

    def handle(self, sock: Any, address: Any) -> None:
        listener = self._listener
        listener.starting_sockets.discard(sock)
        if not listener.admit(sock):
            return
        try:
            if listener.connect_s():
                gevent.sleep(listener.connect_s())
            super().handle(sock, address)
        finally:
            listener.open_sockets.discard(sock)


class Listener:
    """A loopback port that serves a WSGI application.

    ``limit`` and ``connect_s`` are called for each new connection. They return the maximum number
    of open connections and the delay, in seconds, before a new connection is served.
    """

    def __init__(
        self,
        app: Any,
        limit: Callable[[], int] = lambda: 1000,
        connect_s: Callable[[], float] = lambda: 0.0,
        on_refused: Callable[[], None] = lambda: None,
        on_open: Callable[[int], None] = lambda count: None,
    ) -> None:
        self.connect_s = connect_s
        self.open_sockets: set[Any] = set()
        self.starting_sockets: set[Any] = set()
        """Accepted connections whose handler has not started yet."""
        self._app = app
        self._limit = limit
        self._on_refused = on_refused
        self._on_open = on_open
        self._port_reservation = reserve_port()
        self._server: _Server | None = None

    @property
    def address(self) -> str:
        """The address as ``ip:port``."""
        host, port = self._port_reservation.getsockname()
        return f"{host}:{port}"

    def open(self) -> None:
        """Start listening."""
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(self._port_reservation.getsockname())
        listening.listen(BACKLOG_COUNT)
        listening.setblocking(False)
        wrapped = gevent.socket.socket(fileno=listening.detach())
        self._server = _Server(wrapped, self._app, self)
        self._server.start()

    def stop(self) -> None:
        """Refuse new connections and reset the open ones; their requests get no response."""
        server, self._server = self._server, None
        if server is None:
            return
        server.close()
        for sock in self.open_sockets | self.starting_sockets:
            reset_when_closed(sock)
        self.starting_sockets.clear()
        server.pool.kill(block=False)

    def close(self) -> None:
        """Stop listening and release the port."""
        self.stop()
        self._port_reservation.close()

    def admit(self, sock: Any) -> bool:
        """Admit a new connection, or reset it if the limit of open connections is reached."""
        if len(self.open_sockets) >= self._limit():
            reset_when_closed(sock)
            self._on_refused()
            return False
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open_sockets.add(sock)
        self._on_open(len(self.open_sockets))
        return True


def reset_when_closed(sock: Any) -> None:
    """Make closing *sock* send a reset (SO_LINGER of 0 s) instead of an orderly shutdown."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
