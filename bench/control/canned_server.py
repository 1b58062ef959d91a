"""A backend server that sends the same canned reply to every request."""

from __future__ import annotations

import json
import socket
import threading

from marigoldwalk.config.view import Address

from .simulated_fleet import HIT_BODY

_READ_BYTES = 65_536
_END_OF_HEADERS = b"\r\n\r\n"


class CannedServer:
    """Server on loopback that answers each request with *hits* hits of one shard.

    It runs on its own threads, so that the CPU time of the measuring thread includes only the
    client's work. It does not support pipelined requests.
    """

    def __init__(self, hits: int) -> None:
        self._reply = _reply(hits)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address("127.0.0.1", self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        received = b""
        while data := conn.recv(_READ_BYTES):
            received += data
            if _is_complete(received):
                received = b""
                conn.sendall(self._reply)


def _is_complete(received: bytes) -> bool:
    head, separator, body = received.partition(_END_OF_HEADERS)
    if not separator:
        return False
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.split(b":")[1])
    return True


def _reply(hits: int) -> bytes:
    body = json.dumps(
        {
            "state": "done",
            "incarnation": "canned/1",
            "snapshot": 1,
            "shards": [0],
            "hits": [
                {"key": f"a-{number:04}", "score": 1.0, "body": json.loads(HIT_BODY)}
                for number in range(hits)
            ],
            "retry_after_ms": 0,
        }
    ).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}"
    return head.encode() + _END_OF_HEADERS + body
