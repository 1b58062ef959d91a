"""Notice when the other end of a quiet connection closes it."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import gevent

if TYPE_CHECKING:
    from collections.abc import Callable

_READABLE = 1


def has_hung_up(sock: socket.socket) -> bool:
    """Return whether the other end of *sock* has closed it; never waits and reads nothing."""
    return _peek(sock) == b""


def has_input(sock: socket.socket) -> bool:
    """Return whether bytes, or the end of the stream, wait on *sock*; never waits."""
    return _peek(sock) is not None


def _peek(sock: socket.socket) -> bytes | None:
    """Return a waiting byte, no byte at the end of the stream, or ``None`` if none waits."""
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


class HangupWatch:
    """Call a function once if the other end closes a connection.

    It reads nothing: bytes that arrive end the watch and stay for the next reader. One watcher of
    the event loop serves a connection, without a greenlet of its own::

        with HangupWatch(sock, on_hangup):
            answer = wait_for_answer()

    A peer that only shuts down its sending side counts as closed. The function runs in the event
    loop, so it must not wait.
    """

    def __init__(self, sock: socket.socket, on_hangup: Callable[[], None]) -> None:
        self._sock = sock
        self._on_hangup = on_hangup
        self._watcher = gevent.get_hub().loop.io(sock.fileno(), _READABLE)
        self._watcher.start(self._look)

    def __enter__(self) -> HangupWatch:
        return self

    def __exit__(self, *raised: object) -> None:
        self.close()

    def close(self) -> None:
        """End the watch; to be called before the connection is closed."""
        self._watcher.stop()
        self._watcher.close()

    def _look(self) -> None:
        waiting = _peek(self._sock)
        if waiting is None:
            return
        self._watcher.stop()
        if not waiting:
            self._on_hangup()
