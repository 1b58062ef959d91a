"""A urllib3 connection pool that does not block other greenlets."""

from __future__ import annotations

import socket

from gevent import socket as gevent_socket
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

from .http_heads import WholeHeadResponse


class _PooledConnection(HTTPConnection):
    """A connection on gevent's sockets, whether or not the process is monkey-patched."""

    response_class = WholeHeadResponse

    def connect(self) -> None:
        """Open the connection.

        Raises ``OSError``.
        """
        self.sock = gevent_socket.create_connection((self.host, self.port), self.timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class GeventConnectionPool(HTTPConnectionPool):
    """A pool of connections on gevent's sockets."""

    ConnectionCls = _PooledConnection
