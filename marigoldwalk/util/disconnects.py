"""Detection of connections that the peer has closed."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import gevent

if TYPE_CHECKING:
    from collections.abc import Callable

_READABLE = 1


def has_disconnected(sock: socket.socket) -> bool:
    """Return whether the peer has closed *sock*; never waits and consumes no input."""
    return _peek(sock) == b""


def has_input(sock: socket.socket) -> bool:
    """Return whether *sock* has bytes or the end of the stream to read; never waits."""
    return _peek(sock) is not None


def _peek(sock: socket.socket) -> bytes | None:
    """Return the next byte, ``b""`` at the end of the stream, or ``None`` if there is no input."""
    timeout = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""
    finally:
        sock.settimeout(timeout)


class DisconnectWatch:
    """A watch that calls a function once if the peer closes a connection.

    The watch consumes no input: bytes that arrive end the watch and stay in the socket for the
    next reader. Each watch uses one watcher of the event loop and no greenlet::

        with DisconnectWatch(sock, on_disconnect):
            answer = wait_for_answer()

    A peer that only shuts down its sending side also counts as having closed the connection. The
    function runs in the event loop, so it must not block.
    """

    def __init__(self, sock: socket.socket, on_disconnect: Callable[[], None]) -> None:
        self._sock = sock
        self._on_disconnect = on_disconnect
        self._watcher = gevent.get_hub().loop.io(sock.fileno(), _READABLE)
        self._watcher.start(self._on_readable)

    def __enter__(self) -> DisconnectWatch:
        return self

    def __exit__(self, *raised: object) -> None:
        self.close()

    def close(self) -> None:
        """End the watch; must be called before the connection is closed."""
        self._watcher.stop()
        self._watcher.close()

    def _on_readable(self) -> None:
        peeked = _peek(self._sock)
        if peeked is None:
            return
        self._watcher.stop()
        if not peeked:
            self._on_disconnect()
