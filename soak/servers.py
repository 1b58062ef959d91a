"""Backend servers of a soak, with reproducible response bodies and injected failures."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from typing import TYPE_CHECKING

import gevent
from gevent.lock import BoundedSemaphore
from gevent.server import StreamServer

from marigoldwalk.config.view import Address
from standins.listener import LOOPBACK, reserve_port

from .journal import Arrival, Reply, server_name
from .relay import Relay

if TYPE_CHECKING:
    import random
    import socket
    from collections.abc import Callable
    from typing import BinaryIO

    from .journal import Journal

SLOTS = 2
QUEUE_LIMIT = 12
SERVICE_TIME_S = 0.008
SLOW_FACTOR = 10.0
COLD_S = 2.0
"""Time after its start for which a server is cold, except at the start of the run."""
FIRST_START_MS = 1_000_000
"""Time of a server's first start, in Unix milliseconds."""
RECORD_COUNT = 6
KEEP_ALIVE_S = 4
"""The timeout in the servers' ``Keep-Alive`` header."""


class FailureMode(Enum):
    """How a server fails."""

    HEALTHY = "healthy"
    SLOW = "slow"
    UNRESPONSIVE = "unresponsive"
    """The server runs requests and sends no response."""
    SHED = "shed"
    ERRORS = "errors"
    DUPLICATE_REPLY = "duplicate_reply"
    """The server sends each response twice."""
    TRUNCATED_REPLY = "truncated_reply"
    """The server closes the connection in the middle of a response body."""
    DROPPED_REPLY = "dropped_reply"
    """The server runs requests and closes the connection without a response."""


FAILED_REQUEST_SHARE = 0.4
"""Share of the requests that a failure mode affects, except the slow and unresponsive ones."""


def reply_body(service: str, request_id: str) -> bytes:
    """Return the response body that every server of *service* sends for a request."""
    records = (
        blake2b(f"{service} {request_id} {n}".encode(), digest_size=16).digest()
        for n in range(RECORD_COUNT)
    )
    return b"".join(records)


@dataclass(slots=True)
class _Request:
    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclass(eq=False)
