"""Listening sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gevent import socket as gevent_socket

from ..config.view import Address
from ..errors import Code, MarigoldwalkError

if TYPE_CHECKING:
    import socket

BACKLOG = 1024
"""Maximum number of connections that wait to be accepted."""


def bound_address(listener: socket.socket) -> Address:
    """Return the address of *listener*, with the port that the operating system chose."""
    host, port = listener.getsockname()
    return Address(host, port)


def listen(address: Address) -> socket.socket:
    """Return a socket that listens on *address*.

    Raises ``MarigoldwalkError`` with ``PORT_TAKEN`` if the address cannot be bound.
    """
    listener = gevent_socket.socket()
    listener.setsockopt(gevent_socket.SOL_SOCKET, gevent_socket.SO_REUSEADDR, 1)
    try:
        listener.bind((address.host, address.port))
        listener.listen(BACKLOG)
    except OSError as exc:
        listener.close()
        message = f"The daemon cannot listen on {address}: {exc.strerror}."
        raise MarigoldwalkError(Code.PORT_TAKEN, message) from exc
    return listener


def adopt(listener: socket.socket | None, address: Address) -> socket.socket:
    """Return *listener* for use with gevent if it listens on *address*, or else a new listener.

    Connections that already wait at *listener* are kept. A listener on another address is closed.
    Raises ``MarigoldwalkError`` with ``PORT_TAKEN`` if the address cannot be bound.
    """
    if listener is None:
        return listen(address)
    if bound_address(listener) != address:
        listener.close()
        return listen(address)
    return gevent_socket.socket(fileno=listener.detach())
