"""HTTP listeners that bound their connections and can vanish and return on one port."""

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
"""Where a WSGI environment holds the connection's socket."""

logger = logging.getLogger(__name__)

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reserve_port() -> socket.socket:
    """Return a socket that keeps a free loopback port from others without listening on it.

    Connections to the port are refused until another socket with address reuse listens on it.
    """
    guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    guard.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    guard.bind((LOOPBACK, 0))
    return guard


class _Handler(WSGIHandler):
    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

    def log_request(self) -> None:
        """Log nothing."""

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        if issubclass(t, gevent.GreenletExit):
            # The listener has vanished: the request ends without an answer.
            self.close_connection = True
            return
        super().handle_error(t, v, tb)


class _Server(WSGIServer):
    handler_class = _Handler

    def __init__(self, listening: Any, app: Any, owner: Listener) -> None:
        super().__init__(listening, app, log=None, error_log=logger, spawn=Pool())
        self._owner = owner

    def handle(self, sock: Any, address: Any) -> None:
        owner = self._owner
        if not owner.admit(sock):
            return
        try:
            if owner.connect_s():
                gevent.sleep(owner.connect_s())
            super().handle(sock, address)
        finally:
            owner.open_sockets.discard(sock)


class Listener:
    """One loopback port with an application behind it.

    ``limit`` and ``connect_s`` are asked at each new connection: how many may be open, and how
    many seconds one costs.
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
        self._app = app
        self._limit = limit
        self._on_refused = on_refused
        self._on_open = on_open
        self._guard = reserve_port()
        self._server: _Server | None = None

    @property
    def address(self) -> str:
        """The address as ``ip:port``."""
        host, port = self._guard.getsockname()
        return f"{host}:{port}"

    def open(self) -> None:
        """Begin to listen."""
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(self._guard.getsockname())
        listening.listen(BACKLOG_COUNT)
        listening.setblocking(False)
        wrapped = gevent.socket.socket(fileno=listening.detach())
        self._server = _Server(wrapped, self._app, self)
        self._server.start()

    def vanish(self) -> None:
        """Refuse new connections and reset the open ones; their requests end unanswered."""
        server, self._server = self._server, None
        if server is None:
            return
        server.close()
        for sock in self.open_sockets:
            reset_when_closed(sock)
        server.pool.kill(block=False)

    def close(self) -> None:
        """Vanish and give up the port."""
        self.vanish()
        self._guard.close()

    def admit(self, sock: Any) -> bool:
        """Take in a new connection, or reset it when too many are open."""
        if len(self.open_sockets) >= self._limit():
            reset_when_closed(sock)
            self._on_refused()
            return False
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open_sockets.add(sock)
        self._on_open(len(self.open_sockets))
        return True


def reset_when_closed(sock: Any) -> None:
    """Have the close of *sock* send a reset, as it does without lingering, not an orderly end."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
