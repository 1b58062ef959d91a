"""HTTP towards callers and the balancer."""

from __future__ import annotations

import logging
from hashlib import blake2b
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import gevent

from ..daemon.http_server import HANDLER_KEY, SOCKET_KEY
from ..errors import RefusalReason
from ..routing.exchanges import CallerRequest, MergedAnswer, ErrorAnswer, ForwardedAnswer
from ..util.hangup import HangupWatch
from .carrying import (
    ELAPSED_HEADER,
    ELAPSED_KEY,
    REFUSED_STATUS,
    VERSION_HEADER,
    VERSION_KEY,
    Uncarried,
)
from .dialect import RawReply
from .performer import request_head

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..routing.exchanges import Answer, Exchange
    from ..routing.router import Router
    from .carrying import Carrying
    from .dialect import Dialect
    from .performer import Call, Performer
    from .report import Reporter

logger = logging.getLogger(__name__)

DEFAULT_DEADLINE_S = 30.0
"""Time that a caller is taken to wait if it does not say; the route's timeout is shorter."""
BODY_TIMEOUT_S = 10.0
"""Time for a body to arrive; callers on slow links get longer than for headers."""

StartResponse = Any

_NOT_TAKEN = ErrorAnswer(REFUSED_STATUS, RefusalReason.NOT_READY)
_PER_CONNECTION = frozenset(("connection", "keep-alive", "content-length", "date", "server"))


