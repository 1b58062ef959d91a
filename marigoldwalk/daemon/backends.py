"""Subrequests and health probes to backend servers."""

from __future__ import annotations

import http.client
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent

from ..core.events import (
    ProbeFailed,
    ReplyState,
    ServerClosedConnection,
    ServerLost,
    ServerReply,
    SubrequestEnded,
)
from .backend_messages import BackendError, cancel_body, read_health, read_reply, subrequest_body
from .backend_pool import BackendPool

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..config.view import Address
    from ..core.actions import ProbeServer, SendSubrequest
    from ..core.events import Event
    from ..util.clock import Clock
    from ..util.gevent_http import GeventConnection, Reply

logger = logging.getLogger(__name__)

PROBE_TIMEOUT_S = 0.5
"""Time limit for a health probe, including connecting."""
CANCEL_TIMEOUT_S = 0.5
"""Time limit for a server to confirm a cancellation."""
SWEEP_INTERVAL_S = 2.0
"""Time between scans for connections that have been idle for too long."""
SPARE_CONNECTIONS = 1
"""Idle connections kept for probes, in addition to a server's slots."""

_HEADERS = {"Content-Type": "application/json"}


@dataclass(slots=True)
class _Progress:
    """The progress of a request to a server."""

    sent: bool = False
    """Whether any byte of the request may have been sent."""


@dataclass(frozen=True, slots=True)
class _RunningSubrequest:
    action: SendSubrequest
    greenlet: gevent.Greenlet


