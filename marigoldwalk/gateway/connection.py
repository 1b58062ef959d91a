"""An HTTP client connection driven by event-loop callbacks."""

from __future__ import annotations

import errno
import logging
import socket
from enum import Enum
from typing import TYPE_CHECKING

import gevent
import httptools

from ..routing.exchanges import LossReason, LostAttempt
from .header_codec import RawReply

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..config.view import Address
    from ..routing.exchanges import ServerReply

logger = logging.getLogger(__name__)

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 0.25
"""Connect timeout; many times the longest round trip between failure domains."""
PROBE_TIMEOUT_S = 0.05
"""Connect timeout of a probe, for which a retry waits. The host of a process that has crashed
refuses the connection within a round trip."""
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
"""Dead connections are detected within 3 s, less than the stability time of 4 s after a fault."""
DEFAULT_IDLE_TIMEOUT_S = 4.0
"""The server's idle timeout if its ``Keep-Alive`` header does not state one."""
IDLE_TIMEOUT_RATIO = 0.6
"""Fraction of the server's idle timeout during which a connection is reused."""
MAX_REPLY_BYTES = 8 * 1024 * 1024
"""Maximum size of the bodies received for one request; users' replies are far smaller."""
MAX_OVERHEAD_BYTES = 128 * 1024
"""Maximum number of bytes received for one request that belong to no body. The header in which a
delegate lists the signatures of 1,000 shards takes 40 kB."""
MAX_OVERHEAD_RATIO = 8
"""Number of further such bytes allowed for each byte of a body, for bodies in small chunks."""
SMALL_REPLY_BYTES = 64 * 1024
"""Size up to which a reply is read even if the memory for replies is used up."""
MAX_MEMORY_BYTES = 32 * 1024 * 1024
"""Memory for incomplete replies; the smallest machines have 200 MB."""

_READ = 1
_WRITE = 2

Outcome = "ServerReply | LostAttempt"


class ConnectionState(Enum):
    """State of a connection."""

    CONNECTING = "connecting"
    BUSY = "busy"
    IDLE = "idle"
    CLOSED = "closed"


