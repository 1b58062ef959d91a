"""Fake daemons that serve the caller address."""

from __future__ import annotations

import threading
from contextlib import contextmanager
from dataclasses import dataclass, field
from socket import create_server, socket
from typing import TYPE_CHECKING, Any
from wsgiref.simple_server import WSGIRequestHandler, make_server

from bottle import Bottle, HTTPResponse, request

if TYPE_CHECKING:
    from collections.abc import Iterator


def reply_fields(**changes: Any) -> dict[str, Any]:
    return {
        "code": 0,
        "name": "OK",
        "reason": "",
        "execution": "ran",
        "group": "case-desk",
        "index": "precedents",
        "snapshot": 7,
        "coverage": {"shards": 1, "answered": 1, "ratio": 1.0, "missing": []},
        "hits": [],
        "retry_after_ms": 0,
        "elapsed_ms": 1.5,
        "subrequests": 1,
        "daemon": "m-1",
    } | changes


def refusal(code: int, **changes: Any) -> dict[str, Any]:
    return reply_fields(code=code, name="", execution="not run", **changes)


@dataclass
class ScriptedDaemon:
    """A fake daemon that sends its replies in order and repeats the last one."""

    replies: list[Any]
    address: str = ""
    requests: list[dict[str, Any]] = field(default_factory=list)
    request_arrived: threading.Event = field(default_factory=threading.Event)
    may_reply: threading.Event = field(default_factory=threading.Event)

    def answer(self) -> HTTPResponse:
        self.requests.append(request.json)
        self.request_arrived.set()
        self.may_reply.wait()
        position = min(len(self.requests), len(self.replies)) - 1
        reply = self.replies[position]
        if isinstance(reply, bytes):
            return HTTPResponse(reply, 502)
        return HTTPResponse(reply, 200 if reply["code"] < 100 else 503)


class _QuietHandler(WSGIRequestHandler):
    def log_message(self, *arguments: Any) -> None:
        return


@contextmanager
def scripted_daemon(*replies: Any, hold_replies: bool = False) -> Iterator[ScriptedDaemon]:
    daemon = ScriptedDaemon(list(replies))
    if not hold_replies:
        daemon.may_reply.set()
    app = Bottle()
    app.post("/query", callback=daemon.answer)
    server = make_server("127.0.0.1", 0, app, handler_class=_QuietHandler)
    daemon.address = f"127.0.0.1:{server.server_port}"
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01})
    thread.start()
    try:
        yield daemon
    finally:
        daemon.may_reply.set()
        server.shutdown()
        thread.join()
        server.server_close()


@contextmanager
def closing_daemon() -> Iterator[str]:
    """Accept one connection, read the first byte of the request and close the connection."""
    with create_server(("127.0.0.1", 0)) as listener:

        def accept_one() -> None:
            conn, _ = listener.accept()
            conn.recv(1)
            conn.close()

        thread = threading.Thread(target=accept_one, daemon=True)
        thread.start()
        yield f"127.0.0.1:{listener.getsockname()[1]}"
        thread.join()


@contextmanager
def refusing_address() -> Iterator[str]:
    """Reserve a port on which nothing listens."""
    with socket() as sock:
        sock.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{sock.getsockname()[1]}"
