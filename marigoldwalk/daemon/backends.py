"""Subrequests and health probes to backend servers."""

from __future__ import annotations

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

PROBE_S = 0.5
"""Time for a health probe, its connection included."""
CANCEL_S = 0.5
"""Time for a server to confirm a cancellation."""
SWEEP_S = 2.0
"""Time between looks for connections that have been idle for long."""
SPARE_CONNECTIONS = 1
"""Idle connections kept beyond a server's slots, for probes."""

_HEADERS = {"Content-Type": "application/json"}


@dataclass(slots=True)
class _Progress:
    """How far a subrequest has come."""

    sent: bool = False
    """Whether a byte of it may have left."""


@dataclass(frozen=True, slots=True)
class _Running:
    action: SendSubrequest
    greenlet: gevent.Greenlet


class Backends:
    """Perform subrequests, each in its own greenlet, and report how they end.

    Nothing is ever sent twice. A loss counts as not sent only if it happened before the connection
    was open. A connection is used again only after a whole reply; in every other case it is
    closed, which also cancels the subrequest at its server.
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
        self._pool = BackendPool(clock.now, self._hung_up)
        self._running: dict[int, _Running] = {}
        self._last_incarnation: dict[str, str] = {}
        self._server_at: dict[Address, str] = {}
        self._sweeper: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to close old connections from time to time."""
        self._sweeper = gevent.spawn(self._sweep)

    def stop(self) -> None:
        """End all subrequests and close all connections."""
        greenlets = [running.greenlet for running in self._running.values()]
        if self._sweeper is not None:
            greenlets.append(self._sweeper)
        gevent.killall(greenlets)
        self._pool.close()

    def send(self, action: SendSubrequest) -> None:
        """Start a subrequest; ends in one ``ServerReply`` or ``ServerLost``."""
        self._running[action.attempt] = _Running(action, gevent.spawn(self._run, action))

    def cancel(self, attempt: int) -> None:
        """Close the connection of a subrequest, which cancels it, and have that confirmed.

        Ends in one ``SubrequestEnded`` if the server answers, else in no event.
        """
        running = self._running.pop(attempt, None)
        if running is not None:
            running.greenlet.kill(block=False)
            gevent.spawn(self._confirm_cancel, running.action)

    def _confirm_cancel(self, action: SendSubrequest) -> None:
        body = cancel_body(self._name_of(action))
        try:
            with gevent.Timeout(CANCEL_S):
                reply = self._exchange(
                    action.server, action.address, "POST", "/cancel", body, _Progress()
                )
        except (gevent.Timeout, Exception) as exc:
            logger.debug("cancelling at %s failed: %r", action.server, exc)
            return
        if reply.status == 200:
            self._post(SubrequestEnded(action.attempt))

    def _name_of(self, action: SendSubrequest) -> str:
        return f"{self._incarnation}:{action.attempt}"

    def probe(self, action: ProbeServer) -> None:
        """Read a server's health; ends in one ``ProbeReply`` or ``ProbeFailed``."""
        gevent.spawn(self._probe, action)

    def _run(self, action: SendSubrequest) -> None:
        event = self._outcome(action)
        if self._running.pop(action.attempt, None) is not None:
            self._post(event)

    def _outcome(self, action: SendSubrequest) -> Event:
        progress = _Progress()
        left_s = action.deadline - self._clock.now()
        if left_s <= 0:
            return ServerLost(action.attempt, sent=False, timed_out=True)
        try:
            with gevent.Timeout(left_s):
                return self._search(action, progress, left_s)
        except gevent.Timeout:
            return ServerLost(action.attempt, progress.sent, timed_out=True)
        except Exception as exc:  # The core must hear of every subrequest's end.
            logger.debug("server %s lost: %r", action.server, exc)
            return ServerLost(action.attempt, progress.sent, timed_out=False)

    def _search(self, action: SendSubrequest, progress: _Progress, left_s: float) -> Event:
        body = subrequest_body(action, self._name_of(action), left_s)
        response = self._exchange(action.server, action.address, "POST", "/search", body, progress)
        if response.status != 200:
            return self._failed(action, f"status {response.status}")
        try:
            reply = read_reply(response.body, action.attempt)
        except BackendError as exc:
            return self._failed(action, str(exc))
        self._last_incarnation[action.server] = reply.incarnation
        return reply

    def _failed(self, action: SendSubrequest, why: str) -> ServerReply:
        """Return the event for a reply that the interface does not describe."""
        logger.warning(
            "a reply of server %s cannot be used", action.server, extra={"fields": {"why": why}}
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
    ) -> Reply:
        """Send one request and read its whole reply."""
        conn = self._pool.take(address)
        whole = False
        try:
            if conn.sock is None:
                conn.connect()
            progress.sent = True
            reply = conn.exchange(method, path, body, _HEADERS)
            whole = conn.sock is not None
            return reply
        finally:
            if whole:
                self._give_back(server, address, conn)
            else:
                conn.close()

    def _give_back(self, server: str, address: Address, conn: GeventConnection) -> None:
        self._server_at[address] = server
        self._pool.give_back(address, conn, self._slots_of(server) + SPARE_CONNECTIONS)

    def _hung_up(self, address: Address) -> None:
        self._post(ServerClosedConnection(self._server_at[address]))

    def _probe(self, action: ProbeServer) -> None:
        self._post(self._probe_outcome(action))

    def _probe_outcome(self, action: ProbeServer) -> Event:
        try:
            with gevent.Timeout(PROBE_S):
                response = self._exchange(
                    action.server, action.address, "GET", "/health", None, _Progress()
                )
            if response.status == 200:
                return read_health(response.body, action.server)
        except ConnectionRefusedError:
            return ProbeFailed(action.server, refused=True)
        except (gevent.Timeout, Exception) as exc:
            logger.debug("probe of %s failed: %r", action.server, exc)
        return ProbeFailed(action.server, refused=False)

    def _sweep(self) -> None:
        while True:
            gevent.sleep(SWEEP_S)
            self._pool.close_old()
