"""HTTP connections that do not block other greenlets."""

from __future__ import annotations

import http.client
import socket
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from gevent import socket as gevent_socket

from .http_heads import WholeHeadResponse

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete HTTP response."""

    status: int
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)
    """The headers; names are looked up without regard to case."""


class GeventConnection(http.client.HTTPConnection):
    """A connection on gevent's sockets, whether or not the process is monkey-patched."""

    response_class = WholeHeadResponse

    _unsent_parts: list[bytes] | None = None
    """Parts of the request that is being written; ``exchange`` sends them together."""

    def connect(self) -> None:
        """Open the connection.

        Raises ``OSError``.
        """
        self.sock = gevent_socket.create_connection((self.host, self.port), self.timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def exchange(
        self, method: str, path: str, body: bytes | None, headers: Mapping[str, str]
    ) -> Reply:
        """Send one request on an open connection and return its complete reply.

        The request is sent with a single call. The response is read with the standard library's
        ``HTTPResponse``. urllib3's response class also decodes the content and copies the headers,
        which takes as much processor time as the rest of the exchange, and loading urllib3 would
        delay the start of a daemon.

        The connection can be used again if ``sock`` is still set. Raises ``OSError`` and
        ``http.client.HTTPException``.
        """
        self._unsent_parts = []
        self.putrequest(method, path, skip_accept_encoding=True)
        for name, value in headers.items():
            self.putheader(name, value)
        if body is not None:
            self.putheader("Content-Length", str(len(body)))
        self.endheaders(body)
        parts, self._unsent_parts = self._unsent_parts, None
        self.sock.sendall(b"".join(parts))
        response = self.getresponse()
        return Reply(response.status, response.read(), response.headers)

    def send(self, data: bytes) -> None:
        """Send *data*, or buffer it until the request that is being written is complete."""
        if self._unsent_parts is None:
            super().send(data)
        else:
            self._unsent_parts.append(data)
