"""One connection to a backend server, driven by the event loop."""

from __future__ import annotations

import errno
import logging
import socket
from enum import Enum
from typing import TYPE_CHECKING

import gevent
import httptools

from ..routing.exchanges import LossReason, LostAttempt
from .dialect import RawReply

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..config.view import Address
    from ..routing.exchanges import ServerReply

logger = logging.getLogger(__name__)

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 0.25
"""Time for a connection to open: the longest way between failure domains, many times over."""
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
"""Silent connections are found out within three seconds, below the stability time of 4 s."""
DEFAULT_IDLE_S = 4.0
"""Time for which an idle connection is kept if the server does not say."""
IDLE_SHARE = 0.6
"""Part of the server's own idle timeout for which a connection is reused."""
MAX_REPLY_BYTES = 8 * 1024 * 1024
"""The largest reply that is read; no answer of the users comes near."""

_READ = 1
_WRITE = 2

Outcome = "ServerReply | LostAttempt"


class ChannelState(Enum):
    """Where a connection stands."""

    CONNECTING = "connecting"
    BUSY = "busy"
    IDLE = "idle"
    CLOSED = "closed"


class Channel:
    """Carry one request at a time to a server and read its whole response.

    ``on_outcome`` is called once for each request, from the event loop, so it must not wait. A
    response counts only if it is framed and complete. Anything beyond it closes the connection.
    """

    def __init__(self, address: Address, on_idle_end: Callable[[Channel], None]) -> None:
        self.address = address
        self.state = ChannelState.CONNECTING
        self.last_request_id = ""
        self.idle_since = 0.0
        self.idle_timeout_s = IDLE_SHARE * DEFAULT_IDLE_S
        self._on_idle_end = on_idle_end
        self._decode: Callable[[RawReply], ServerReply | None] | None = None
        self._outgoing = b""
        self._on_outcome: Callable[[Outcome], None] | None = None
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
    ) -> None:
        """Send *data* as one request, after the connection has opened.

        *decode* returns ``None`` for a response to another request; such ones are passed over.
        """
        self._outgoing = data
        self._on_outcome = on_outcome
        self._decode = decode
        self._sent = False
        if self.state is ChannelState.CONNECTING:
            self._connect()
        else:
            self._begin()

    def close(self) -> None:
        """Close the connection; an open request ends as lost."""
        self._end(LossReason.ABANDONED)

    def has_input(self) -> bool:
        """Return whether bytes, or the end of the stream, wait on an idle connection."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def _connect(self) -> None:
        code = self._sock.connect_ex((self.address.host, self.address.port))
        if code not in (0, errno.EINPROGRESS):
            # The caller of request() is still at work; it hears of the failure afterwards.
            self._loop.run_callback(self._end, LossReason.CONNECT_FAILED, errno.errorcode[code])
            return
        self._watch(_WRITE, self._on_connected)
        self._timer = self._loop.timer(CONNECT_TIMEOUT_S)
        self._timer.start(self._end, LossReason.CONNECT_TIMEOUT)

    def _on_connected(self) -> None:
        if self.state is not ChannelState.CONNECTING:
            return
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._end(LossReason.CONNECT_FAILED, errno.errorcode.get(code, str(code)))
            return
        self._stop_timer()
        self._begin()

    def _begin(self) -> None:
        """Write the request and wait for its response."""
        self.state = ChannelState.BUSY
        self._parser = httptools.HttpResponseParser(self)
        self._status = 0
        self._headers: list[tuple[str, str]] = []
        self._headers_done = False
        self._is_framed = False
        self._keep_alive = False
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._begun = 0
        self._complete: list[RawReply] = []
        self._write()

    def _write(self) -> None:
        try:
            count = self._sock.send(self._outgoing)
        except BlockingIOError:
            count = 0
        except OSError as exc:
            self._end(LossReason.CLOSED, str(exc))
            return
        self._sent = self._sent or count > 0
        self._outgoing = self._outgoing[count:]
        if self._outgoing:
            self._watch(_READ | _WRITE, self._on_ready)
        elif self._watched != _READ:
            self._watch(_READ, self._on_readable)

    def _on_ready(self) -> None:
        """Write what is left, then read."""
        self._write()
        if self.state is ChannelState.BUSY:
            self._on_readable()

    def _on_readable(self) -> None:
        if self.state is ChannelState.IDLE:
            # No request waits for what arrives now.
            self._close_socket()
            self._on_idle_end(self)
            return
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as exc:
            self._end(LossReason.CLOSED, str(exc))
            return
        if not data:
            self._on_end_of_stream()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._end(LossReason.MALFORMED, str(exc))
            return
        self._deliver()

    def _deliver(self) -> None:
        """Hand on a complete response, passing over late ones of earlier requests."""
        if self._body_bytes > MAX_REPLY_BYTES:
            self._end(LossReason.MALFORMED, "the reply is too large")
            return
        if not self._complete:
            return
        raw_replies, self._complete = self._complete, []
        for raw in raw_replies:
            reply = self._decode(raw)
            if reply is None:
                self._begun -= 1
                continue
            # A second response in the same bytes belongs to no request.
            is_clean = self._begun == 1 and not self._outgoing and len(raw_replies) == 1
            self._finish(reply, is_clean and self._keep_alive)
            return

    def _finish(self, reply: ServerReply, keep: bool) -> None:
        on_outcome, self._on_outcome = self._on_outcome, None
        if keep:
            self.state = ChannelState.IDLE
        else:
            self._close_socket()
        on_outcome(reply)

    def _on_end_of_stream(self) -> None:
        if self._begun == 1 and self._headers_done and not self._is_framed:
            reply = self._decode(self._reply())
            if reply is not None:
                self._finish(reply, keep=False)
                return
        self._end(LossReason.CLOSED, "the server closed the connection")

    def _end(self, reason: LossReason, detail: str = "") -> None:
        if self.state is ChannelState.CLOSED:
            return
        self._close_socket()
        on_outcome, self._on_outcome = self._on_outcome, None
        if on_outcome is not None:
            on_outcome(LostAttempt(reason, self._sent, detail))

    def _close_socket(self) -> None:
        self.state = ChannelState.CLOSED
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

    def _reply(self) -> RawReply:
        return RawReply(self._status, tuple(self._headers), b"".join(self._body))

    # The parser calls what follows.

    def on_message_begin(self) -> None:
        """Begin a response."""
        self._begun += 1
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self._headers_done = False
        self._is_framed = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in one header."""
        text = name.decode("latin-1")
        self._headers.append((text, value.decode("latin-1")))
        lower = text.lower()
        if lower in ("content-length", "transfer-encoding"):
            self._is_framed = True
        elif lower == "keep-alive":
            self.idle_timeout_s = IDLE_SHARE * _idle_timeout_s(value.decode("latin-1"))

    def on_headers_complete(self) -> None:
        """Note that all headers are in."""
        self._headers_done = True
        self._status = self._parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        """Take in a piece of the body."""
        self._body.append(data)
        self._body_bytes += len(data)

    def on_message_complete(self) -> None:
        """Keep the response, unless it is an interim one."""
        if self._status < 200:
            self._begun -= 1
            return
        # The parser forgets this with the end of the message.
        self._keep_alive = self._parser.should_keep_alive()
        self._complete.append(self._reply())


def _set_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)


def _idle_timeout_s(keep_alive: str) -> float:
    """Return the time after which the server closes an idle connection."""
    for part in keep_alive.split(","):
        key, _, number = part.strip().partition("=")
        if key == "timeout" and number.isdecimal():
            return float(number)
    return DEFAULT_IDLE_S
