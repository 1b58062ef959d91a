"""Callers of a soak, each with a persistent connection to one daemon at a time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent
from gevent import socket as gevent_socket

from standins.listener import LOOPBACK

from .deployment import WORKSPACE_KEYS
from .journal import Call

if TYPE_CHECKING:
    import random
    import socket
    from collections.abc import Callable, Sequence
    from typing import BinaryIO

    from .daemons import Daemon
    from .journal import Journal

CONNECT_TIMEOUT_S = 1.0
DEADLINE_S = 1.5
LATE_READ_S = 0.5
"""Time beyond its deadline for which a caller still reads, to record late responses."""
CALL_INTERVAL_S = 0.08
NEW_CONNECTION_SHARE = 0.05
ABANDON_SHARE = 0.02
ABANDON_AFTER_S = 0.02
PROBE_SHARE = 0.15
BODY_SHARE = 0.3


@dataclass
class Caller:
    """A caller in a failure domain that sends one request after the other."""

    daemons: Sequence[Daemon]
    journal: Journal
    now: Callable[[], float]
    rng: random.Random
    domain: str
    _sock: socket.socket | None = None
    _stream: BinaryIO | None = None
    _daemon: Daemon | None = None
    _stopped: bool = False

    def run(self) -> None:
        """Send requests until :meth:`stop` is called."""
        while not self._stopped:
            gevent.sleep(CALL_INTERVAL_S * self.rng.uniform(0.5, 1.5))
            if self._sock is not None and self.rng.random() < NEW_CONNECTION_SHARE:
                self._close()
            if self._sock is None and not self._connect():
                continue
            self._send(self._next_call())
        self._close()

    def stop(self) -> None:
        """Stop after the request in progress."""
        self._stopped = True

    def _connect(self) -> bool:
        """Connect to a daemon that is in rotation, preferably in the caller's failure domain."""
        ready = [d for d in self.daemons if d.is_in_rotation]
        candidates = [d for d in ready if d.domain == self.domain] or ready
        if not candidates:
            return False
        self._daemon = self.rng.choice(candidates)
        address = (LOOPBACK, self._daemon.ports.caller)
        try:
            self._sock = gevent_socket.create_connection(address, CONNECT_TIMEOUT_S)
        except OSError:
            # The caller tries again later, as with any service.
            return False
        self._sock.settimeout(DEADLINE_S + LATE_READ_S)
        self._stream = self._sock.makefile("rb")
        return True

    def _next_call(self) -> Call:
        """Return the next request."""
        draw = self.rng.random()
        is_probe = draw < PROBE_SHARE
        method, body = "GET", b""
        if is_probe:
            version = self.rng.choice(self.journal.versions[-4:])
            prefix = self.rng.choice(sorted(version.probes))
        elif draw < 0.6:
            prefix = "/all/"
        else:
            prefix = self.rng.choice(("/read/", "/once/"))
            if self.rng.random() < BODY_SHARE:
                method, body = "POST", b"b" * self.rng.randint(1, 400)
        return Call(
            request_id=f"q{self.rng.getrandbits(60):015x}",
            daemon=self._daemon.name,
            method=method,
            path=f"{prefix}{self.rng.randint(0, 99)}?n={self.rng.randint(0, 9)}",
            body=body,
            sent_at=self.now(),
            deadline_s=DEADLINE_S,
            is_probe=is_probe,
            workspace=self.rng.choice(sorted(WORKSPACE_KEYS)),
        )

    def _send(self, call: Call) -> None:
        self.journal.calls.append(call)
        call.abandoned = self.rng.random() < ABANDON_SHARE
        try:
            self._sock.sendall(_encode_request(call))
            if call.abandoned:
                gevent.sleep(ABANDON_AFTER_S)
            elif self._read_response(call):
                return
        except (OSError, ValueError):
            # No status marks the call as one without a complete response.
            call.status = None
        if call.status is None:
            call.ended_at = self.now()
        self._close()

    def _read_response(self, call: Call) -> bool:
        """Read the response; return whether the connection stays open."""
        line = self._stream.readline()
        if not line:
            return False
        status = int(line.split()[1])
        headers: dict[str, str] = {}
        while header := self._stream.readline().strip():
            name, _, value = header.decode("latin-1").partition(":")
            key = name.lower()
            headers[key] = f"{headers[key]},{value.strip()}" if key in headers else value.strip()
        length = int(headers.get("content-length", 0))
        response_body = self._stream.read(length)
        if len(response_body) != length:
            return False
        call.ended_at = self.now()
        call.headers, call.response_body, call.status = headers, response_body, status
        return "close" not in headers.get("connection", "")

    def _close(self) -> None:
        if self._sock is not None:
            self._stream.close()
            self._sock.close()
            self._sock = None


def _encode_request(call: Call) -> bytes:
    lines = [
        f"{call.method} {call.path} HTTP/1.1",
        "Host: desk.example",
        f"X-Marigoldwalk-Request-Id: {call.request_id}",
        f"X-Marigoldwalk-Deadline-Ms: {int(call.deadline_s * 1000)}",
        f"X-Api-Key: {WORKSPACE_KEYS[call.workspace]}",
        # Callers may name any workspace; only the key counts.
        "X-Marigoldwalk-Tenant-Id: another-workspace",
    ]
    if call.body:
        lines.append(f"Content-Length: {len(call.body)}")
    return "\r\n".join([*lines, "", ""]).encode() + call.body
