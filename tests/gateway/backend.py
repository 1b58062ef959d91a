"""Helpers for tests of connections to a scripted backend server."""

from __future__ import annotations

from gevent.event import AsyncResult

from marigoldwalk.gateway.connection import ReplyMemory, ServerConnection

from ..daemon.scripted import TEST_TIMEOUT_S

OWN_ID = "q-own"


def response(body=b"ok", request_id=OWN_ID, status="200 OK", headers=(), length=None):
    lines = [f"HTTP/1.1 {status}", "X-Signature: s-1"]
    if request_id:
        lines.append(f"X-Id: {request_id}")
    if length is not False:
        lines.append(f"Content-Length: {len(body) if length is None else length}")
    lines += headers
    return "\r\n".join([*lines, "", ""]).encode() + body


def decode(raw):
    """Return *raw*, or None if it belongs to another request."""
    return raw if dict(raw.headers).get("X-Id", OWN_ID) == OWN_ID else None


def exchange(connection, data=b"GET /x HTTP/1.1\r\n\r\n"):
    """Send a request on *connection* and return its outcome."""
    result = AsyncResult()
    connection.request(data, result.set, decode)
    return result.get(timeout=TEST_TIMEOUT_S)


def open_connection(address):
    return ServerConnection(address, lambda connection: None, ReplyMemory())
