"""Opens the callers' listener before the program's own modules are loaded.

Load pattern: all daemons lose power and start at the same moment, so callers find few daemons to
retry at. A connection that arrives while modules are loaded is refused if nothing listens yet, and
waits to be accepted if something does. Callers abandon a connection from which nothing is read for
a third of their time, so the listener is opened when most of the start is over, after
:mod:`.libraries`.
"""

from __future__ import annotations

import socket

_FIELD = "caller_address"
_BACKLOG = 1024
"""Maximum number of connections that wait to be accepted."""


def open_caller_listener(path: str) -> socket.socket | None:
    """Return a socket that listens on the callers' address in the settings file at *path*.

    The file is not validated here, so whoever uses the socket compares its address with that of
    the validated settings. Returns ``None`` if the file does not state the address in the form
    ``caller_address: "ip:port"`` on a line of its own, or if the address cannot be bound; the start
    then reports why.
    """
    try:
        with open(path, encoding="utf-8") as file:
            address = _find_address(file.read())
    except (OSError, ValueError):
        return None
    return None if address is None else _listen(*address)


def _find_address(text: str) -> tuple[str, int] | None:
    for line in text.splitlines():
        name, separator, value = line.partition(":")
        if separator and name.strip().strip('"') == _FIELD:
            host, _, port = value.strip().rstrip(",").strip('"').rpartition(":")
            is_complete = host and port.isascii() and port.isdecimal() and int(port) > 0
            return (host, int(port)) if is_complete else None
    return None


def _listen(host: str, port: int) -> socket.socket | None:
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
        listener.listen(_BACKLOG)
    except (OSError, OverflowError):
        listener.close()
        return None
    return listener