class ReplyMemory:
    """Memory that the incomplete replies of several connections share.

    Load pattern: many servers send bodies without end at the same time. Each of them stays below
    the limit for one reply, but together they would exceed the memory of a small machine.
    """

    def __init__(self, limit_bytes: int = MAX_MEMORY_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0


class ServerConnection:
    """An HTTP connection that handles one request at a time.

    The event loop calls ``on_outcome`` once per request, so the callback must not block. Only
    complete responses are delivered. Data after a response closes the connection.
    """

    def __init__(
        self,
        address: Address,
        on_idle_close: Callable[[ServerConnection], None],
        memory: ReplyMemory,
    ) -> None:
        self.address = address
        self.state = ConnectionState.CONNECTING
        self.last_request_id = ""
        self.idle_since = 0.0
        self.idle_timeout_s = IDLE_TIMEOUT_RATIO * DEFAULT_IDLE_TIMEOUT_S
        self._on_idle_close = on_idle_close
        self._memory = memory
        self._received_bytes = 0
        self._body_bytes = 0
        self._decode: Callable[[RawReply], ServerReply | None] | None = None
        self._outgoing = b""
        self._on_outcome: Callable[[Outcome], None] | None = None
        self._on_open: Callable[[], None] | None = None
        self._sent = False
        self._parser: httptools.HttpResponseParser | None = None
        self._loop = gevent.get_hub().loop
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self._watcher = None
        self._watched = 0
        self._timer = None
        _set_options(self._sock)

    def request(
        self,
        data: bytes,
        on_outcome: Callable[[Outcome], None],
        decode: Callable[[RawReply], ServerReply | None],
        on_open: Callable[[], None] | None = None,
    ) -> None:
        """Send *data* as one request, opening the connection first if necessary.

        *decode* returns ``None`` for a response to another request, which is skipped. *on_open* is
        called if the server takes a new connection for the request.
        """
        self._on_open = on_open
        self._outgoing = data
        self._on_outcome = on_outcome
        self._decode = decode
        self._sent = False
        if self.state is ConnectionState.CONNECTING:
            self._connect(CONNECT_TIMEOUT_S)
        else:
            self._send_request()

    def open(
        self,
        on_outcome: Callable[[LostAttempt | None], None],
        timeout_s: float = PROBE_TIMEOUT_S,
    ) -> None:
        """Open the connection without a request; *on_outcome* gets ``None`` once it is open."""
        self._on_outcome = on_outcome
        self._connect(timeout_s)

    def close(self) -> None:
        """Close the connection; a pending request is reported as lost."""
        self._fail(LossReason.ABANDONED)

    def has_input(self) -> bool:
        """Return whether data, an end of stream or an error is pending on an idle connection."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def _connect(self, timeout_s: float) -> None:
        error_code = self._sock.connect_ex((self.address.host, self.address.port))
        if error_code not in (0, errno.EINPROGRESS):
            # Deferred, since the caller of request() does not expect the outcome before it returns.
            self._loop.run_callback(
                self._fail, LossReason.CONNECT_FAILED, errno.errorcode[error_code]
            )
            return
        self._watch(_WRITE, self._on_connected)
        self._timer = self._loop.timer(timeout_s)
        self._timer.start(self._fail, LossReason.CONNECT_TIMEOUT)

    def _on_connected(self) -> None:
        if self.state is not ConnectionState.CONNECTING:
            return
        error_code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_code:
            self._fail(LossReason.CONNECT_FAILED, errno.errorcode.get(error_code, str(error_code)))
            return
        self._stop_timer()
        if self._on_open is not None:
            self._on_open()
        if self._outgoing:
            self._send_request()
        else:
            self._report_open()

    def _report_open(self) -> None:
        self.state = ConnectionState.IDLE
        self._watch(_READ, self._on_readable)
        on_outcome, self._on_outcome = self._on_outcome, None
        on_outcome(None)

    def _send_request(self) -> None:
        """Write the request and start to parse its response."""
        self.state = ConnectionState.BUSY
        self._parser = httptools.HttpResponseParser(self)
        self._status = 0
        self._headers: list[tuple[str, str]] = []
        self._headers_done = False
        self._is_framed = False
        self._keep_alive = False
        self._body: list[bytes] = []
        self._received_bytes = 0
        self._response_count = 0
        self._completed: list[RawReply] = []
        self._write()

    def _write(self) -> None:
        try:
            count = self._sock.send(self._outgoing)
        except BlockingIOError:
            count = 0
        except OSError as exc:
            self._fail(LossReason.CLOSED, str(exc))
            return
        self._sent = self._sent or count > 0
        self._outgoing = self._outgoing[count:]
        if self._outgoing:
            self._watch(_READ | _WRITE, self._on_io_ready)
        elif self._watched != _READ:
            self._watch(_READ, self._on_readable)

    def _on_io_ready(self) -> None:
        """Write the rest of the request, then read."""
        self._write()
        if self.state is ConnectionState.BUSY:
            self._on_readable()

    def _on_readable(self) -> None:
        if self.state is ConnectionState.IDLE:
            # Data or an end of stream on an idle connection belongs to no request.
            self._close_socket()
            self._on_idle_close(self)
            return
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as exc:
            self._fail(LossReason.CLOSED, str(exc))
            return
        if not data:
            self._on_end_of_stream()
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self._fail(LossReason.MALFORMED, str(exc))
            return
        self._deliver()

    def _deliver(self) -> None:
        """Deliver a complete response, skipping late responses to earlier requests."""
        if (problem := self._size_problem()) is not None:
            self._fail(LossReason.MALFORMED, problem)
            return
        if not self._completed:
            return
        raw_replies, self._completed = self._completed, []
        for raw in raw_replies:
            reply = self._decode(raw)
            if reply is None:
                self._response_count -= 1
                continue
            # A further response in the same data belongs to no request.
            is_in_sync = self._response_count == 1 and not self._outgoing and len(raw_replies) == 1
            self._finish(reply, is_in_sync and self._keep_alive)
            return

    def _size_problem(self) -> str | None:
        """Return why the data received for the request is too large, or ``None``."""
        if self._body_bytes > MAX_REPLY_BYTES:
            return "the reply is too large"
        overhead_bytes = self._received_bytes - self._body_bytes
        if overhead_bytes > MAX_OVERHEAD_BYTES + MAX_OVERHEAD_RATIO * self._body_bytes:
            return "the reply has too much data outside its body"
        is_full = self._memory.used_bytes > self._memory.limit_bytes
        if is_full and self._body_bytes > SMALL_REPLY_BYTES:
            return "the memory for incomplete replies is used up"
        return None

    def _free_memory(self) -> None:
        self._memory.used_bytes -= self._body_bytes
        self._body_bytes = 0

    def _finish(self, reply: ServerReply, is_reusable: bool) -> None:
        self._free_memory()
        on_outcome, self._on_outcome = self._on_outcome, None
        if is_reusable:
            self.state = ConnectionState.IDLE
        else:
            self._close_socket()
        on_outcome(reply)

    def _on_end_of_stream(self) -> None:
        if self._response_count == 1 and self._headers_done and not self._is_framed:
            reply = self._decode(self._raw_reply())
            if reply is not None:
                self._finish(reply, is_reusable=False)
                return
        self._fail(LossReason.CLOSED, "the server closed the connection")

    def _fail(self, reason: LossReason, detail: str = "") -> None:
        if self.state is ConnectionState.CLOSED:
            return
        self._close_socket()
        on_outcome, self._on_outcome = self._on_outcome, None
        if on_outcome is not None:
            on_outcome(LostAttempt(reason, self._sent, detail))

    def _close_socket(self) -> None:
        self.state = ConnectionState.CLOSED
        self._free_memory()
        self._stop_timer()
        self._stop_watching()
        self._sock.close()
        self._parser = None

    def _watch(self, events: int, callback: Callable[[], None]) -> None:
        self._stop_watching()
        self._watched = events
        self._watcher = self._loop.io(self._sock.fileno(), events)
        self._watcher.start(callback)

    def _stop_watching(self) -> None:
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None
            self._watched = 0

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.stop()
            self._timer.close()
            self._timer = None

    def _raw_reply(self) -> RawReply:
        return RawReply(self._status, tuple(self._headers), b"".join(self._body))

    # Callbacks of httptools.HttpResponseParser.

    def on_message_begin(self) -> None:
        """Reset the state of the response."""
        self._response_count += 1
        self._headers = []
        self._body = []
        self._headers_done = False
        self._is_framed = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header."""
        text = name.decode("latin-1")
        self._headers.append((text, value.decode("latin-1")))
        lower = text.lower()
        if lower in ("content-length", "transfer-encoding"):
            self._is_framed = True
        elif lower == "keep-alive":
            self.idle_timeout_s = IDLE_TIMEOUT_RATIO * _idle_timeout_s(value.decode("latin-1"))

    def on_headers_complete(self) -> None:
        """Store the status once all headers are parsed."""
        self._headers_done = True
        self._status = self._parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        """Store a chunk of the body."""
        self._body.append(data)
        self._body_bytes += len(data)
        self._memory.used_bytes += len(data)

    def on_message_complete(self) -> None:
        """Store the response unless it is an interim (1xx) one."""
        if self._status < 200:
            self._response_count -= 1
            return
        # The parser resets this at the end of the message.
        self._keep_alive = self._parser.should_keep_alive()
        self._completed.append(self._raw_reply())


def _set_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)


def _idle_timeout_s(keep_alive: str) -> float:
    """Return the idle timeout in the value of a ``Keep-Alive`` header, or the default."""
    for part in keep_alive.split(","):
        key, _, number = part.strip().partition("=")
        if key == "timeout" and number.isdecimal():
            return float(number)
    return DEFAULT_IDLE_TIMEOUT_S
