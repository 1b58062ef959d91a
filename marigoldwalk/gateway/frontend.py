"""HTTP endpoints for callers and for queries that peer daemons delegate."""

from __future__ import annotations

import logging
from hashlib import blake2b
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import gevent

from ..daemon.http_server import HANDLER_KEY, SOCKET_KEY
from ..errors import RefusalReason
from ..routing.exchanges import CallerRequest, ErrorAnswer, ForwardedAnswer, MergedAnswer
from ..routing.isolation import UNREACHABLE_ANSWER
from ..util.disconnects import DisconnectWatch
from .delegate_client import (
    ELAPSED_KEY,
    REFUSED_STATUS,
    REQUEST_HEADERS,
    STOPPED_HEADER,
    VERSION_KEY,
    WORKSPACE_KEY,
    DelegateFailure,
)
from .executor import encode_request_head
from .header_codec import RawReply

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..routing.exchanges import Answer, Exchange
    from ..routing.router import Router
    from .delegate_client import DelegateClient
    from .executor import ActionExecutor, ActiveExchange
    from .header_codec import HeaderCodec
    from .quota_exchange import QuotaExchange
    from .reporter import Reporter
    from .start_gate import StartGate

logger = logging.getLogger(__name__)

DEFAULT_DEADLINE_S = 30.0
"""Deadline of a request that does not specify one; the route's timeout is shorter."""
BODY_TIMEOUT_S = 10.0
"""Time limit for reading a body; longer than for headers, for callers on slow links."""

MAX_DIGITS = 18
"""Maximum number of digits of a number in a header between daemons."""

StartResponse = Any

_DELEGATION_REFUSED = ErrorAnswer(REFUSED_STATUS, RefusalReason.NOT_READY)
_DELEGATION_STOPPED = ErrorAnswer(REFUSED_STATUS, RefusalReason.SERVERS_UNREACHABLE)
_CONNECTION_HEADERS = frozenset(("connection", "keep-alive", "content-length", "date", "server"))


