"""Scripted HTTP servers and event queues for tests of the I/O layer."""

from __future__ import annotations

import json
from contextlib import contextmanager

from gevent.event import Event as Signal
from gevent.pool import Pool
from gevent.queue import Queue
from gevent.server import StreamServer

from marigoldwalk.config.view import Address

TEST_TIMEOUT_S = 10.0
"""Time limit for each wait in a test."""


class Inbox(Queue):
    """A queue of the events that the component under test posted."""

    def post(self, event):
        self.put(event)

    def next(self):
        return self.get(timeout=TEST_TIMEOUT_S)


def read_request(stream):
    """Return the path and body of one HTTP request, or ``None`` at the end of the stream."""
    line = stream.readline()
    if not line:
        return None
    length = 0
    while (header := stream.readline().strip()) != b"":
        name, _, value = header.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return line.split()[1].decode(), stream.read(length)


def http_reply(value, status="200 OK"):
    body = value if isinstance(value, bytes) else json.dumps(value).encode()
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class ScriptedServer:
    """A server that answers each HTTP request with the next item of a script.

    Bytes are sent as they are, ``None`` closes the connection without an answer, and ``...``
    leaves the request unanswered and reads the next one.
    """

    def __init__(self, *script):
        self.requests = []
        self.connections = 0
        self.request_received = Signal()
        self.connection_closed = Signal()
        self._script = iter(script)
        self._server = StreamServer(("127.0.0.1", 0), self._serve, spawn=Pool())
        self._server.start()
        self.address = Address("127.0.0.1", self._server.server_port)

    def stop(self):
        self._server.stop(timeout=0)

    def _serve(self, sock, _peer):
        self.connections += 1
        with sock.makefile("rb") as stream:
            while request := read_request(stream):
                self.requests.append(request)
                self.request_received.set()
                reply = next(self._script)
                if reply is None:
                    return
                if reply is not ...:
                    sock.sendall(reply)
        self.connection_closed.set()


@contextmanager
def scripted(*script):
    server = ScriptedServer(*script)
    try:
        yield server
    finally:
        server.stop()
