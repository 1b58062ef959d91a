"""HTTP endpoints for callers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import bottle
import gevent
from gevent.event import AsyncResult

from ..core.events import QueryCancelled, QueryReceived
from ..errors import Code, Execution, Refusal
from ..util.disconnects import DisconnectWatch
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
STOPPING_RETRY_AFTER_S = 1.0

BODY_TIMEOUT_S = 5.0
"""Time limit for reading the whole body of a request."""
MAX_DISCARDED_BYTES = 4 * 1024 * 1024
"""Limit on reading and discarding an oversized body, so that the caller sees the refusal."""
ANSWER_TIMEOUT_S = MAX_DEADLINE_MS / 1000 + 5.0
"""Time limit for an answer of the core; after it, the query counts as lost."""


class Frontend:
    """A WSGI application, :attr:`app`, that passes callers' queries to the core.

    Each request waits for its answer in its own greenlet. If the caller closes its connection
    before the answer, its query is cancelled.
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
        self.app.route("/query", "POST", self._handle_query)
        self.app.route("/ready", "GET", self._handle_ready)
        self.app.route("/live", "GET", lambda: {"live": True})
        self.app.default_error_handler = self._handle_error
        self._daemon = daemon
        self._post = post
        self._readiness = readiness
        self._counters = counters
        self._max_body_bytes = max_body_bytes
        self._waiters: dict[int, AsyncResult] = {}
        self._last_query_number = 0
        self._closed = False

    def answer(self, answer: AnswerCaller) -> None:
        """Send *answer* to its caller, unless the caller has stopped waiting."""
        waiter = self._waiters.get(answer.query)
        if waiter is not None:
            waiter.set(answer)

    def close(self, unprocessed: Iterable[Event]) -> None:
        """Refuse further queries and those in *unprocessed*, the events that the core never read.

        If the core has failed, the other waiting callers get an answer with an unknown outcome.
        """
        self._closed = True
        for event in unprocessed:
            if isinstance(event, QueryReceived):
                self.answer(_stopping_refusal(event))
        for waiter in self._waiters.values():
            if not waiter.ready():
                waiter.set(None)

    def _handle_query(self) -> bottle.HTTPResponse:
        # All greenlets share bottle's request object, so it must not be used after a wait.
        environ = bottle.request.environ
        answer = self._answer_query(environ)
        closing = not self._readiness.ready or answer.code in _CLOSING_CODES
        return answer_response(answer, self._daemon, closing)

    def _answer_query(self, environ: dict[str, Any]) -> AnswerCaller:
        raw = read_body(environ, self._max_body_bytes)
        if isinstance(raw, Refusal):
            return self._refuse(raw)
        self._last_query_number += 1
        received = read_query(raw, self._last_query_number)
        if isinstance(received, Refusal):
            return self._refuse(received)
        if self._closed:
            return _stopping_refusal(received)
        return self._wait_for_core(received, environ)

    def _refuse(self, refusal: Refusal) -> AnswerCaller:
        name = refusal.code.name.lower()
        self._counters[f"refusal.{name}"] += 1
        self._counters[f"answer.{name}"] += 1
        return refusal_answer(refusal)

    def _wait_for_core(self, received: QueryReceived, environ: dict[str, Any]) -> AnswerCaller:
        waiter: AsyncResult = AsyncResult()
        self._waiters[received.query] = waiter
        self._post(received)
        try:
            with DisconnectWatch(environ[SOCKET_KEY], lambda: waiter.set(None)):
                answer = waiter.get(timeout=ANSWER_TIMEOUT_S)
        except gevent.Timeout:
            logger.error(
                "no answer from the core in time", extra={"fields": {"query": received.query}}
            )
            answer = None
        finally:
            del self._waiters[received.query]
        if answer is None:
            self._post(QueryCancelled(received.query))
            return _unknown_outcome_answer(received)
        _log_query(received, answer)
        return answer

    def _handle_ready(self) -> bottle.HTTPResponse:
        return readiness_response(self._readiness)

    def _handle_error(self, error: bottle.HTTPError) -> bottle.HTTPResponse:
        """Answer an unknown path, a wrong method or an internal error as JSON."""
        if error.status_code in (404, 405):
            refusal = Refusal(Code.NOT_FOUND, f"The request was not understood: {error.body}.")
        else:
            refusal = Refusal(Code.INTERNAL, "The daemon failed.", execution=Execution.UNKNOWN)
        return answer_response(refusal_answer(refusal), self._daemon, closing=True)


def readiness_response(readiness: Readiness) -> bottle.HTTPResponse:
    """Return the readiness and its reason, with status 200 if ready and 503 if not."""
    body = {"ready": readiness.ready, "reason": readiness.reason}
    return bottle.HTTPResponse(body, 200 if readiness.ready else 503)


def read_body(environ: dict[str, Any], max_bytes: int) -> bytes | Refusal:
    """Return the body of a request, or a refusal if it exceeds *max_bytes* or arrives too late."""
    source = environ["wsgi.input"]
    try:
        with gevent.Timeout(BODY_TIMEOUT_S):
            raw = source.read(max_bytes + 1)
            if len(raw) <= max_bytes:
                return raw
            source.read(MAX_DISCARDED_BYTES)
    except gevent.Timeout:
        _skip_rest_of_body(source)
        return Refusal(Code.MALFORMED, f"The body did not arrive within {BODY_TIMEOUT_S:g} s.")
    except OSError as exc:
        _skip_rest_of_body(source)
        return Refusal(Code.MALFORMED, f"The body cannot be read: {exc}.")
    _skip_rest_of_body(source)
    return Refusal(Code.BODY_TOO_LARGE, f"The body is larger than {max_bytes} bytes.")


def _skip_rest_of_body(source: Any) -> None:
    """Prevent the server from reading the rest of a body before it closes the connection."""
    source.chunked_input = False
    source.content_length = 0


def _unknown_outcome_answer(received: QueryReceived) -> AnswerCaller:
    refusal = Refusal(
        Code.INTERNAL,
        "The query was given up without an answer.",
        execution=Execution.UNKNOWN,
    )
    return refusal_answer(refusal, received.query, received.group)


def _stopping_refusal(received: QueryReceived) -> AnswerCaller:
    """Return the refusal of a query that the core never received.

    Another daemon may have run an earlier request with the same id, so the outcome is unknown
    unless the caller asserts that this is the first one.
    """
    is_new_request = not received.request_id or received.first_sending
    refusal = Refusal(
        Code.STOPPING,
        "The daemon stops.",
        STOPPING_RETRY_AFTER_S,
        Execution.NOT_RUN if is_new_request else Execution.UNKNOWN,
    )
    return refusal_answer(refusal, received.query, received.group)


def _log_query(received: QueryReceived, answer: AnswerCaller) -> None:
    """Log the answer to a query; the log lines of its homes contain the same fingerprint."""
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
