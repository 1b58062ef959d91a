"""Forwards fan-out queries to delegates.

Delegates are daemons that answer fan-out queries for others; logs and metrics call them carriers.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from gevent.event import AsyncResult

from ..routing.exchanges import LostAttempt
from ..util.disconnects import DisconnectWatch
from .executor import encode_headers
from .header_codec import RawReply

if TYPE_CHECKING:
    import socket
    from collections import Counter
    from collections.abc import Callable

    from ..config.view import Address
    from ..routing.delegation import Delegation
    from ..routing.exchanges import Exchange
    from ..routing.membership import MemberReport
    from ..routing.model import Route
    from .connection_pool import ConnectionPool

logger = logging.getLogger(__name__)

ELAPSED_HEADER = "X-Gateway-Elapsed-Ms"
"""Time since the query arrived at the forwarding daemon, in milliseconds."""
VERSION_HEADER = "X-Gateway-Version"
"""Configuration version under which the forwarding daemon accepted the query. The delegate uses the
same version, so that a caller never sees its daemon go back to an older one."""
VERSION_KEY = f"HTTP_{VERSION_HEADER.upper().replace('-', '_')}"
"""WSGI environment key of ``VERSION_HEADER``."""
ELAPSED_KEY = f"HTTP_{ELAPSED_HEADER.upper().replace('-', '_')}"
"""WSGI environment key of ``ELAPSED_HEADER``."""
WORKSPACE_HEADER = "X-Gateway-Workspace"
"""Name of the workspace that the forwarding daemon has identified; the caller's key is not sent."""
WORKSPACE_KEY = f"HTTP_{WORKSPACE_HEADER.upper().replace('-', '_')}"
"""WSGI environment key of ``WORKSPACE_HEADER``."""
REQUEST_HEADERS = frozenset(h.lower() for h in (ELAPSED_HEADER, VERSION_HEADER, WORKSPACE_HEADER))
"""The headers, in lower case, with which a daemon forwards a request. They go no further, and none
is taken from a caller."""
REFUSED_STATUS = 421
"""Status with which a delegate refuses a query, since it does not know the query's configuration
version or cannot route the query."""
STOPPED_HEADER = "X-Gateway-Stopped"
"""Header of such a refusal if the delegate had begun to send the query and has then lost its links,
so that servers may have run it."""
FORWARDING_DELAY_S = 0.008
"""Round trip to a delegate and forwarding in both directions, on half a core."""
REPLY_GRACE_S = 0.3
"""Time beyond the route's target after which a delegate without an answer counts as lost. Answers
below the minimum coverage can take that long; after a failure at that point, the caller still has
time to ask another daemon."""


class DelegateFailure(Enum):
    """Why a delegate returned no answer."""

    CALLER_LEFT = "the caller disconnected"
    NOT_SENT = "no delegate started the query, so this daemon may run it"
    STOPPED = "the delegate has lost its links; a query that it has begun may be run again"
    LOST = "the delegate may have run the query, so it must not be sent to servers again"


_FAILURES = (DelegateFailure.NOT_SENT, DelegateFailure.STOPPED, DelegateFailure.LOST)


@dataclass(slots=True, eq=False)
class _DelegateEndpoint:
    """A delegate's address and its number of idle connections."""

    address: Address
    idle_connections: int = 0


