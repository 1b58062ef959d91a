"""Executes routing decisions: sends attempts, runs timers and completes answers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import gevent
from gevent.event import AsyncResult

from ..routing.exchanges import Abandon, CheckLinks, Finish, Probe, ReportIsolation, Send
from .link_checker import LinkChecker

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..routing.exchanges import Action, Answer, Attempt, Exchange, LostAttempt
    from ..routing.router import Router
    from .connection import Outcome, ServerConnection
    from .connection_pool import ConnectionPool
    from .header_codec import HeaderCodec

logger = logging.getLogger(__name__)

MIN_TIMER_S = 0.0005
"""Minimum timer interval; shorter ones would only cost CPU time."""


class ActiveExchange:
    """An exchange in progress, with its encoded request, answer and timer."""

    __slots__ = ("answer", "body", "exchange", "head", "timer", "timer_due")

    def __init__(self, exchange: Exchange, head: bytes, body: bytes) -> None:
        self.exchange = exchange
        self.head = head
        """The request line and the headers common to all attempts."""
        self.body = body
        self.answer: AsyncResult = AsyncResult()
        self.timer = None
        self.timer_due = float("inf")


class ActionExecutor:
    """Executes the actions of a :class:`Router` with connections and timers.

    ::

        active = executor.start(exchange, encode_request_head(...), body)
        answer = active.answer.get()
    """

    def __init__(
        self,
        router: Router,
        pool: ConnectionPool,
        codec: HeaderCodec,
        now: Callable[[], float],
        on_isolation: Callable[[bool], None] = lambda is_isolated: None,
    ) -> None:
        self._router = router
        self._pool = pool
        self._codec = codec
        self._now = now
        self._on_isolation = on_isolation
        self._link_checker = LinkChecker(router, pool, now, self._execute)
        self._active: dict[Exchange, ActiveExchange] = {}
        self._connections: dict[Attempt, ServerConnection] = {}
        self._loop = gevent.get_hub().loop

    @property
    def open_count(self) -> int:
        """Number of exchanges in progress."""
        return len(self._active)

    def start(self, exchange: Exchange, head: bytes, body: bytes) -> ActiveExchange:
        """Start *exchange*."""
        active = ActiveExchange(exchange, head, body)
        self._active[exchange] = active
        self._execute(self._router.start(exchange, self._now()))
        self._rearm_timer(active)
        return active

    def begin_stop(self, answer_by: float) -> None:
        """Answer all requests until *answer_by*."""
        self._router.begin_stop(answer_by)
        for active in list(self._active.values()):
            self._rearm_timer(active)

    def caller_left(self, active: ActiveExchange) -> None:
        """Cancel an exchange whose caller has disconnected."""
        self._router.caller_left(active.exchange, self._now())
        self._rearm_timer(active)
        if not active.answer.ready():
            active.answer.set(None)

    def _execute(self, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, Finish):
                self._finish(action.exchange, action.answer)
            elif isinstance(action, Abandon):
                self._abandon(action.attempt)
            elif isinstance(action, Probe):
                self._probe(action)
            elif isinstance(action, CheckLinks):
                self._link_checker.start(action)
            elif isinstance(action, ReportIsolation):
                self._on_isolation(action.is_isolated)

    def _send(self, action: Send) -> None:
        attempt = action.attempt
        exchange = attempt.task.exchange
        active = self._active[exchange]
        row = attempt.row
        request_id = exchange.request.request_id
        headers = self._codec.attempt_headers(action.deadline_s, row.server_id)
        data = b"".join((active.head, encode_headers(headers), b"\r\n", active.body))
        connection = self._pool.acquire(row, request_id, may_reuse=exchange.route.idempotent)
        self._connections[attempt] = connection
        connection.request(
            data,
            lambda outcome: self._on_outcome(attempt, outcome),
            lambda raw: self._codec.read_reply(raw, request_id),
            lambda: self._router.opened(attempt, self._now()),
        )
        # The event may belong to another exchange: a freed slot can go to a task of this one.
        self._rearm_timer(active)

    def _on_outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        self._end_use(attempt)
        handle = self._router.reply if outcome else self._router.lost
        self._complete(attempt, handle(attempt, outcome, self._now()))

    def _probe(self, probe: Probe) -> None:
        connection = self._pool.create(probe.attempt.row)
        self._connections[probe.attempt] = connection
        connection.open(lambda failure: self._on_probed(probe, failure))

    def _on_probed(self, probe: Probe, failure: LostAttempt | None) -> None:
        self._end_use(probe.attempt)
        if failure is None:
            self._router.opened(probe.attempt, self._now())
        self._complete(probe.attempt, self._router.probed(probe, failure, self._now()))

    def _end_use(self, attempt: Attempt) -> None:
        """Keep or close the connection of an attempt."""
        connection = self._connections.pop(attempt)
        if self._router.keeps_connection(attempt):
            self._pool.release(attempt.row, connection)
        else:
            connection.close()

    def _complete(self, attempt: Attempt, actions: Sequence[Action]) -> None:
        """Execute the actions that follow from the outcome of an attempt."""
        self._execute(actions)
        active = self._active.get(attempt.task.exchange)
        if active is not None:
            self._rearm_timer(active)

    def stop(self) -> None:
        """Stop to check the links."""
        self._link_checker.stop()

    def _finish(self, exchange: Exchange, answer: Answer) -> None:
        self._active[exchange].answer.set(answer)

    def _abandon(self, attempt: Attempt) -> None:
        connection = self._connections.get(attempt)
        if connection is not None:
            connection.close()

    def _rearm_timer(self, active: ActiveExchange) -> None:
        """Set the timer for the exchange's next due time, or drop the exchange if it is over.

        A timer that fires too early is harmless, so it is only ever moved to an earlier time.
        """
        due = self._router.next_due_at(active.exchange)
        if due is None:
            self._stop_timer(active)
            if not any(task.open_attempts for task in active.exchange.tasks):
                self._active.pop(active.exchange, None)
        elif due < active.timer_due:
            self._stop_timer(active)
            active.timer_due = due
            active.timer = self._loop.timer(max(due - self._now(), MIN_TIMER_S))
            active.timer.start(self._on_timer, active)

    def _stop_timer(self, active: ActiveExchange) -> None:
        active.timer_due = float("inf")
        if active.timer is not None:
            active.timer.stop()
            active.timer.close()
            active.timer = None

    def _on_timer(self, active: ActiveExchange) -> None:
        self._stop_timer(active)
        self._execute(self._router.perform_due(active.exchange, self._now()))
        if active.exchange in self._active:
            self._rearm_timer(active)


def encode_headers(headers: Sequence[tuple[str, str]]) -> bytes:
    """Return *headers* as HTTP header lines."""
    return "".join(f"{name}: {value}\r\n" for name, value in headers).encode("latin-1")


def encode_request_head(
    method: str, target: str, headers: Sequence[tuple[str, str]], body: bytes
) -> bytes:
    """Return the request line and the headers common to all attempts of a request."""
    lines = encode_headers(headers)
    if body or method in ("POST", "PUT", "PATCH"):
        lines += b"Content-Length: %d\r\n" % len(body)
    return f"{method} {target} HTTP/1.1\r\n".encode("latin-1") + lines
