"""A server that sends some bytes in answer to a request and closes the connection."""

from __future__ import annotations

from contextlib import contextmanager

from standins.gateway_backends import stopping

from ..daemon.scripted import ScriptedServer, read_request


class ClosingServer(ScriptedServer):
    reply = b""

    def _serve(self, sock, _peer):
        with sock.makefile("rb") as stream:
            request = read_request(stream)
            if request is not None:
                self.requests.append(request)
                sock.sendall(self.reply)


@contextmanager
def closing_server():
    server = ClosingServer()
    with stopping(server):
        yield server