class Frontend:
    """WSGI applications for callers (:meth:`handle_caller`) and peers (:meth:`handle_peer`)."""

    def __init__(
        self,
        router: Router,
        executor: ActionExecutor,
        delegate_client: DelegateClient,
        codec: HeaderCodec,
        reporter: Reporter,
        start_gate: StartGate,
        now: Callable[[], float],
        quota_exchange: QuotaExchange,
    ) -> None:
        self.is_stopping = False
        self.open_peer_requests = 0
        """Number of requests in progress that other daemons have handed to this one."""
        self._router = router
        self._executor = executor
        self._delegate_client = delegate_client
        self._codec = codec
        self._reporter = reporter
        self._start_gate = start_gate
        self._now = now
        self._quota_exchange = quota_exchange

    def handle_caller(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer a caller's request."""
        received_at = self._now()
        self._start_gate.wait()
        parsed = self._parse_request(environ, received_at)
        if isinstance(parsed, ErrorAnswer):
            self._reporter.rejected(environ[HANDLER_KEY].path, parsed)
            # The end of the rejected request is unknown, so the next one cannot be parsed.
            environ[HANDLER_KEY].close_connection = True
            return self._respond(environ, start_response, parsed)
        exchange = self._router.open(parsed.request)
        if isinstance(exchange, ErrorAnswer):
            self._reporter.refused(parsed.request, exchange)
            return self._respond(environ, start_response, exchange)
        refusal = self._router.late_refusal(exchange, self._now())
        if refusal is None:
            refusal = self._quota_exchange.admit(exchange)
        if refusal is not None:
            self._reporter.refused(parsed.request, refusal)
            return self._respond(environ, start_response, refusal)
        if self._router.is_isolated and not self._must_run_here(exchange):
            return self._run_elsewhere(exchange, parsed.body, environ, start_response)
        if exchange.route.fan_out is not None and not parsed.body:
            answer = self._delegate(exchange, environ)
            if answer is DelegateFailure.CALLER_LEFT:
                return self._drop_connection(environ)
            if answer is DelegateFailure.LOST:
                answer = ErrorAnswer(502, RefusalReason.SERVERS_FAILED)
                self._reporter.answered(exchange, answer, self._now())
            if answer not in (DelegateFailure.NOT_SENT, DelegateFailure.STOPPED):
                return self._respond(environ, start_response, answer)
        return self._run_locally(exchange, parsed.body, environ, start_response)

    def begin_stop(self, answer_by: float) -> None:
        """Close connections after their answers, and answer all requests until *answer_by*."""
        self.is_stopping = True
        self._start_gate.open("the daemon is stopping")
        self._executor.begin_stop(answer_by)
        gevent.spawn_later(max(answer_by - self._now(), 0.0), self._delegate_client.give_up)

    def record_malformed(self, why: str) -> None:
        """Report a request that the HTTP server has rejected before it read the body."""
        logger.info("invalid request headers", extra={"fields": {"why": why}})
        self._reporter.rejected("", ErrorAnswer(400, RefusalReason.MALFORMED))

    def handle_peer(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer a request that another daemon hands to this one; it is not handed on."""
        self.open_peer_requests += 1
        try:
            return self._answer_peer(environ, start_response)
        finally:
            self.open_peer_requests -= 1

    def _answer_peer(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        elapsed_ms = environ.get(ELAPSED_KEY, "")
        version = environ.get(VERSION_KEY, "")
        is_valid = _is_number(elapsed_ms) and _is_number(version) and version.isdecimal()
        if (
            self._router.is_isolated
            or not is_valid
            or not self._router.world.catalog.knows_version(int(version))
        ):
            return self._respond(environ, start_response, _DELEGATION_REFUSED)
        parsed = self._parse_request(environ, self._now() - float(elapsed_ms) / 1000)
        if isinstance(parsed, ErrorAnswer):
            return self._respond(environ, start_response, parsed)
        workspace_name = environ.get(WORKSPACE_KEY, "")
        exchange = self._router.open_forwarded(parsed.request, int(version), workspace_name)
        if isinstance(exchange, ErrorAnswer):
            if exchange.reason is not RefusalReason.SUSPECT_CONTENT:
                return self._respond(environ, start_response, _DELEGATION_REFUSED)
            # The forwarding daemon may not know yet that the content crashes servers.
            self._reporter.refused(parsed.request, exchange)
            return self._respond(environ, start_response, exchange)
        if self._router.late_refusal(exchange, self._now()) is not None:
            return self._respond(environ, start_response, _DELEGATION_REFUSED)
        answer = self._execute(exchange, parsed.body, environ)
        if _is_unreachable(answer):
            answer = _DELEGATION_STOPPED if exchange.may_have_run else _DELEGATION_REFUSED
        return self._respond_or_drop(environ, start_response, answer)

    def can_forward(self) -> bool:
        """Return whether a daemon is known that reaches the servers, other than this one."""
        return self._delegate_client.choose_connected(None, self._now()) is not None

    def _must_run_here(self, exchange: Exchange) -> bool:
        """Return whether this daemon runs a request although servers take no connections from it.

        That is so if its open connections still work and no other daemon can run it.
        """
        if self._delegate_client.choose_connected(exchange.route, self._now()) is not None:
            return False
        return self._router.world.reachability.hears_servers(self._now())

    def _run_elsewhere(
        self,
        exchange: Exchange,
        body: bytes,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer a request that this daemon cannot run, since it reaches no server."""
        head = self._encode_forwarded(environ, exchange, body)
        answer = self._delegate_client.forward_isolated(exchange, head, body, environ[SOCKET_KEY])
        if answer is DelegateFailure.CALLER_LEFT:
            return self._drop_connection(environ)
        if answer is DelegateFailure.NOT_SENT and not exchange.may_have_run:
            answer = UNREACHABLE_ANSWER
        elif isinstance(answer, DelegateFailure):
            answer = ErrorAnswer(502, RefusalReason.SERVERS_FAILED)
        if isinstance(answer, ErrorAnswer):
            self._reporter.answered(exchange, answer, self._now())
        return self._respond(environ, start_response, answer)

    def _run_locally(
        self,
        exchange: Exchange,
        body: bytes,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer a request without delegating it."""
        answer = self._execute(exchange, body, environ)
        if _is_unreachable(answer):
            return self._run_elsewhere(exchange, body, environ, start_response)
        if isinstance(answer, ErrorAnswer) and not exchange.may_have_run:
            self._quota_exchange.give_back(exchange)
        return self._respond_or_drop(environ, start_response, answer)

    def _execute(self, exchange: Exchange, body: bytes, environ: dict[str, Any]) -> Answer | None:
        """Return this daemon's answer, or ``None`` if the caller has disconnected."""
        active = self._executor.start(exchange, self._encode_head(exchange, environ, body), body)
        answer = self._wait(active, environ)
        if not _is_unreachable(answer):
            self._reporter.answered(exchange, answer, self._now())
        return answer

    def _respond_or_drop(
        self, environ: dict[str, Any], start_response: StartResponse, answer: Answer | None
    ) -> Iterable[bytes]:
        if answer is None:
            return self._drop_connection(environ)
        return self._respond(environ, start_response, answer)

    def _delegate(self, exchange: Exchange, environ: dict[str, Any]) -> RawReply | DelegateFailure:
        head = self._encode_forwarded(environ, exchange, b"")
        return self._delegate_client.forward(exchange, head, environ[SOCKET_KEY])

    def _encode_forwarded(self, environ: dict[str, Any], exchange: Exchange, body: bytes) -> bytes:
        """Return the request line and headers for a request to another daemon."""
        headers = environ[HANDLER_KEY].headers.items()
        sent = self._forwarded_headers(environ, exchange) + self._codec.deadline_headers(headers)
        return encode_request_head(exchange.request.method, exchange.request.path, sent, body)

    def _encode_head(self, exchange: Exchange, environ: dict[str, Any], body: bytes) -> bytes:
        """Return the request line and headers for requests to servers."""
        sent = self._forwarded_headers(environ, exchange)
        workspace = exchange.request.workspace
        if workspace is not None:
            sent += self._codec.workspace_headers(workspace.name)
        return encode_request_head(exchange.request.method, exchange.request.path, sent, body)

    def _forwarded_headers(
        self, environ: dict[str, Any], exchange: Exchange
    ) -> list[tuple[str, str]]:
        """Return the caller's headers that go to servers and to other daemons."""
        has_workspaces = self._router.world.catalog.has_workspaces(exchange.config_version)
        headers = environ[HANDLER_KEY].headers.items()
        return [
            (name, value)
            for name, value in self._codec.forwarded_headers(headers, has_workspaces)
            if name.lower() not in REQUEST_HEADERS
        ]

    @staticmethod
    def _drop_connection(environ: dict[str, Any]) -> list[bytes]:
        """Close the connection of a caller that has disconnected."""
        environ[HANDLER_KEY].close_connection = True
        return []

    def _parse_request(
        self, environ: dict[str, Any], received_at: float
    ) -> _ParsedRequest | ErrorAnswer:
        headers = environ[HANDLER_KEY].headers.items()
        config = self._router.world.catalog.config
        if _has_ambiguous_length(headers):
            return ErrorAnswer(400, RefusalReason.MALFORMED)
        if config is not None and _header_bytes(headers) > config.limits.max_header_bytes:
            return ErrorAnswer(431, RefusalReason.HEADERS_TOO_LARGE)
        try:
            metadata = self._codec.read_request(headers)
        except ValueError as exc:
            logger.info("invalid request headers", extra={"fields": {"why": str(exc)}})
            return ErrorAnswer(400, RefusalReason.MALFORMED)
        max_body = config.limits.max_body_bytes if config is not None else 0
        body = _read_body(environ, max_body)
        if isinstance(body, ErrorAnswer):
            return body
        deadline_s = metadata.deadline_s if metadata.deadline_s is not None else DEFAULT_DEADLINE_S
        request = CallerRequest(
            request_id=metadata.request_id,
            method=environ["REQUEST_METHOD"],
            host=environ.get("HTTP_HOST", ""),
            path=environ[HANDLER_KEY].path,
            received_at=received_at,
            deadline_at=received_at + deadline_s,
            fingerprint=_fingerprint(environ["REQUEST_METHOD"], environ[HANDLER_KEY].path, body),
            key_digests=metadata.key_digests,
        )
        return _ParsedRequest(request, body)

    def _wait(self, active: ActiveExchange, environ: dict[str, Any]) -> Answer | None:
        """Return the answer, or ``None`` if the caller has disconnected."""
        if active.answer.ready():
            return active.answer.get()
        with DisconnectWatch(environ[SOCKET_KEY], lambda: self._executor.caller_left(active)):
            return active.answer.get()

    def _respond(
        self, environ: dict[str, Any], start_response: StartResponse, answer: Answer | RawReply
    ) -> list[bytes]:
        if isinstance(answer, RawReply):
            status, body = answer.status, answer.body
            headers = [(n, v) for n, v in answer.headers if n.lower() not in _CONNECTION_HEADERS]
        elif isinstance(answer, ForwardedAnswer):
            status, body = answer.reply.status, answer.reply.body
            headers = list(answer.reply.headers)
        elif isinstance(answer, MergedAnswer):
            status, body = 200, answer.body
            headers = self._codec.merged_headers(answer)
        else:
            status, body = answer.status, answer.reason.value.encode()
            headers = _own_headers(answer)
            if answer is _DELEGATION_STOPPED:
                headers.append((STOPPED_HEADER, "1"))
        headers.append(("Content-Length", str(len(body))))
        if self.is_stopping or environ[HANDLER_KEY].close_connection:
            environ[HANDLER_KEY].close_connection = True
            headers.append(("Connection", "close"))
        start_response(_status_line(status), headers)
        return [body]


def _is_unreachable(answer: Answer | None) -> bool:
    """Return whether the daemon has lost its links, so that another one may run the request."""
    return answer is UNREACHABLE_ANSWER


class _ParsedRequest:
    __slots__ = ("body", "request")

    def __init__(self, request: CallerRequest, body: bytes) -> None:
        self.request = request
        self.body = body


def _has_ambiguous_length(headers: list[tuple[str, str]]) -> bool:
    """Return whether the end of the body is ambiguous, which allows request smuggling."""
    lengths = [value for name, value in headers if name.lower() == "content-length"]
    encodings = [value for name, value in headers if name.lower() == "transfer-encoding"]
    if len(lengths) > 1 or len(encodings) > 1 or (lengths and encodings):
        return True
    if any(not (value.isascii() and value.strip().isdecimal()) for value in lengths):
        return True
    return any(value.strip().lower() != "chunked" for value in encodings)


def _is_number(text: str) -> bool:
    return len(text) <= MAX_DIGITS and text.replace(".", "", 1).isdecimal()


def _header_bytes(headers: list[tuple[str, str]]) -> int:
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
        logger.info("cannot read request body", extra={"fields": {"why": repr(exc)}})
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
