"""An HTTP server whose waits for a caller are all bounded."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import gevent
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from ..util.hangup import has_input

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    import bottle

    WsgiApplication = Callable[[dict[str, Any], Callable[..., Any]], Any]

logger = logging.getLogger(__name__)

SOCKET_KEY = "marigoldwalk.socket"
"""Where the WSGI environment holds the caller's connection."""
HANDLER_KEY = "marigoldwalk.handler"
"""Where the WSGI environment holds the handler, with the headers and the path as sent."""
IDLE_S = 75.0
"""Time for which a kept-alive connection may wait for its next request."""
HEADER_S = 5.0
"""Time for all headers of a request to arrive."""
REQUEST_S = 75.0
"""Time for a whole request: body, answer and its delivery."""
MAX_CONNECTIONS = 4096
FINISH_POLL_S = 0.005
SETTLE_S = 0.3


_TIMED_OUT = (
    "408",
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
)


@dataclass(frozen=True, slots=True)
class CallerTimeouts:
    """How long a server waits for its callers, in seconds."""

    idle_s: float = IDLE_S
    header_s: float = HEADER_S


class BoundedHandler(WSGIHandler):
    """A handler that gives up on callers that are too slow."""

    def read_requestline(self) -> str:
        """Read the first line of a request."""
        self.server.idle[self] = gevent.getcurrent()
        try:
            return self._read_line(self.server.patience().idle_s)
        except TimeoutError:
            if not has_input(self.socket):
                raise
            # This process was paused, and the request arrived meanwhile.
            return self._read_line(self.server.patience().header_s)
        finally:
            self.server.idle.pop(self, None)

    def _read_line(self, timeout_s: float) -> str:
        with gevent.Timeout(timeout_s, TimeoutError("no further request")):
            return super().read_requestline()

    def read_request(self, raw_requestline: str) -> bool:
        """Read the headers of a request."""
        header_s = self.server.patience().header_s
        with gevent.Timeout(header_s, TimeoutError("the headers did not arrive in time")):
            return super().read_request(raw_requestline)

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        """Return the answer to a request that cannot be read; pywsgi's hook for this."""
        if isinstance(ex, TimeoutError):
            logger.info(
                "request headers did not arrive in time", extra={"fields": {"why": str(ex)}}
            )
            return _TIMED_OUT
        return super()._handle_client_error(ex)

    def handle_one_response(self) -> None:
        """Answer one request."""
        self.server.open_requests += 1
        try:
            self._handle_in_time()
        finally:
            self.server.open_requests -= 1

    def _handle_in_time(self) -> None:
        with gevent.Timeout(REQUEST_S, TimeoutError("the request took too long")):
            super().handle_one_response()

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment, with the connection added."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        environ[HANDLER_KEY] = self
        return environ


class BoundedServer(WSGIServer):
    """A server that knows how many requests it is working on."""

    open_requests = 0

    def __init__(self, *args: Any, patience: Callable[[], CallerTimeouts], **options: Any) -> None:
        super().__init__(*args, **options)
        self.patience = patience
        """Asked at each wait, since the limits of a configuration change."""
        self.idle: dict[BoundedHandler, gevent.Greenlet] = {}
        """Handlers that wait for a request, with the greenlets that they wait in."""

    def close_idle(self) -> None:
        """End the connections that wait for a request of which nothing has arrived."""
        for handler in list(self.idle):
            gevent.get_hub().loop.run_callback(self._close_if_idle, handler)

    def _close_if_idle(self, handler: BoundedHandler) -> None:
        # The event loop runs this, so nothing can arrive between the look and the end.
        greenlet = self.idle.get(handler)
        if greenlet is not None and not has_input(handler.socket):
            greenlet.throw(ConnectionAbortedError("the daemon is stopping"))

    def finish(self, timeout_s: float) -> None:
        """Refuse further connections and wait for open requests, for at most *timeout_s*.

        Connections that wait at the listener are accepted before it is closed, since closing
        would reset them. Requests on their way on open connections get ``SETTLE_S`` to arrive.
        """
        self._accept_waiting()
        self.close()
        with gevent.Timeout(timeout_s, False):
            gevent.sleep(SETTLE_S)
            while self.open_requests:
                gevent.sleep(FINISH_POLL_S)

    def _accept_waiting(self) -> None:
        self.stop_accepting()
        while (accepted := self.do_read()) is not None:
            self.do_handle(*accepted)


def make_server(
    listener: socket.socket,
    app: bottle.Bottle | WsgiApplication,
    patience: Callable[[], CallerTimeouts] = lambda: CallerTimeouts(IDLE_S, HEADER_S),
) -> BoundedServer:
    """Return a server of *app* on *listener*; the owner starts and stops it."""
    return BoundedServer(
        listener,
        app,
        patience=patience,
        environ={"SERVER_NAME": listener.getsockname()[0]},
        spawn=Pool(MAX_CONNECTIONS),
        log=None,
        error_log=logger,
        handler_class=BoundedHandler,
    )
