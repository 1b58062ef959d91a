"""A query in progress: its attempts, and when a retry is safe."""

from __future__ import annotations

import json
import threading
import time
import uuid
from dataclasses import replace
from typing import TYPE_CHECKING

from ..errors import Code, Execution
from .answer import Answer, parse_answer
from .exchange import Exchange, ExchangeFailure

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..config.view import Address
    from .options import QueryOptions

DEADLINE_GRACE_S = 1.0
"""Wait beyond the query's own deadline before its reply counts as lost."""
MIN_RETRY_PAUSE_S = 0.05
"""Shortest pause before a refused query is retried."""

_PERMANENT_REFUSALS = frozenset({Code.REQUEST_TOO_OLD, Code.SUSPECT_CONTENT})
"""Refusals that the same request would get again."""


class PendingQuery:
    """One query, which another thread or greenlet can cancel.

    ::

        pending = client.prepare(QueryOptions("kiosk-finder", {"op": "nearest"}))
        threading.Timer(1.0, pending.cancel).start()
        answer = pending.result()
    """

    def __init__(
        self, options: QueryOptions, addresses: Sequence[Address], timeout_s: float
    ) -> None:
        self._options = options
        self._addresses = addresses
        self._timeout_s = _timeout(options, timeout_s)
        self._request_id, self._issued_at = _request_identity(options)
        self._cancelled = threading.Event()
        self._exchange: Exchange | None = None
        self._attempts_count = 0
        self._may_have_run = False

    @property
    def request_id(self) -> str:
        """The request's id; empty if the request may be repeated."""
        return self._request_id

    def cancel(self) -> None:
        """Cancel the query; its result is then an answer with the code ``CANCELLED``."""
        self._cancelled.set()
        exchange = self._exchange
        if exchange is not None:
            exchange.cancel()

    def result(self) -> Answer:
        """Send the query and return its answer; failures of daemons or the network do not raise."""
        retry_until = time.monotonic() + self._options.patience_s
        answer = self._try_addresses()
        while self._may_retry(answer):
            pause_s = max(answer.retry_after_s, MIN_RETRY_PAUSE_S)
            if time.monotonic() + pause_s > retry_until or self._cancelled.wait(pause_s):
                break
            answer = self._try_addresses()
        return self._with_earlier_attempts(answer)

    def _try_addresses(self) -> Answer:
        """Try the daemons in turn until one replies or another attempt would be unsafe."""
        for _ in self._addresses:
            address = self._addresses[self._attempts_count % len(self._addresses)]
            self._attempts_count += 1
            answer = self._attempt(address)
            if not isinstance(answer, ExchangeFailure):
                return answer
            failure = answer
            if failure.cancelled or (failure.sent and not self._may_resend()):
                break
        return self._failure_answer(failure)

    def _attempt(self, address: Address) -> Answer | ExchangeFailure:
        exchange = self._exchange = Exchange(address)
        if self._cancelled.is_set():
            exchange.cancel()
        reply = exchange.run(self._encode(), self._timeout_s)
        if isinstance(reply, ExchangeFailure):
            self._may_have_run |= reply.sent
            return reply
        answer = parse_answer(reply, self._request_id, self._issued_at)
        if answer is None:
            self._may_have_run = True
            return ExchangeFailure(True, False, f"{address} sent a reply that cannot be read.")
        self._may_have_run |= answer.execution is not Execution.NOT_RUN
        return answer

    def _may_resend(self) -> bool:
        return self._options.repeatable or self._options.resend_unknown

    def _may_retry(self, answer: Answer) -> bool:
        if self._cancelled.is_set() or answer.code in _PERMANENT_REFUSALS:
            return False
        if answer.code in (Code.OUTCOME_UNKNOWN, Code.ALREADY_CLAIMED):
            return self._options.resend_unknown
        # After a refusal, another daemon may still have run the same request id.
        safe = answer.execution is Execution.NOT_RUN or self._may_resend()
        refused = Code.OVERLOADED <= answer.code < Code.ALREADY_RUN
        return safe and (refused or answer.code is Code.DAEMON_UNREACHABLE)

    def _failure_answer(self, failure: ExchangeFailure) -> Answer:
        code = Code.DAEMON_UNREACHABLE
        if failure.cancelled:
            code = Code.CANCELLED
        elif failure.sent:
            code = Code.OUTCOME_UNKNOWN
        execution = Execution.UNKNOWN if failure.sent else Execution.NOT_RUN
        return Answer(
            code,
            failure.reason,
            execution,
            self._options.group,
            request_id=self._request_id,
            issued_at=self._issued_at,
        )

    def _with_earlier_attempts(self, answer: Answer) -> Answer:
        """Return *answer*; its execution is "not run" only if that is true of all attempts."""
        if not self._may_have_run or answer.execution is not Execution.NOT_RUN:
            return answer
        reason = f"An earlier try may have run; the last one: {answer.reason}"
        code = answer.code if answer.code is Code.CANCELLED else Code.OUTCOME_UNKNOWN
        return replace(answer, code=code, execution=Execution.UNKNOWN, reason=reason)

    def _is_first_sending(self) -> bool:
        """Return whether no earlier attempt with the request id can have run."""
        new_id = bool(self._request_id) and not self._options.request_id
        return new_id and not self._may_have_run

    def _encode(self) -> bytes:
        options = self._options
        request = {
            "group": options.group,
            "body": dict(options.body),
            "key": options.key,
            "deadline_ms": options.deadline_ms,
            "limit": options.limit,
            "request_id": self._request_id,
            "issued_at": self._issued_at,
            "first_sending": self._is_first_sending(),
        }
        return json.dumps(request, allow_nan=False).encode()


def _request_identity(options: QueryOptions) -> tuple[str, float]:
    if options.repeatable or options.request_id:
        return options.request_id, options.issued_at
    return str(uuid.uuid4()), time.time()


def _timeout(options: QueryOptions, timeout_s: float) -> float:
    if not options.deadline_ms:
        return timeout_s
    return min(timeout_s, options.deadline_ms / 1000 + DEADLINE_GRACE_S)
