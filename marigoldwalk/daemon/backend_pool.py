"""A pool of keep-alive connections to backend servers."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ..util.disconnects import DisconnectWatch, has_disconnected
from ..util.gevent_http import GeventConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..config.view import Address

MAX_IDLE_S = 10.0
"""Time after which an idle connection is closed, so that other daemons can connect."""


class _IdleConnection:
    """An idle connection, watched until it is acquired or the server closes it."""

    def __init__(
        self, conn: GeventConnection, idle_since: float, on_disconnect: Callable[[], None]
    ) -> None:
        self.conn = conn
        self.idle_since = idle_since
        self._watch = DisconnectWatch(conn.sock, on_disconnect)

    def detach(self) -> GeventConnection:
        """Stop the watch and return the connection."""
        self._watch.close()
        return self.conn


class BackendPool:
    """Idle connections by address; ``on_disconnect`` is called for each one that the server closes.

    The connection released last is acquired first, so that the others can expire. A connection
    that the server is known to have closed is never reused. The server can still close a
    connection while a request is in transit; the user of the pool must count that request as sent.
    """

    def __init__(self, now: Callable[[], float], on_disconnect: Callable[[Address], None]) -> None:
        self._now = now
        self._on_disconnect = on_disconnect
        self._idle: dict[Address, list[_IdleConnection]] = {}

    def acquire(self, address: Address) -> GeventConnection:
        """Return an idle connection, or a new one that is not yet open (``sock`` is ``None``)."""
        idle = self._idle.get(address)
        while idle:
            conn = idle.pop().detach()
            if not has_disconnected(conn.sock):
                return conn
            conn.close()
            self._on_disconnect(address)
        return self.create(address)

    @staticmethod
    def create(address: Address) -> GeventConnection:
        """Return a new connection that is not yet open."""
        return GeventConnection(address.host, address.port, timeout=None)

    def release(self, address: Address, conn: GeventConnection, max_idle: int) -> None:
        """Return an open connection to the pool after its last reply was read completely.

        The connection is closed if *max_idle* connections to its address are already idle.
        """
        idle = self._idle.setdefault(address, [])
        if len(idle) < max_idle:
            idle.append(
                _IdleConnection(conn, self._now(), partial(self._drop_closed, address, conn))
            )
        else:
            conn.close()

    def _drop_closed(self, address: Address, conn: GeventConnection) -> None:
        """Remove an idle connection that the server closed."""
        idle = self._idle.get(address, [])
        for entry in [entry for entry in idle if entry.conn is conn]:
            idle.remove(entry)
            entry.detach().close()
        self._on_disconnect(address)

    def close_expired(self) -> None:
        """Close the connections that have been idle for longer than ``MAX_IDLE_S``."""
        expired_before = self._now() - MAX_IDLE_S
        for address, idle in list(self._idle.items()):
            while idle and idle[0].idle_since < expired_before:
                idle.pop(0).detach().close()
            if not idle:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for entry in idle:
                entry.detach().close()
        self._idle.clear()
