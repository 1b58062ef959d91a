"""A WSGI server that limits the time of every wait for a caller."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import gevent
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from ..util.disconnects import has_input
from ..util.http_heads import HeadReader, IncompleteHeadError

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    import bottle

    WsgiApplication = Callable[[dict[str, Any], Callable[..., Any]], Any]

logger = logging.getLogger(__name__)

SOCKET_KEY = "marigoldwalk.socket"
"""Key of the caller's connection in the WSGI environment."""
HANDLER_KEY = "marigoldwalk.handler"
"""Key of the handler, which has the headers and the path as sent, in the WSGI environment."""
IDLE_TIMEOUT_S = 75.0
"""Time limit for the next request on a keep-alive connection."""
HEADER_TIMEOUT_S = 5.0
"""Time limit for reading all headers of a request."""
REQUEST_TIMEOUT_S = 75.0
"""Time limit for a whole request: its body, the answer and sending the answer."""
MAX_CONNECTIONS = 4096
DRAIN_POLL_INTERVAL_S = 0.005
ARRIVAL_GRACE_S = 0.3


_REQUEST_TIMEOUT_RESPONSE = (
    "408",
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
)


_BAD_REQUEST_RESPONSE = (
    "400",
    b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
)


class AmbiguousLengthError(ValueError):
    """The headers do not determine where the body of a request ends."""


@dataclass(frozen=True, slots=True)
class CallerTimeouts:
    """Time limits for a server's waits for its callers, in seconds."""

    idle_s: float = IDLE_TIMEOUT_S
    header_s: float = HEADER_TIMEOUT_S


class TimeLimitedHandler(WSGIHandler):
    """A handler that closes the connections of callers that are too slow."""

    def MessageClass(self, stream: Any, *args: Any) -> Any:
        """Return the headers, with a note of a stated length, which pywsgi drops beside chunks.

        Raises ``IncompleteHeadError`` if the connection is closed before their end.
        """
        headers = super().MessageClass(HeadReader(stream), *args)
        headers.has_length = "content-length" in headers
        return headers

    def read_requestline(self) -> str:
        """Read the first line of a request."""
        self.server.waiting_greenlets[self] = gevent.getcurrent()
        try:
            return self._read_request_line(self.server.caller_timeouts().idle_s)
        except TimeoutError:
            if not has_input(self.socket):
                raise
            # The request arrived while this process was paused, so it is not late.
            return self._read_request_line(self.server.caller_timeouts().header_s)
        finally:
            self.server.waiting_greenlets.pop(self, None)

    def _read_request_line(self, timeout_s: float) -> str:
        with gevent.Timeout(timeout_s, TimeoutError("no further request")):
            return super().read_requestline()

    def read_request(self, raw_requestline: str) -> bool:
        """Read the headers of a request.

        Raises ``AmbiguousLengthError`` if they state both a length and chunks, since another server
        on the way may have taken a different part of the data for the body (request smuggling), and
        ``IncompleteHeadError`` if the connection is closed before their end.
        """
        if not raw_requestline.endswith("\n"):
            raise IncompleteHeadError("the connection was closed within the first line")
        header_s = self.server.caller_timeouts().header_s
        with gevent.Timeout(header_s, TimeoutError("the headers did not arrive in time")):
            is_valid = super().read_request(raw_requestline)
        if self.headers.has_length and "transfer-encoding" in self.headers:
            raise AmbiguousLengthError("the request has both a length and chunks")
        return is_valid

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        """Return the response to a request that cannot be read; overrides a hook of pywsgi."""
        if isinstance(ex, (AmbiguousLengthError, IncompleteHeadError)):
            self.server.on_malformed(str(ex))
            return _BAD_REQUEST_RESPONSE
        if isinstance(ex, TimeoutError):
            logger.info(
                "request headers did not arrive in time", extra={"fields": {"why": str(ex)}}
            )
            return _REQUEST_TIMEOUT_RESPONSE
        return super()._handle_client_error(ex)

    def handle_one_response(self) -> None:
        """Answer one request."""
        self.server.open_requests += 1
        try:
            self._handle_within_time_limit()
        finally:
            self.server.open_requests -= 1

    def _handle_within_time_limit(self) -> None:
        with gevent.Timeout(REQUEST_TIMEOUT_S, TimeoutError("the request took too long")):
            super().handle_one_response()

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with the connection and this handler added."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        environ[HANDLER_KEY] = self
        return environ


class DrainableServer(WSGIServer):
    """A server that counts its open requests and can drain them."""

    open_requests = 0

    def __init__(
        self,
        *args: Any,
        caller_timeouts: Callable[[], CallerTimeouts],
        on_malformed: Callable[[str], None],
        **options: Any,
    ) -> None:
        super().__init__(*args, **options)
        self.on_malformed = on_malformed
        """Called with the reason when a request is rejected before its body is read."""
        self.caller_timeouts = caller_timeouts
        """Called before each wait, since a new configuration may change the limits."""
        self.waiting_greenlets: dict[TimeLimitedHandler, gevent.Greenlet] = {}
        """The greenlet of each handler that waits for a request."""

    def close_idle(self) -> None:
        """Close the connections on which no byte of a next request has arrived."""
        for handler in list(self.waiting_greenlets):
            gevent.get_hub().loop.run_callback(self._close_if_idle, handler)

    def _close_if_idle(self, handler: TimeLimitedHandler) -> None:
        # Runs in the event loop, so no request can be read between the check and the close.
        greenlet = self.waiting_greenlets.get(handler)
        if greenlet is not None and not has_input(handler.socket):
            greenlet.throw(ConnectionAbortedError("the daemon is stopping"))

    def drain(self, timeout_s: float) -> None:
        """Stop accepting connections and wait for open requests, for at most *timeout_s*.

        Connections pending at the listener are accepted first, since closing the listener would
        reset them. Requests in transit on open connections have ``ARRIVAL_GRACE_S`` to arrive.
        """
        self._accept_pending()
        self.close()
        with gevent.Timeout(timeout_s, False):
            gevent.sleep(ARRIVAL_GRACE_S)
            while self.open_requests:
                gevent.sleep(DRAIN_POLL_INTERVAL_S)

    def _accept_pending(self) -> None:
        self.stop_accepting()
        while (accepted := self.do_read()) is not None:
            self.do_handle(*accepted)


def make_server(
    listener: socket.socket,
    app: bottle.Bottle | WsgiApplication,
    caller_timeouts: Callable[[], CallerTimeouts] = lambda: CallerTimeouts(
        IDLE_TIMEOUT_S, HEADER_TIMEOUT_S
    ),
    on_malformed: Callable[[str], None] = lambda reason: logger.info(
        "malformed request", extra={"fields": {"why": reason}}
    ),
) -> DrainableServer:
    """Return a server for *app* on *listener*, not yet started."""
    return DrainableServer(
        listener,
        app,
        caller_timeouts=caller_timeouts,
        on_malformed=on_malformed,
        environ={"SERVER_NAME": listener.getsockname()[0]},
        spawn=Pool(MAX_CONNECTIONS),
        log=None,
        error_log=logger,
        handler_class=TimeLimitedHandler,
    )