class Backends:
    """Sends subrequests, each in its own greenlet, and reports their outcomes.

    Requests are never retried. A lost request counts as not sent only if it was lost before its
    connection was open. A connection is reused only after a complete reply; in every other case it
    is closed, which also cancels the subrequest at its server.
    """

    def __init__(
        self,
        incarnation: str,
        clock: Clock,
        post: Callable[[Event], None],
        slots_of: Callable[[str], int],
    ) -> None:
        self._incarnation = incarnation
        self._clock = clock
        self._post = post
        self._slots_of = slots_of
        self._pool = BackendPool(clock.now, self._report_closed)
        self._running: dict[int, _RunningSubrequest] = {}
        self._last_incarnation: dict[str, str] = {}
        self._server_by_address: dict[Address, str] = {}
        self._expiry_greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to close expired idle connections periodically."""
        self._expiry_greenlet = gevent.spawn(self._close_expired)

    def stop(self) -> None:
        """Abort all subrequests and close all connections."""
        greenlets = [running.greenlet for running in self._running.values()]
        if self._expiry_greenlet is not None:
            greenlets.append(self._expiry_greenlet)
        gevent.killall(greenlets)
        self._pool.close()

    def send(self, action: SendSubrequest) -> None:
        """Start a subrequest; one ``ServerReply`` or ``ServerLost`` is posted when it ends."""
        self._running[action.attempt] = _RunningSubrequest(
            action, gevent.spawn(self._run_subrequest, action)
        )

    def cancel(self, attempt: int) -> None:
        """Cancel a subrequest by closing its connection, and ask the server to confirm it.

        One ``SubrequestEnded`` is posted if the server confirms, otherwise no event.
        """
        running = self._running.pop(attempt, None)
        if running is not None:
            running.greenlet.kill(block=False)
            gevent.spawn(self._confirm_cancel, running.action)

    def _confirm_cancel(self, action: SendSubrequest) -> None:
        body = cancel_body(self._attempt_id(action))
        try:
            with gevent.Timeout(CANCEL_TIMEOUT_S):
                reply = self._exchange(
                    action.server, action.address, "POST", "/cancel", body, _Progress()
                )
        except (gevent.Timeout, Exception) as exc:
            logger.debug("server %s did not confirm a cancellation: %r", action.server, exc)
            return
        if reply.status == 200:
            self._post(SubrequestEnded(action.attempt))

    def _attempt_id(self, action: SendSubrequest) -> str:
        return f"{self._incarnation}:{action.attempt}"

    def probe(self, action: ProbeServer) -> None:
        """Read a server's health; one ``ProbeReply`` or ``ProbeFailed`` is posted."""
        gevent.spawn(self._probe, action)

    def _run_subrequest(self, action: SendSubrequest) -> None:
        event = self._subrequest_outcome(action)
        if self._running.pop(action.attempt, None) is not None:
            self._post(event)

    def _subrequest_outcome(self, action: SendSubrequest) -> Event:
        progress = _Progress()
        remaining_s = action.deadline - self._clock.now()
        if remaining_s <= 0:
            return ServerLost(action.attempt, sent=False, timed_out=True)
        try:
            with gevent.Timeout(remaining_s):
                return self._search(action, progress, remaining_s)
        except gevent.Timeout:
            return ServerLost(action.attempt, progress.sent, timed_out=True)
        except Exception as exc:  # Every subrequest must end in an event.
            logger.debug("subrequest to server %s failed: %r", action.server, exc)
            return ServerLost(action.attempt, progress.sent, timed_out=False)

    def _search(self, action: SendSubrequest, progress: _Progress, remaining_s: float) -> Event:
        body = subrequest_body(action, self._attempt_id(action), remaining_s)
        response = self._exchange(action.server, action.address, "POST", "/search", body, progress)
        if response.status != 200:
            return self._unusable_reply(action, f"status {response.status}")
        try:
            reply = read_reply(response.body, action.attempt)
        except BackendError as exc:
            return self._unusable_reply(action, str(exc))
        self._last_incarnation[action.server] = reply.incarnation
        return reply

    def _unusable_reply(self, action: SendSubrequest, why: str) -> ServerReply:
        """Return the event for a reply that does not conform to the interface."""
        logger.warning(
            "server %s sent an invalid reply", action.server, extra={"fields": {"why": why}}
        )
        incarnation = self._last_incarnation.get(action.server, "")
        return ServerReply(action.attempt, ReplyState.FAILED, incarnation)

    def _exchange(
        self,
        server: str,
        address: Address,
        method: str,
        path: str,
        body: bytes | None,
        progress: _Progress,
        may_reuse: bool = True,
    ) -> Reply:
        """Send one request and return its reply."""
        conn = self._pool.acquire(address) if may_reuse else self._pool.create(address)
        is_complete = False
        try:
            if conn.sock is None:
                conn.connect()
            progress.sent = True
            reply = conn.exchange(method, path, body, _HEADERS)
            is_complete = conn.sock is not None
            return reply
        finally:
            if is_complete:
                self._release(server, address, conn)
            else:
                conn.close()

    def _release(self, server: str, address: Address, conn: GeventConnection) -> None:
        self._server_by_address[address] = server
        self._pool.release(address, conn, self._slots_of(server) + SPARE_CONNECTIONS)

    def _report_closed(self, address: Address) -> None:
        self._post(ServerClosedConnection(self._server_by_address[address]))

    def _probe(self, action: ProbeServer) -> None:
        self._post(self._probe_outcome(action))

    def _probe_outcome(self, action: ProbeServer) -> Event:
        try:
            with gevent.Timeout(PROBE_TIMEOUT_S):
                response = self._read_health(action)
            if response.status == 200:
                return read_health(response.body, action.server)
        except ConnectionRefusedError:
            return ProbeFailed(action.server, refused=True)
        except (gevent.Timeout, Exception) as exc:
            logger.debug("health probe of server %s failed: %r", action.server, exc)
        return ProbeFailed(action.server, refused=False)

    def _read_health(self, action: ProbeServer) -> Reply:
        """Return the server's health, on a new connection if a reused one breaks.

        Load pattern: a server crashes and resets its idle connections. A probe on one of them shows
        nothing; only a new connection that is refused proves the crash at once.
        """
        request = (action.server, action.address, "GET", "/health", None, _Progress())
        try:
            return self._exchange(*request)
        except ConnectionRefusedError:
            raise
        except (OSError, http.client.HTTPException) as exc:
            logger.debug("health probe of server %s is repeated: %r", action.server, exc)
            return self._exchange(*request, may_reuse=False)

    def _close_expired(self) -> None:
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            self._pool.close_expired()