class Server:
    """A backend server behind a relay; each start is a new incarnation with a new id."""

    service: str
    domain: str
    journal: Journal
    now: Callable[[], float]
    rng: random.Random
    server_id: str = ""
    mode: FailureMode = FailureMode.HEALTHY
    is_draining: bool = False
    cold_until: float = 0.0
    sequence: int = 0
    born_ms: int = 0
    _starts: int = 0
    _listener: StreamServer | None = None
    _slots: BoundedSemaphore = field(default_factory=lambda: BoundedSemaphore(SLOTS))
    _queued_count: int = 0

    def __post_init__(self) -> None:
        """Open the relay, whose port stays the same across restarts, and start the server."""
        # Reserved while the server is down, so that no server of another process takes the port.
        self._guard = reserve_port()
        self.relay = Relay(Address(*self._guard.getsockname()))
        self.start(is_cold=False)

    @property
    def name(self) -> str:
        """The server's name, which is the same for all its incarnations."""
        return server_name(self.service, self.domain)

    @property
    def is_running(self) -> bool:
        """Whether the server is running."""
        return self._listener is not None

    def start(self, is_cold: bool = True) -> None:
        """Start a new incarnation."""
        self._starts += 1
        self.born_ms = FIRST_START_MS + self._starts
        self._begin(f"i-{self.rng.getrandbits(40):010x}", is_cold)

    def start_in_the_past(self) -> None:
        """Start again under the same id, with a clock that has been set back."""
        self._starts += 1
        self.born_ms = FIRST_START_MS - self._starts
        self._begin(self.server_id, is_cold=True)

    def _begin(self, server_id: str, is_cold: bool) -> None:
        self.server_id = server_id
        self.sequence = 0
        self.mode = FailureMode.HEALTHY
        self.is_draining = False
        self.cold_until = self.now() + COLD_S if is_cold else 0.0
        self._listener = StreamServer(self._guard.getsockname(), self._serve)
        self._listener.start()

    def crash(self) -> None:
        """Stop at once; the relay resets open connections and, as its target refuses, new ones."""
        self._listener.stop(timeout=0)
        self._listener = None
        self.relay.reset_connections()

    def stop(self) -> None:
        """Stop the server and its relay permanently."""
        if self.is_running:
            self.crash()
        self.relay.stop()
        self._guard.close()

    def record(self) -> dict[str, object]:
        """Return the registration record of the server."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{LOOPBACK}:{self.relay.port}",
            "zone": self.domain,
            "version": "1",
            "slots": SLOTS,
            "state": "draining" if self.is_draining else "ready",
            "cold-left-ms": max(0, int((self.cold_until - self.now()) * 1000)),
            "sequence": self.sequence,
            "born": self.born_ms,
        }

    def _serve(self, sock: socket.socket, _: object) -> None:
        try:
            with sock, sock.makefile("rb") as stream:
                while (request := _read_request(stream)) is not None and self._handle(
                    sock, request
                ):
                    pass
        except OSError:
            # The connection broke; complete requests from it are in the journal.
            return

    def _handle(self, sock: socket.socket, request: _Request) -> bool:
        """Handle one request; return whether the connection stays open."""
        arrival = self._make_arrival(request)
        self.journal.arrivals.append(arrival)
        expected = request.headers.get("x-marigoldwalk-expect-instance", self.server_id)
        if expected != self.server_id:
            return self._reject(sock, request, "421 Misdirected Request")
        if self._should_fail(FailureMode.SHED) or self._queued_count >= QUEUE_LIMIT:
            return self._reject(sock, request, "503 Service Unavailable")
        self._queued_count += 1
        with self._slots:
            self._queued_count -= 1
            arrival.ran = True
            factor = SLOW_FACTOR if self.mode is FailureMode.SLOW else 1.0
            gevent.sleep(SERVICE_TIME_S * factor * self.rng.uniform(0.5, 1.5))
        return self._send_reply(sock, request)

    def _send_reply(self, sock: socket.socket, request: _Request) -> bool:
        """Send the response to an executed request, with the failures of the server's mode."""
        while self.mode is FailureMode.UNRESPONSIVE:
            gevent.sleep(0.05)
        if self._should_fail(FailureMode.DROPPED_REPLY):
            return False
        request_id = request.headers.get("x-marigoldwalk-request-id", "")
        status = 500 if self._should_fail(FailureMode.ERRORS) else 200
        signature = f"{self.service}.{self.server_id}.{request_id}.{self.rng.getrandbits(32):08x}"
        body = reply_body(self.service, request_id)
        self.journal.replies[signature] = Reply(request_id, self.service, signature, status, body)
        head = _response_head(f"{status} X", request_id, len(body), signature, self.is_draining)
        if self._should_fail(FailureMode.TRUNCATED_REPLY):
            sock.sendall(head + body[: len(body) // 2])
            return False
        sock.sendall(head + body)
        if self._should_fail(FailureMode.DUPLICATE_REPLY):
            gevent.sleep(self.rng.uniform(0.0, 0.01))
            sock.sendall(head + body)
        return not self.is_draining

    def _reject(self, sock: socket.socket, request: _Request, status: str) -> bool:
        request_id = request.headers.get("x-marigoldwalk-request-id", "")
        head = _response_head(status, request_id, 0, "", False)
        sock.sendall(head[:-2] + b"X-Marigoldwalk-Not-Executed: 1\r\n\r\n")
        return True

    def _should_fail(self, mode: FailureMode) -> bool:
        return self.mode is mode and self.rng.random() < FAILED_REQUEST_SHARE

    def _make_arrival(self, request: _Request) -> Arrival:
        now = self.now()
        return Arrival(
            at=now,
            server_id=self.server_id,
            service=self.service,
            domain=self.domain,
            request_id=request.headers.get("x-marigoldwalk-request-id", ""),
            method=request.method,
            path=request.path,
            body=request.body,
            deadline_s=int(request.headers.get("x-marigoldwalk-deadline-ms", 0)) / 1000,
            was_cold=now < self.cold_until,
            workspace=request.headers.get("x-marigoldwalk-tenant-id", ""),
            key=request.headers.get("x-api-key", ""),
        )


def _response_head(
    status: str, request_id: str, length: int, signature: str, closes_connection: bool
) -> bytes:
    lines = [
        f"HTTP/1.1 {status}",
        f"X-Marigoldwalk-Request-Id: {request_id}",
        f"Content-Length: {length}",
        "Connection: close" if closes_connection else f"Keep-Alive: timeout={KEEP_ALIVE_S}",
    ]
    if signature:
        lines.append(f"X-Marigoldwalk-Response-Stamp: {signature}")
    return "\r\n".join([*lines, "", ""]).encode()


def _read_request(stream: BinaryIO) -> _Request | None:
    """Return the next request, or ``None`` if the connection was closed."""
    line = stream.readline()
    if not line:
        return None
    method, path, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while header := stream.readline().strip():
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    body = stream.read(int(headers.get("content-length", 0)))
    return _Request(method, path, headers, body)
