"""Handing of wide queries to the daemons that carry them."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from gevent.event import AsyncResult

from ..routing.exchanges import LostAttempt
from ..util.hangup import HangupWatch
from .dialect import RawReply
from .performer import header_lines

if TYPE_CHECKING:
    import socket
    from collections import Counter
    from collections.abc import Callable

    from ..config.view import Address
    from ..routing.delegation import Delegation
    from ..routing.exchanges import Exchange
    from ..routing.membership import MemberReport
    from .links import Links

logger = logging.getLogger(__name__)

ELAPSED_HEADER = "X-Gateway-Elapsed-Ms"
"""Tells a carrier how long ago the query arrived at the daemon that hands it on."""
VERSION_HEADER = "X-Gateway-Version"
"""Tells a carrier the configuration under which the query was taken. It is carried under the same
one, so that a caller's daemon never seems to go back to an older version."""
VERSION_KEY = f"HTTP_{VERSION_HEADER.upper().replace('-', '_')}"
"""The same in a WSGI environment."""
ELAPSED_KEY = f"HTTP_{ELAPSED_HEADER.upper().replace('-', '_')}"
"""The same in a WSGI environment."""
REFUSED_STATUS = 421
"""A carrier's answer if it takes no queries: it is stopping or knows no configuration."""
HOP_S = 0.008
"""Time for the way to a carrier and back and for handing on both ways, on half a core."""
PATIENCE_S = 0.3
"""Time beyond the target after which a carrier without an answer counts as lost. Answers below the
least coverage come that late; a caller that is told then has time to ask another daemon."""


class Uncarried(Enum):
    """Why there is no answer of a carrier."""

    CALLER_LEFT = "the caller left"
    NOT_SENT = "no carrier has begun to run the query, so this daemon may"
    LOST = "the carrier may have run the query, so it must not be sent to servers again"


@dataclass(slots=True, eq=False)
class _Carrier:
    """A daemon that carries queries, with the connections to it."""

    address: Address
    idle_connections: int = 0


class Carrying:
    """Send a query to its carrier and wait for the answer."""

    def __init__(
        self,
        delegation: Delegation,
        links: Links,
        now: Callable[[], float],
        counters: Counter[str],
    ) -> None:
        self._delegation = delegation
        self._links = links
        self._now = now
        self._counters = counters
        self._carriers: dict[Address, _Carrier] = {}

    def carry(self, exchange: Exchange, head: bytes, sock: socket.socket) -> RawReply | Uncarried:
        """Return a carrier's answer, or why there is none."""
        carrier = self._delegation.choose(self._now())
        if carrier is None:
            return Uncarried.NOT_SENT
        self._delegation.begin(carrier)
        answer = self._ask(carrier, exchange, head, sock)
        failed = answer in (Uncarried.NOT_SENT, Uncarried.LOST)
        self._delegation.end(carrier, failed, self._now())
        self._counters["carry.failed" if failed else "carry.answered"] += 1
        if failed:
            fields = {
                "request": exchange.request.request_id,
                "carrier": carrier.name,
                "outcome": answer.name.lower(),
            }
            logger.info("a carrier did not answer", extra={"fields": fields})
        return answer

    def _ask(
        self, carrier: MemberReport, exchange: Exchange, head: bytes, sock: socket.socket
    ) -> RawReply | Uncarried:
        now = self._now()
        request = exchange.request
        elapsed_ms = (now - request.received_at + HOP_S) * 1000
        row = self._carriers.setdefault(carrier.address, _Carrier(carrier.address))
        channel = self._links.take(row, request.request_id)
        result: AsyncResult = AsyncResult()
        headers = [
            (ELAPSED_HEADER, f"{elapsed_ms:.1f}"),
            (VERSION_HEADER, str(exchange.config_version)),
        ]
        data = head + header_lines(headers) + b"\r\n"
        with HangupWatch(sock, lambda: result.set(Uncarried.CALLER_LEFT)):
            channel.request(data, result.set, lambda raw: raw)
            wait_s = exchange.route.target_s + PATIENCE_S - (now - request.received_at)
            outcome = result.wait(max(wait_s, PATIENCE_S))
        if not isinstance(outcome, RawReply):
            channel.close()
        self._links.give_back(row, channel)
        return _meaning(outcome)


def _meaning(outcome: RawReply | LostAttempt | Uncarried | None) -> RawReply | Uncarried:
    """Return what the end of a wait for a carrier means; ``None`` stands for no end in time."""
    if outcome is None:
        return Uncarried.LOST
    if isinstance(outcome, LostAttempt):
        return Uncarried.LOST if outcome.may_have_run else Uncarried.NOT_SENT
    if isinstance(outcome, RawReply) and outcome.status == REFUSED_STATUS:
        return Uncarried.NOT_SENT
    return outcome