class DelegateClient:
    """Sends queries to delegates and waits for their answers."""

    def __init__(
        self,
        delegation: Delegation,
        pool: ConnectionPool,
        now: Callable[[], float],
        counters: Counter[str],
    ) -> None:
        self._delegation = delegation
        self._pool = pool
        self._now = now
        self._counters = counters
        self._endpoints: dict[Address, _DelegateEndpoint] = {}
        self._waiting: set[AsyncResult] = set()
        """The results of the requests in progress."""

    def forward(
        self, exchange: Exchange, head: bytes, sock: socket.socket
    ) -> RawReply | DelegateFailure:
        """Return a delegate's answer, or why there is none."""
        delegate = self._delegation.choose(self._now())
        if delegate is None:
            return DelegateFailure.NOT_SENT
        return self._forward_to(delegate, exchange, head, sock, self._overdue_after_s(exchange))

    def forward_isolated(
        self, exchange: Exchange, head: bytes, body: bytes, sock: socket.socket
    ) -> RawReply | DelegateFailure:
        """Return the answer of a daemon that reaches the servers, which this one does not.

        Only one other daemon is asked, and it does not forward the request further.
        """
        now = self._now()
        delegate = self.choose_connected(exchange.route, now)
        if delegate is None:
            return DelegateFailure.NOT_SENT
        self._counters["forward.isolated"] += 1
        fields = {"request": exchange.request.request_id, "carrier": delegate.name}
        logger.info("request forwarded since no server is reachable", extra={"fields": fields})
        wait_s = max(exchange.give_up_at - now, 0.0)
        return self._forward_to(delegate, exchange, head, sock, wait_s, body)

    def give_up(self) -> None:
        """End the requests in progress as lost, since this daemon is stopping."""
        for result in list(self._waiting):
            result.set(DelegateFailure.LOST)

    def _overdue_after_s(self, exchange: Exchange) -> float:
        """Return the time from now after which a delegate without an answer may be lost."""
        elapsed_s = self._now() - exchange.request.received_at
        return max(exchange.route.target_s + REPLY_GRACE_S - elapsed_s, REPLY_GRACE_S)

    def choose_connected(self, route: Route | None, now: float) -> MemberReport | None:
        """Return a daemon that reaches the servers and may execute a request of *route*."""
        is_query = route is not None and route.fan_out is not None
        return self._delegation.choose_connected(is_query, now)

    def _forward_to(
        self,
        delegate: MemberReport,
        exchange: Exchange,
        head: bytes,
        sock: socket.socket,
        wait_s: float,
        body: bytes = b"",
    ) -> RawReply | DelegateFailure:
        self._delegation.record_start(delegate)
        answer = self._exchange(delegate, exchange, head, sock, wait_s, body)
        failed = answer in _FAILURES
        self._delegation.record_end(delegate, failed, self._now())
        self._counters["carry.failed" if failed else "carry.answered"] += 1
        if failed:
            fields = {
                "request": exchange.request.request_id,
                "carrier": delegate.name,
                "outcome": answer.name.lower(),
            }
            logger.info("delegated query failed", extra={"fields": fields})
        return answer

    def _exchange(
        self,
        delegate: MemberReport,
        exchange: Exchange,
        head: bytes,
        sock: socket.socket,
        wait_s: float,
        body: bytes,
    ) -> RawReply | DelegateFailure:
        now = self._now()
        request = exchange.request
        elapsed_ms = (now - request.received_at + FORWARDING_DELAY_S) * 1000
        endpoint = self._endpoints.setdefault(delegate.address, _DelegateEndpoint(delegate.address))
        connection = self._pool.acquire(endpoint, request.request_id, exchange.route.idempotent)
        result: AsyncResult = AsyncResult()
        headers = [
            (ELAPSED_HEADER, f"{elapsed_ms:.1f}"),
            (VERSION_HEADER, str(exchange.config_version)),
        ]
        if request.workspace is not None:
            headers.append((WORKSPACE_HEADER, request.workspace.name))
        data = head + encode_headers(headers) + b"\r\n" + body
        self._waiting.add(result)
        try:
            with DisconnectWatch(sock, lambda: result.set(DelegateFailure.CALLER_LEFT)):
                connection.request(data, result.set, lambda raw: raw)
                overdue_s = min(self._overdue_after_s(exchange), wait_s)
                outcome = result.wait(overdue_s)
                if outcome is None and overdue_s < wait_s:
                    # It may only be slow, but others are asked meanwhile.
                    self._delegation.record_overdue(delegate, self._now())
                    outcome = result.wait(wait_s - overdue_s)
        finally:
            self._waiting.discard(result)
        if not isinstance(outcome, RawReply):
            connection.close()
        self._pool.release(endpoint, connection)
        return _classify(outcome)


def _classify(
    outcome: RawReply | LostAttempt | DelegateFailure | None,
) -> RawReply | DelegateFailure:
    """Return the reply or failure that *outcome* stands for; ``None`` is a timeout."""
    if outcome is None:
        return DelegateFailure.LOST
    if isinstance(outcome, LostAttempt):
        return DelegateFailure.LOST if outcome.may_have_run else DelegateFailure.NOT_SENT
    if isinstance(outcome, RawReply) and outcome.status == REFUSED_STATUS:
        was_begun = any(name == STOPPED_HEADER for name, _ in outcome.headers)
        return DelegateFailure.STOPPED if was_begun else DelegateFailure.NOT_SENT
    return outcome
