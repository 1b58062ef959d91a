"""Keeps the quotas of workspaces together with the other daemons, by datagrams."""

from __future__ import annotations

import logging
from collections import OrderedDict
from typing import TYPE_CHECKING

import gevent
from gevent.event import AsyncResult

from ..errors import RefusalReason
from ..routing.exchanges import ErrorAnswer
from ..routing.quotas import QuotaDecision
from .quota_messages import QuotaMessage, encode_quota

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable

    from ..config.view import Address
    from ..routing.exchanges import Exchange
    from ..routing.membership import Membership
    from ..routing.model import Workspace
    from ..routing.quota_buckets import QuotaAnswer
    from ..routing.quotas import QuotaQuery, QuotaSteps, WorkspaceQuotas

logger = logging.getLogger(__name__)

REPORT_TIMEOUT_S = 0.25
"""Time limit for the answer to a report; no caller waits for it."""
MAX_WAIT_S = 0.012
"""Maximum time for which a request waits for the answer of one holder."""
WAIT_SHARE = 0.1
"""The same as a fraction of the route's target."""
MAX_LATE = 256
"""Maximum number of asks whose late answers are still used."""


class QuotaExchange:
    """Admits requests of workspaces, and answers the datagrams of other daemons.

    ::

        refusal = quota_exchange.admit(exchange)
        if refusal is not None:
            respond(refusal)
    """

    def __init__(
        self,
        quotas: WorkspaceQuotas,
        membership: Membership,
        now: Callable[[], float],
        counters: Counter[str],
    ) -> None:
        self.send: Callable[[bytes, Address], None] | None = None
        """Sends a datagram; set when the transport exists."""
        self._quotas = quotas
        self._membership = membership
        self._now = now
        self._counters = counters
        self._waiting: dict[int, AsyncResult] = {}
        self._late: OrderedDict[int, Workspace] = OrderedDict()

    def admit(self, exchange: Exchange) -> ErrorAnswer | None:
        """Return the refusal of a new request if it is over the quota of its workspace."""
        workspace = exchange.request.workspace
        if workspace is None or workspace.rate_per_s <= 0:
            return None
        now = self._now()
        decision = self._quotas.decide(workspace, now)
        if decision is QuotaDecision.REFUSE:
            return self._refuse(self._quotas.retry_s(workspace, now))
        if decision is QuotaDecision.ADMIT:
            self._counters["quota.admitted"] += 1
            steps = self._quotas.ask(workspace, now, is_admitted=True)
            gevent.spawn(self._run, workspace, steps, REPORT_TIMEOUT_S)
            return None
        timeout_s = min(MAX_WAIT_S, WAIT_SHARE * exchange.route.target_s)
        return self._ask_first(workspace, timeout_s)

    def _ask_first(self, workspace: Workspace, timeout_s: float) -> ErrorAnswer | None:
        self._counters["quota.asked"] += 1
        now = self._now()
        answer = self._run(workspace, self._quotas.ask(workspace, now), timeout_s)
        if answer is None:
            self._counters["quota.own_share"] += 1
            retry_s = self._quotas.use_share(workspace, self._now())
        else:
            retry_s = None if answer.is_granted else answer.retry_s
        if retry_s is not None:
            return self._refuse(retry_s)
        self._counters["quota.admitted"] += 1
        return None

    def give_back(self, exchange: Exchange) -> None:
        """Take back the count of a request that no server has run."""
        workspace = exchange.request.workspace
        if workspace is None or workspace.rate_per_s <= 0:
            return
        self._counters["quota.given_back"] += 1
        steps = self._quotas.ask(workspace, self._now(), count=-1, is_admitted=True)
        gevent.spawn(self._run, workspace, steps, REPORT_TIMEOUT_S)

    def heard(self, sender: str, now: float) -> None:
        """Record a datagram of any kind from another daemon."""
        self._quotas.heard(sender, now)

    def receive(self, message: QuotaMessage, sender: Address) -> None:
        """Handle a datagram about quotas."""
        now = self._now()
        if message.scarce:
            self._quotas.record_scarce(message.scarce, now)
        if message.answer is not None:
            self._receive_answer(message.answer, now)
        if message.ask is not None:
            answer = self._quotas.handle(message.ask, now)
            self._send(QuotaMessage(self._membership.own.name, answer=answer), sender)
            self._send_notice_if_due(message.ask.workspace)
            for workspace, holder in self._quotas.take_probes():
                steps = self._quotas.probe(workspace, holder, now)
                gevent.spawn(self._run, workspace, steps, REPORT_TIMEOUT_S)

    def _receive_answer(self, answer: QuotaAnswer, now: float) -> None:
        waiting = self._waiting.get(answer.number)
        if waiting is not None:
            waiting.set(answer)
            return
        workspace = self._late.pop(answer.number, None)
        if workspace is not None:
            self._counters["quota.late"] += 1
            self._quotas.record_late(workspace, answer, now)

    def _run(self, workspace: Workspace, steps: QuotaSteps, timeout_s: float) -> QuotaAnswer | None:
        """Send the datagrams of *steps* and wait for their answers; return the last one."""
        try:
            query = next(steps)
            while True:
                number = query.ask.number
                waiting = self._waiting[number] = AsyncResult()
                self._send(QuotaMessage(self._membership.own.name, ask=query.ask), query.address)
                answer = _wait(waiting, timeout_s)
                del self._waiting[number]
                if answer is None:
                    self._record_unanswered(workspace, query)
                query = steps.send((answer, self._now()))
        except StopIteration as end:
            self._send_notice_if_due(workspace.name)
            return end.value

    def _record_unanswered(self, workspace: Workspace, query: QuotaQuery) -> None:
        self._counters["quota.unanswered"] += 1
        if query.ask.count > 0:
            self._late[query.ask.number] = workspace
            if len(self._late) > MAX_LATE:
                self._late.popitem(last=False)
        fields = {"workspace": workspace.name, "holder": query.holder}
        logger.info("no answer about a quota in time", extra={"fields": fields})

    def _send_notice_if_due(self, workspace: str) -> None:
        now = self._now()
        if not self._quotas.is_notice_due(workspace, now):
            return
        self._quotas.record_scarce(workspace, now)
        self._counters["quota.scarce"] += 1
        notice = QuotaMessage(self._membership.own.name, scarce=workspace)
        for row in self._membership.alive(now):
            self._send(notice, row.report.address)

    def _send(self, message: QuotaMessage, address: Address) -> None:
        if self.send is not None:
            self.send(encode_quota(message), address)

    def _refuse(self, retry_s: float) -> ErrorAnswer:
        self._counters["quota.refused"] += 1
        return ErrorAnswer(429, RefusalReason.OVER_QUOTA, retry_s)


def _wait(waiting: AsyncResult, timeout_s: float) -> QuotaAnswer | None:
    try:
        return waiting.get(timeout=timeout_s)
    except gevent.Timeout:
        return None
