"""The callers' HTTP interface."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import bottle
import gevent
from gevent.event import AsyncResult

from ..core.events import QueryCancelled, QueryReceived
from ..errors import Code, Execution, Refusal
from ..util.hangup import HangupWatch
from ..util.hashing import content_fingerprint
from .answer_format import answer_response, refusal_answer
from .http_server import SOCKET_KEY
from .query_model import MAX_DEADLINE_MS, read_query

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable, Iterable

    from ..core.actions import AnswerCaller
    from ..core.events import Event
    from .readiness import Readiness

logger = logging.getLogger(__name__)

_CLOSING_CODES = frozenset({Code.BODY_TOO_LARGE, Code.MALFORMED, Code.INTERNAL})
STOPPING_RETRY_S = 1.0

BODY_S = 5.0
"""Time for the whole body of a request to arrive."""
DRAIN_BYTES = 4 * 1024 * 1024
"""Most bytes of an oversized body that are read so that the caller sees the refusal."""
ANSWER_S = MAX_DEADLINE_MS / 1000 + 5.0
"""Time after which the core is taken to have lost a query."""


class Frontend:
    """Take callers' queries to the core and its answers back.

    :attr:`app` is a WSGI application. Each request waits in its own greenlet; a caller that closes
    its connection meanwhile cancels its query.
    """

    def __init__(
        self,
        daemon: str,
        post: Callable[[Event], None],
        readiness: Readiness,
        counters: Counter[str],
        max_body_bytes: int,
    ) -> None:
        self.app = bottle.Bottle()
        self.app.route("/query", "POST", self._query)
        self.app.route("/ready", "GET", self._ready)
        self.app.route("/live", "GET", lambda: {"live": True})
        self.app.default_error_handler = self._unhandled
        self._daemon = daemon
        self._post = post
        self._readiness = readiness
        self._counters = counters
        self._max_body_bytes = max_body_bytes
        self._waiting: dict[int, AsyncResult] = {}
        self._last_query = 0
        self._closed = False

    def answer(self, answer: AnswerCaller) -> None:
        """Give *answer* to the caller that waits for it, if it still does."""
        waiter = self._waiting.get(answer.query)
        if waiter is not None:
            waiter.set(answer)

    def close(self, unread: Iterable[Event]) -> None:
        """Refuse further queries and those among *unread*, events that the core never saw.

        Callers that wait for a core that has failed are told that the outcome is unknown.
        """
        self._closed = True
        for event in unread:
            if isinstance(event, QueryReceived):
                self.answer(_stopping_answer(event))
        for waiter in self._waiting.values():
            if not waiter.ready():
                waiter.set(None)

    def _query(self) -> bottle.HTTPResponse:
        # bottle's request is shared by all greenlets, so it must not be used after a wait.
        environ = bottle.request.environ
        answer = self._answer_to(environ)
        closing = not self._readiness.ready or answer.code in _CLOSING_CODES
        return answer_response(answer, self._daemon, closing)

    def _answer_to(self, environ: dict[str, Any]) -> AnswerCaller:
        raw = read_body(environ, self._max_body_bytes)
        if isinstance(raw, Refusal):
            return self._refuse(raw)
        self._last_query += 1
        received = read_query(raw, self._last_query)
        if isinstance(received, Refusal):
            return self._refuse(received)
        if self._closed:
            return _stopping_answer(received)
        return self._ask_core(received, environ)

    def _refuse(self, refusal: Refusal) -> AnswerCaller:
        name = refusal.code.name.lower()
        self._counters[f"refusal.{name}"] += 1
        self._counters[f"answer.{name}"] += 1
        return refusal_answer(refusal)

    def _ask_core(self, received: QueryReceived, environ: dict[str, Any]) -> AnswerCaller:
        waiter: AsyncResult = AsyncResult()
        self._waiting[received.query] = waiter
        self._post(received)
        try:
            with HangupWatch(environ[SOCKET_KEY], lambda: waiter.set(None)):
                answer = waiter.get(timeout=ANSWER_S)
        except gevent.Timeout:
            logger.error("the core gave no answer", extra={"fields": {"query": received.query}})
            answer = None
        finally:
            del self._waiting[received.query]
        if answer is None:
            self._post(QueryCancelled(received.query))
            return _no_answer(received)
        _log_query(received, answer)
        return answer

    def _ready(self) -> bottle.HTTPResponse:
        return readiness_response(self._readiness)

    def _unhandled(self, error: bottle.HTTPError) -> bottle.HTTPResponse:
        """Answer an unknown path, a wrong method or a fault of our own as JSON."""
        if error.status_code in (404, 405):
            refusal = Refusal(Code.NOT_FOUND, f"The request was not understood: {error.body}.")
        else:
            refusal = Refusal(Code.INTERNAL, "The daemon failed.", execution=Execution.UNKNOWN)
        return answer_response(refusal_answer(refusal), self._daemon, closing=True)


def readiness_response(readiness: Readiness) -> bottle.HTTPResponse:
    """Return 200 or 503 with the reason."""
    body = {"ready": readiness.ready, "reason": readiness.reason}
    return bottle.HTTPResponse(body, 200 if readiness.ready else 503)


def read_body(environ: dict[str, Any], max_bytes: int) -> bytes | Refusal:
    """Read the body of a request, of at most *max_bytes* and for at most ``BODY_S``."""
    source = environ["wsgi.input"]
    try:
        with gevent.Timeout(BODY_S):
            raw = source.read(max_bytes + 1)
            if len(raw) <= max_bytes:
                return raw
            source.read(DRAIN_BYTES)
    except gevent.Timeout:
        _leave_unread(source)
        return Refusal(Code.MALFORMED, f"The body did not arrive within {BODY_S:g} s.")
    except OSError as exc:
        _leave_unread(source)
        return Refusal(Code.MALFORMED, f"The body cannot be read: {exc}.")
    _leave_unread(source)
    return Refusal(Code.BODY_TOO_LARGE, f"The body is larger than {max_bytes} bytes.")


def _leave_unread(source: Any) -> None:
    """Keep the server from reading the rest of a body before it closes the connection."""
    source.chunked_input = False
    source.content_length = 0


def _no_answer(received: QueryReceived) -> AnswerCaller:
    refusal = Refusal(
        Code.INTERNAL,
        "The query was given up without an answer.",
        execution=Execution.UNKNOWN,
    )
    return refusal_answer(refusal, received.query, received.group)


def _stopping_answer(received: QueryReceived) -> AnswerCaller:
    """Refuse a query that the core never sees.

    An earlier sending of its request id may have run through another daemon.
    """
    known_new = not received.request_id or received.first_sending
    refusal = Refusal(
        Code.STOPPING,
        "The daemon stops.",
        STOPPING_RETRY_S,
        Execution.NOT_RUN if known_new else Execution.UNKNOWN,
    )
    return refusal_answer(refusal, received.query, received.group)


def _log_query(received: QueryReceived, answer: AnswerCaller) -> None:
    """Write one line about a query; its fingerprint is also in the lines of its homes."""
    if logger.isEnabledFor(logging.DEBUG):
        logger.debug(
            "query answered",
            extra={
                "fields": {
                    "query": answer.query,
                    "fingerprint": content_fingerprint(received.group, received.body),
                    "request_id": received.request_id,
                    "group": answer.group,
                    "code": answer.code.name,
                    "snapshot": answer.snapshot,
                    "answered": answer.answered,
                    "shards": answer.shard_count,
                    "elapsed_ms": round(answer.elapsed_s * 1000, 3),
                }
            },
        )
