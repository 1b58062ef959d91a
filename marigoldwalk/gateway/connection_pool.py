"""A pool of HTTP connections to backend servers and delegates."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from .connection import ConnectionState, ReplyMemory, ServerConnection

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable

    from ..config.view import Address


class Endpoint(Protocol):
    """The target of pooled connections: a backend server or a delegate."""

    idle_connections: int

    @property
    def address(self) -> Address:
        """Address to connect to."""


class ConnectionPool:
    """Opens, reuses and closes connections."""

    def __init__(self, now: Callable[[], float], counters: Counter[str]) -> None:
        self._now = now
        self._counters = counters
        self._idle: dict[Endpoint, list[ServerConnection]] = {}
        self._memory = ReplyMemory()

    def acquire(
        self, endpoint: Endpoint, request_id: str, may_reuse: bool = True
    ) -> ServerConnection:
        """Return an idle connection to *endpoint*, or a new one if none is usable.

        A connection whose last request was *request_id* is not reused, because a late response to
        the earlier attempt could not be distinguished from the new one. A request that must not be
        repeated needs a new connection (*may_reuse* is false): servers may drop idle connections
        without notice, and a request sent on one of them may or may not have run.
        """
        idle = self._idle.get(endpoint, []) if may_reuse else []
        for index in range(len(idle) - 1, -1, -1):
            connection = idle[index]
            if not self._is_reusable(connection, request_id):
                continue
            del idle[index]
            endpoint.idle_connections = len(idle)
            if not connection.has_input():
                connection.last_request_id = request_id
                return connection
            connection.close()
        connection = self.create(endpoint)
        connection.last_request_id = request_id
        return connection

    def create(self, endpoint: Endpoint) -> ServerConnection:
        """Return a new connection to *endpoint*, which is not open yet."""
        self._counters["connection.opened"] += 1
        return ServerConnection(
            endpoint.address, lambda closed: self._discard(endpoint, closed), self._memory
        )

    def release(self, endpoint: Endpoint, connection: ServerConnection) -> None:
        """Return *connection* to the pool if it is idle; otherwise do nothing."""
        if connection.state is not ConnectionState.IDLE:
            return
        connection.idle_since = self._now()
        idle = self._idle.setdefault(endpoint, [])
        idle.append(connection)
        endpoint.idle_connections = len(idle)

    def close_expired(self) -> None:
        """Close connections that have reached their idle timeout."""
        now = self._now()
        for endpoint, idle in list(self._idle.items()):
            for connection in [c for c in idle if now - c.idle_since >= c.idle_timeout_s]:
                idle.remove(connection)
                connection.close()
            endpoint.idle_connections = len(idle)
            if not idle:
                del self._idle[endpoint]

    def close_all(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()

    def _is_reusable(self, connection: ServerConnection, request_id: str) -> bool:
        idle_s = self._now() - connection.idle_since
        return connection.last_request_id != request_id and idle_s < connection.idle_timeout_s

    def _discard(self, endpoint: Endpoint, connection: ServerConnection) -> None:
        self._counters["connection.closed_idle"] += 1
        idle = self._idle.get(endpoint, [])
        if connection in idle:
            idle.remove(connection)
            endpoint.idle_connections = len(idle)
