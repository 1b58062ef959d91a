"""Callers of a soak: each keeps one connection for as long as its daemon does."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent
from gevent import socket as gevent_socket

from standins.listener import LOOPBACK

from .journal import Sending

if TYPE_CHECKING:
    import random
    import socket
    from collections.abc import Callable, Sequence
    from typing import BinaryIO

    from .daemons import Daemon
    from .journal import Journal

CONNECT_TIMEOUT_S = 1.0
DEADLINE_S = 1.5
PATIENCE_S = 0.5
"""Time beyond its deadline for which a caller still reads, to see what comes late."""
PAUSE_S = 0.08
NEW_CONNECTION_SHARE = 0.05
GIVE_UP_SHARE = 0.02
GIVE_UP_AFTER_S = 0.02
PROBE_SHARE = 0.15
BODY_SHARE = 0.3


@dataclass
class Caller:
    """One caller in a failure domain, sending one request after the other."""

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
            gevent.sleep(PAUSE_S * self.rng.uniform(0.5, 1.5))
            if self._sock is not None and self.rng.random() < NEW_CONNECTION_SHARE:
                self._close()
            if self._sock is None and not self._connect():
                continue
            self._exchange(self._next())
        self._close()

    def stop(self) -> None:
        """End after the request under way."""
        self._stopped = True

    def _connect(self) -> bool:
        """Open a connection to a daemon that is in rotation, as the balancer does."""
        ready = [d for d in self.daemons if d.is_in_rotation]
        near = [d for d in ready if d.domain == self.domain] or ready
        if not near:
            return False
        self._daemon = self.rng.choice(near)
        address = (LOOPBACK, self._daemon.ports.caller)
        try:
            self._sock = gevent_socket.create_connection(address, CONNECT_TIMEOUT_S)
        except OSError:
            # A caller that finds nobody comes again, as to any service.
            return False
        self._sock.settimeout(DEADLINE_S + PATIENCE_S)
        self._stream = self._sock.makefile("rb")
        return True

    def _next(self) -> Sending:
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
        return Sending(
            request_id=f"q{self.rng.getrandbits(60):015x}",
            daemon=self._daemon.name,
            method=method,
            path=f"{prefix}{self.rng.randint(0, 99)}?n={self.rng.randint(0, 9)}",
            body=body,
            sent_at=self.now(),
            deadline_s=DEADLINE_S,
            is_probe=is_probe,
        )

    def _exchange(self, sending: Sending) -> None:
        self.journal.sendings.append(sending)
        sending.gave_up = self.rng.random() < GIVE_UP_SHARE
        try:
            self._sock.sendall(_encoded(sending))
            if sending.gave_up:
                gevent.sleep(GIVE_UP_AFTER_S)
            elif self._read(sending):
                return
        except (OSError, ValueError):
            # The sending keeps no status, which tells that the answer is missing.
            sending.status = None
        if sending.status is None:
            sending.ended_at = self.now()
        self._close()

    def _read(self, sending: Sending) -> bool:
        """Read the answer; returns whether the connection goes on."""
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
        answer = self._stream.read(length)
        if len(answer) != length:
            return False
        sending.ended_at = self.now()
        sending.headers, sending.answer, sending.status = headers, answer, status
        return "close" not in headers.get("connection", "")

    def _close(self) -> None:
        if self._sock is not None:
            self._stream.close()
            self._sock.close()
            self._sock = None


def _encoded(sending: Sending) -> bytes:
    lines = [
        f"{sending.method} {sending.path} HTTP/1.1",
        "Host: desk.example",
        f"X-Marigoldwalk-Request-Id: {sending.request_id}",
        f"X-Marigoldwalk-Deadline-Ms: {int(sending.deadline_s * 1000)}",
    ]
    if sending.body:
        lines.append(f"Content-Length: {len(sending.body)}")
    return "\r\n".join([*lines, "", ""]).encode() + sending.body
