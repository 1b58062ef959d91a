"""A query under way: its tries, and when another one is safe."""

from __future__ import annotations

import json
import threading
import time
import uuid
from dataclasses import replace
from typing import TYPE_CHECKING

from ..errors import Code, Execution
from .answer import Answer, parse_answer
from .exchange import Exchange, Lost

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..config.view import Address
    from .options import QueryOptions

DEADLINE_GRACE_S = 1.0
"""Wait beyond the query's own deadline before its reply counts as lost."""
SHORTEST_PAUSE_S = 0.05
"""Shortest pause before a refused query is sent again."""

_FINAL_REFUSALS = frozenset({Code.REQUEST_TOO_OLD, Code.SUSPECT_CONTENT})
"""Refusals that sending the same request again cannot mend."""


class PendingQuery:
    """One query, which another thread or greenlet may cancel.

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
        self._request_id, self._issued_at = _identify(options)
        self._cancelled = threading.Event()
        self._exchange: Exchange | None = None
        self._turn = 0
        self._may_have_run = False

    @property
    def request_id(self) -> str:
        """The request's id; empty if the request may be repeated."""
        return self._request_id

    def cancel(self) -> None:
        """Give the query up; its result is then an answer with the code ``CANCELLED``."""
        self._cancelled.set()
        exchange = self._exchange
        if exchange is not None:
            exchange.cancel()

    def result(self) -> Answer:
        """Run the query and return its answer; never raises because of daemons or network."""
        give_up_at = time.monotonic() + self._options.retry_timeout_s
        answer = self._try_addresses()
        while self._may_try_again(answer):
            pause_s = max(answer.retry_after_s, SHORTEST_PAUSE_S)
            if time.monotonic() + pause_s > give_up_at or self._cancelled.wait(pause_s):
                break
            answer = self._try_addresses()
        return self._truthful(answer)

    def _try_addresses(self) -> Answer:
        """Try one daemon after the other until one replies or another try would be unsafe."""
        for _ in self._addresses:
            address = self._addresses[self._turn % len(self._addresses)]
            self._turn += 1
            answer = self._try(address)
            if not isinstance(answer, Lost):
                return answer
            lost = answer
            if lost.cancelled or (lost.sent and not self._may_resend()):
                break
        return self._lost_answer(lost)

    def _try(self, address: Address) -> Answer | Lost:
        exchange = self._exchange = Exchange(address)
        if self._cancelled.is_set():
            exchange.cancel()
        reply = exchange.run(self._encode(), self._timeout_s)
        if isinstance(reply, Lost):
            self._may_have_run |= reply.sent
            return reply
        answer = parse_answer(reply, self._request_id, self._issued_at)
        if answer is None:
            self._may_have_run = True
            return Lost(True, False, f"{address} sent a reply that cannot be read.")
        self._may_have_run |= answer.execution is not Execution.NOT_RUN
        return answer

    def _may_resend(self) -> bool:
        return self._options.repeatable or self._options.resend_unknown

    def _may_try_again(self, answer: Answer) -> bool:
        if self._cancelled.is_set() or answer.code in _FINAL_REFUSALS:
            return False
        if answer.code in (Code.OUTCOME_UNKNOWN, Code.ALREADY_CLAIMED):
            return self._options.resend_unknown
        # A refusal may concern an id that another daemon may have run.
        safe = answer.execution is Execution.NOT_RUN or self._may_resend()
        refused = Code.OVERLOADED <= answer.code < Code.ALREADY_RUN
        return safe and (refused or answer.code is Code.DAEMON_UNREACHABLE)

    def _lost_answer(self, lost: Lost) -> Answer:
        code = Code.DAEMON_UNREACHABLE
        if lost.cancelled:
            code = Code.CANCELLED
        elif lost.sent:
            code = Code.OUTCOME_UNKNOWN
        execution = Execution.UNKNOWN if lost.sent else Execution.NOT_RUN
        return Answer(
            code,
            lost.reason,
            execution,
            self._options.group,
            request_id=self._request_id,
            issued_at=self._issued_at,
        )

    def _truthful(self, answer: Answer) -> Answer:
        """Return *answer* so that "not run" speaks for every try, not only the last one."""
        if not self._may_have_run or answer.execution is not Execution.NOT_RUN:
            return answer
        reason = f"An earlier try may have run; the last one: {answer.reason}"
        code = answer.code if answer.code is Code.CANCELLED else Code.OUTCOME_UNKNOWN
        return replace(answer, code=code, execution=Execution.UNKNOWN, reason=reason)

    def _is_first_sending(self) -> bool:
        """Return whether no earlier sending of the request id can have run."""
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


def _identify(options: QueryOptions) -> tuple[str, float]:
    if options.repeatable or options.request_id:
        return options.request_id, options.issued_at
    return str(uuid.uuid4()), time.time()


def _timeout(options: QueryOptions, timeout_s: float) -> float:
    if not options.deadline_ms:
        return timeout_s
    return min(timeout_s, options.deadline_ms / 1000 + DEADLINE_GRACE_S)