class Front:
    """The WSGI applications for callers (:attr:`callers`) and for other daemons (:attr:`peers`)."""

    def __init__(
        self,
        router: Router,
        performer: Performer,
        carrying: Carrying,
        dialect: Dialect,
        reporter: Reporter,
        now: Callable[[], float],
    ) -> None:
        self.is_stopping = False
        self._router = router
        self._performer = performer
        self._carrying = carrying
        self._dialect = dialect
        self._reporter = reporter
        self._now = now

    def callers(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Answer a caller's request."""
        received_at = self._now()
        request = self._read(environ, received_at)
        if isinstance(request, ErrorAnswer):
            self._reporter.unreadable(environ[HANDLER_KEY].path, request)
            # What is left of the request cannot be told from the next one.
            environ[HANDLER_KEY].close_connection = True
            return self._respond(environ, start_response, request)
        exchange = self._router.open(request.facts)
        if isinstance(exchange, ErrorAnswer):
            self._reporter.refused(request.facts, exchange)
            return self._respond(environ, start_response, exchange)
        if exchange.route.gather is not None and not request.body:
            answer = self._carry(exchange, environ)
            if answer is Uncarried.CALLER_LEFT:
                return self._leave(environ)
            if answer is Uncarried.LOST:
                answer = ErrorAnswer(502, RefusalReason.SERVERS_FAILED)
                self._reporter.answered(exchange, answer, self._now())
            if answer is not Uncarried.NOT_SENT:
                return self._respond(environ, start_response, answer)
        return self._run(exchange, request.body, environ, start_response)

    def peers(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Carry a wide query for another daemon."""
        elapsed_ms = environ.get(ELAPSED_KEY, "")
        version = environ.get(VERSION_KEY, "")
        is_sound = _is_number(elapsed_ms) and version.isdecimal()
        if not is_sound or not self._router.world.catalog.knows_version(int(version)):
            return self._respond(environ, start_response, _NOT_TAKEN)
        request = self._read(environ, self._now() - float(elapsed_ms) / 1000)
        if isinstance(request, ErrorAnswer):
            return self._respond(environ, start_response, request)
        exchange = self._router.open(request.facts, int(version))
        if isinstance(exchange, ErrorAnswer):
            return self._respond(environ, start_response, _NOT_TAKEN)
        return self._run(exchange, request.body, environ, start_response)

    def _run(
        self,
        exchange: Exchange,
        body: bytes,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer a request by work of this daemon."""
        call = self._performer.start(exchange, self._head(exchange, environ, body), body)
        answer = self._wait(call, environ)
        self._reporter.answered(exchange, answer, self._now())
        if answer is None:
            return self._leave(environ)
        return self._respond(environ, start_response, answer)

    def _carry(self, exchange: Exchange, environ: dict[str, Any]) -> RawReply | Uncarried:
        headers = environ[HANDLER_KEY].headers.items()
        sent = [*self._dialect.forwarded(headers), *self._dialect.deadline_headers(headers)]
        head = request_head(exchange.request.method, exchange.request.path, sent, b"")
        return self._carrying.carry(exchange, head, environ[SOCKET_KEY])

    def _head(self, exchange: Exchange, environ: dict[str, Any], body: bytes) -> bytes:
        forwarded = [
            (name, value)
            for name, value in self._dialect.forwarded(environ[HANDLER_KEY].headers.items())
            if name not in (ELAPSED_HEADER, VERSION_HEADER)
        ]
        return request_head(exchange.request.method, exchange.request.path, forwarded, body)

    @staticmethod
    def _leave(environ: dict[str, Any]) -> list[bytes]:
        """End the connection of a caller that has left."""
        environ[HANDLER_KEY].close_connection = True
        return []

    def _read(self, environ: dict[str, Any], received_at: float) -> _Received | ErrorAnswer:
        headers = environ[HANDLER_KEY].headers.items()
        limits = self._router.world.catalog.config
        if _is_ambiguous(headers):
            return ErrorAnswer(400, RefusalReason.MALFORMED)
        if limits is not None and _size(headers) > limits.limits.max_header_bytes:
            return ErrorAnswer(431, RefusalReason.HEADERS_TOO_LARGE)
        try:
            facts = self._dialect.read_request(headers)
        except ValueError as exc:
            logger.info("request headers cannot be used", extra={"fields": {"why": str(exc)}})
            return ErrorAnswer(400, RefusalReason.MALFORMED)
        max_body = limits.limits.max_body_bytes if limits is not None else 0
        body = _read_body(environ, max_body)
        if isinstance(body, ErrorAnswer):
            return body
        deadline_s = facts.deadline_s if facts.deadline_s is not None else DEFAULT_DEADLINE_S
        request = CallerRequest(
            request_id=facts.request_id,
            method=environ["REQUEST_METHOD"],
            host=environ.get("HTTP_HOST", ""),
            path=environ[HANDLER_KEY].path,
            received_at=received_at,
            deadline_at=received_at + deadline_s,
            fingerprint=_fingerprint(environ["REQUEST_METHOD"], environ[HANDLER_KEY].path, body),
        )
        return _Received(request, body)

    def _wait(self, call: Call, environ: dict[str, Any]) -> Answer | None:
        """Return the answer, or ``None`` if the caller has left."""
        if call.answer.ready():
            return call.answer.get()
        with HangupWatch(environ[SOCKET_KEY], lambda: self._performer.caller_left(call)):
            return call.answer.get()

    def _respond(
        self, environ: dict[str, Any], start_response: StartResponse, answer: Answer | RawReply
    ) -> list[bytes]:
        if isinstance(answer, RawReply):
            status, body = answer.status, answer.body
            headers = [(n, v) for n, v in answer.headers if n.lower() not in _PER_CONNECTION]
        elif isinstance(answer, ForwardedAnswer):
            status, body = answer.reply.status, answer.reply.body
            headers = list(answer.reply.headers)
        elif isinstance(answer, MergedAnswer):
            status, body = 200, answer.body
            headers = self._dialect.merged_headers(answer)
        else:
            status, body = answer.status, answer.reason.value.encode()
            headers = _own_headers(answer)
        headers.append(("Content-Length", str(len(body))))
        if self.is_stopping or environ[HANDLER_KEY].close_connection:
            environ[HANDLER_KEY].close_connection = True
            headers.append(("Connection", "close"))
        start_response(_status_line(status), headers)
        return [body]


class _Received:
    __slots__ = ("body", "facts")

    def __init__(self, facts: CallerRequest, body: bytes) -> None:
        self.facts = facts
        self.body = body


def _is_ambiguous(headers: list[tuple[str, str]]) -> bool:
    """Return whether it cannot be told where the body ends, which is how requests are smuggled."""
    lengths = [value for name, value in headers if name.lower() == "content-length"]
    codings = [value for name, value in headers if name.lower() == "transfer-encoding"]
    if len(lengths) > 1 or len(codings) > 1 or (lengths and codings):
        return True
    if any(not (value.isascii() and value.strip().isdecimal()) for value in lengths):
        return True
    return any(value.strip().lower() != "chunked" for value in codings)


def _is_number(text: str) -> bool:
    return text.replace(".", "", 1).isdecimal()


def _size(headers: list[tuple[str, str]]) -> int:
    return sum(len(name) + len(value) + len(": \r\n") for name, value in headers)


def _read_body(environ: dict[str, Any], max_bytes: int) -> bytes | ErrorAnswer:
    length = environ.get("CONTENT_LENGTH") or "0"
    if int(length) > max_bytes > 0:
        return ErrorAnswer(413, RefusalReason.BODY_TOO_LARGE)
    if length == "0" and "HTTP_TRANSFER_ENCODING" not in environ:
        return b""
    try:
        with gevent.Timeout(BODY_TIMEOUT_S, TimeoutError("the body did not arrive in time")):
            body = environ["wsgi.input"].read()
    except (OSError, ValueError) as exc:
        logger.info("a request body cannot be read", extra={"fields": {"why": repr(exc)}})
        return ErrorAnswer(400, RefusalReason.MALFORMED)
    if len(body) > max_bytes > 0:
        return ErrorAnswer(413, RefusalReason.BODY_TOO_LARGE)
    return body


def _fingerprint(method: str, path: str, body: bytes) -> str:
    digest = blake2b(f"{method} {path}\n".encode("latin-1", "replace"), digest_size=8)
    digest.update(body)
    return digest.hexdigest()


def _own_headers(answer: ErrorAnswer) -> list[tuple[str, str]]:
    headers = [("Content-Type", "text/plain")]
    if answer.retry_after_s is not None:
        headers.append(("Retry-After", f"{answer.retry_after_s:.3f}"))
    return headers


def _status_line(status: int) -> str:
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"
