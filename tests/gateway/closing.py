"""A server that sends some bytes in answer to a request and closes the connection."""

from __future__ import annotations

from contextlib import contextmanager

from gevent.pool import Pool
from gevent.server import StreamServer

from marigoldwalk.config.view import Address

from ..daemon.scripted import read_request


class ClosingServer:
    def __init__(self):
        self.reply = b""
        self.requests = []
        self._server = StreamServer(("127.0.0.1", 0), self._serve, spawn=Pool())
        self._server.start()
        self.address = Address("127.0.0.1", self._server.server_port)

    def stop(self):
        self._server.stop(timeout=0)

    def _serve(self, sock, _peer):
        with sock.makefile("rb") as stream:
            request = read_request(stream)
            if request is not None:
                self.requests.append(request)
                sock.sendall(self.reply)


@contextmanager
def closing_server():
    server = ClosingServer()
    try:
        yield server
    finally:
        server.stop()
