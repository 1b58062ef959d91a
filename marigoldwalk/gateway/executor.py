"""Performs what routing decides: sends attempts, keeps timers, answers callers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import gevent
from gevent.event import AsyncResult

from ..routing.exchanges import Abandon, Finish, Send

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..routing.exchanges import Action, Answer, Attempt, Exchange
    from ..routing.router import Router
    from .connection import Outcome, ServerConnection
    from .connection_pool import ConnectionPool
    from .header_codec import HeaderCodec

logger = logging.getLogger(__name__)

LEAST_WAIT_S = 0.0005
"""Shortest timer; a shorter one would only spend processor time."""


class ActiveExchange:
    """One exchange with what the shell needs for it."""

    __slots__ = ("answer", "body", "exchange", "head", "timer", "timer_due")

    def __init__(self, exchange: Exchange, head: bytes, body: bytes) -> None:
        self.exchange = exchange
        self.head = head
        """The request line and the headers that all attempts share."""
        self.body = body
        self.answer: AsyncResult = AsyncResult()
        self.timer = None
        self.timer_due = float("inf")


class ActionExecutor:
    """Connect a :class:`Router` with connections and timers.

    ::

        call = performer.start(exchange, request_head(...), body)
        answer = call.answer.get()
        performer.end(call)
    """

    def __init__(
        self, router: Router, links: ConnectionPool, dialect: HeaderCodec, now: Callable[[], float]
    ) -> None:
        self._router = router
        self._links = links
        self._dialect = dialect
        self._now = now
        self._calls: dict[Exchange, ActiveExchange] = {}
        self._channels: dict[Attempt, ServerConnection] = {}
        self._loop = gevent.get_hub().loop

    @property
    def open_count(self) -> int:
        """How many exchanges have work under way."""
        return len(self._calls)

    def start(self, exchange: Exchange, head: bytes, body: bytes) -> ActiveExchange:
        """Begin *exchange*."""
        call = ActiveExchange(exchange, head, body)
        self._calls[exchange] = call
        self._perform(self._router.start(exchange, self._now()))
        self._arm(call)
        return call

    def caller_left(self, call: ActiveExchange) -> None:
        """Give up a call whose caller has closed its connection."""
        self._router.caller_left(call.exchange, self._now())
        self._arm(call)
        if not call.answer.ready():
            call.answer.set(None)

    def _perform(self, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, Finish):
                self._finish(action.exchange, action.answer)
            elif isinstance(action, Abandon):
                self._abandon(action.attempt)

    def _send(self, action: Send) -> None:
        attempt = action.attempt
        exchange = attempt.task.exchange
        call = self._calls[exchange]
        row = attempt.row
        request_id = exchange.request.request_id
        headers = self._dialect.attempt_headers(action.deadline_s, row.server_id)
        data = b"".join((call.head, header_lines(headers), b"\r\n", call.body))
        channel = self._links.take(row, request_id, may_reuse=exchange.route.idempotent)
        self._channels[attempt] = channel
        channel.request(
            data,
            lambda outcome: self._on_outcome(attempt, outcome),
            lambda raw: self._dialect.read_reply(raw, request_id),
        )
        # Another exchange's task may have got the place that this event set free.
        self._arm(call)

    def _on_outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        channel = self._channels.pop(attempt)
        self._links.give_back(attempt.row, channel)
        exchange = attempt.task.exchange
        now = self._now()
        step = self._router.reply if outcome else self._router.lost
        self._perform(step(attempt, outcome, now))
        call = self._calls.get(exchange)
        if call is not None:
            self._arm(call)

    def _finish(self, exchange: Exchange, answer: Answer) -> None:
        self._calls[exchange].answer.set(answer)

    def _abandon(self, attempt: Attempt) -> None:
        channel = self._channels.get(attempt)
        if channel is not None:
            channel.close()

    def _arm(self, call: ActiveExchange) -> None:
        """Have the call's timer fire when something is due, or forget a call that is over.

        A timer that fires too early does no harm, so it is only ever moved forward.
        """
        due = self._router.next_wake(call.exchange)
        if due is None:
            self._stop_timer(call)
            if not any(task.open_attempts for task in call.exchange.tasks):
                self._calls.pop(call.exchange, None)
        elif due < call.timer_due:
            self._stop_timer(call)
            call.timer_due = due
            call.timer = self._loop.timer(max(due - self._now(), LEAST_WAIT_S))
            call.timer.start(self._wake, call)

    def _stop_timer(self, call: ActiveExchange) -> None:
        call.timer_due = float("inf")
        if call.timer is not None:
            call.timer.stop()
            call.timer.close()
            call.timer = None

    def _wake(self, call: ActiveExchange) -> None:
        self._stop_timer(call)
        self._perform(self._router.wake(call.exchange, self._now()))
        if call.exchange in self._calls:
            self._arm(call)


def header_lines(headers: Sequence[tuple[str, str]]) -> bytes:
    """Return *headers* as they go over the wire."""
    return "".join(f"{name}: {value}\r\n" for name, value in headers).encode("latin-1")


def request_head(
    method: str, target: str, headers: Sequence[tuple[str, str]], body: bytes
) -> bytes:
    """Return the request line and the *headers* that all attempts of a request share."""
    lines = header_lines(headers)
    if body or method in ("POST", "PUT", "PATCH"):
        lines += b"Content-Length: %d\r\n" % len(body)
    return f"{method} {target} HTTP/1.1\r\n".encode("latin-1") + lines
