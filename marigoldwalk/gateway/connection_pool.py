"""Connections to backend servers, kept for reuse."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from .connection import ConnectionState, ServerConnection

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable

    from ..config.view import Address


class Endpoint(Protocol):
    """Whatever connections are kept to: a backend server, or a daemon that carries queries."""

    idle_connections: int

    @property
    def address(self) -> Address:
        """Where connections go."""


class ConnectionPool:
    """Open, reuse and close connections."""

    def __init__(self, now: Callable[[], float], counters: Counter[str]) -> None:
        self._now = now
        self._counters = counters
        self._idle: dict[Endpoint, list[ServerConnection]] = {}

    def take(self, row: Endpoint, request_id: str, may_reuse: bool = True) -> ServerConnection:
        """Return a connection to *row*, a new one if no idle one will do.

        A connection that last carried *request_id* is not taken, since a late copy of that
        response could not be told from the new one. A request that must not be repeated needs a
        new one: servers may forget idle connections without notice, and what is sent on such a one
        may or may not have run.
        """
        idle = self._idle.get(row, []) if may_reuse else []
        for index in range(len(idle) - 1, -1, -1):
            channel = idle[index]
            if not self._may_carry(channel, request_id):
                continue
            del idle[index]
            row.idle_connections = len(idle)
            if not channel.has_input():
                channel.last_request_id = request_id
                return channel
            channel.close()
        self._counters["connection.opened"] += 1
        channel = ServerConnection(row.address, lambda ended: self._forget(row, ended))
        channel.last_request_id = request_id
        return channel

    def give_back(self, row: Endpoint, channel: ServerConnection) -> None:
        """Keep *channel* for later requests if it is still open."""
        if channel.state is not ConnectionState.IDLE:
            return
        channel.idle_since = self._now()
        idle = self._idle.setdefault(row, [])
        idle.append(channel)
        row.idle_connections = len(idle)

    def close_expired(self) -> None:
        """Close connections that have been idle for long, and those to servers that are gone."""
        now = self._now()
        for row, idle in list(self._idle.items()):
            for channel in [c for c in idle if now - c.idle_since >= c.idle_timeout_s]:
                idle.remove(channel)
                channel.close()
            row.idle_connections = len(idle)
            if not idle:
                del self._idle[row]

    def close_all(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for channel in idle:
                channel.close()
        self._idle.clear()

    def _may_carry(self, channel: ServerConnection, request_id: str) -> bool:
        idle_s = self._now() - channel.idle_since
        return channel.last_request_id != request_id and idle_s < channel.idle_timeout_s

    def _forget(self, row: Endpoint, channel: ServerConnection) -> None:
        self._counters["connection.closed_idle"] += 1
        idle = self._idle.get(row, [])
        if channel in idle:
            idle.remove(channel)
            row.idle_connections = len(idle)
