"""Entry points of routing: one method for each event, returning the actions to perform."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..errors import RefusalReason
from .admission import record_end
from .exchanges import Abandon, ErrorAnswer, Exchange, Probe, Task
from .finishing import finish, finish_if_due
from .isolation import apply_check, check_if_doubtful
from .outcomes import classify_loss, handle_loss, handle_reply, is_probe_needed
from .sending import (
    hedge_if_due,
    keeps_connection,
    resend_if_due,
    serve_queue,
    start_tasks,
)
from .stopping import begin_stop, late_refusal, limit_to_stop
from .suspects import EVIDENCE_TTL_S

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .exchanges import (
        Action,
        Attempt,
        CallerRequest,
        CheckLinks,
        LostAttempt,
        ServerReply,
    )
    from .model import Route, Workspace
    from .tables import ServerRow
    from .world import RoutingWorld

ANSWER_MARGIN_S = 0.004
"""Time reserved for merging, late timers and processing in this daemon."""
LAG_SHARE = 0.15
"""Maximum fraction of the target by which answers are scheduled earlier to make up for lag."""
ABANDON_AFTER_S = 0.3
"""Time after the caller's deadline or disconnection at which attempts still open are aborted. Most
end sooner by themselves, and aborting closes a connection that must then be opened again."""


class Router:
    """The routing decisions; the gateway performs the actions that the methods return.

    ::

        router = Router(world)
        exchange = router.open(request)
        perform(router.start(exchange, now))
        perform(router.reply(attempt, reply, later))
    """

    def __init__(self, world: RoutingWorld) -> None:
        self.world = world

    def open(self, request: CallerRequest) -> Exchange | ErrorAnswer:
        """Return an exchange for a caller's *request*, or why it is refused at once."""
        config = self.world.catalog.config
        if config is None:
            return ErrorAnswer(503, RefusalReason.NOT_READY, 1.0)
        return self._open(request, config.version, None)

    def open_forwarded(
        self, request: CallerRequest, version: int, workspace_name: str
    ) -> Exchange | ErrorAnswer:
        """Return an exchange for a request that another daemon has accepted.

        It was accepted under *version*, for the workspace of that name; an empty name is none.
        """
        return self._open(request, version, workspace_name)

    def _open(
        self, request: CallerRequest, version: int, workspace_name: str | None
    ) -> Exchange | ErrorAnswer:
        route = self.world.catalog.find_route(request.host, request.path, version)
        if route is None:
            return ErrorAnswer(404, RefusalReason.NO_ROUTE)
        workspace = self._identify(request, route, version, workspace_name)
        if isinstance(workspace, ErrorAnswer):
            return workspace
        if workspace is not None:
            request = replace(request, workspace=workspace)
        if self.world.suspects.is_refused(request.fingerprint, request.received_at):
            return ErrorAnswer(503, RefusalReason.SUSPECT_CONTENT, EVIDENCE_TTL_S)
        return self._exchange(request, route, version)

    def _identify(
        self, request: CallerRequest, route: Route, version: int, workspace_name: str | None
    ) -> Workspace | ErrorAnswer | None:
        """Return the workspace of *request*, ``None`` if it needs none, or why it is refused."""
        index = self.world.catalog.workspaces(version)
        if workspace_name is not None:
            return index.find(route, workspace_name)
        limits = self.world.limits
        news_age_s = request.received_at - self.world.catalog.confirmed_at
        is_doubtful = limits.revoke_fail_closed and news_age_s >= limits.revoke_s
        return index.identify(route, request.key_digests, is_doubtful)

    def start(self, exchange: Exchange, now: float) -> list[Action]:
        """Send the tasks of a new exchange, or refuse it."""
        self.world.now = now
        # The stop may have begun while another daemon was asked to run the request.
        limit_to_stop(self.world, exchange)
        self.world.exchanges[exchange] = None
        for service in self._services(exchange.route):
            exchange.tasks.append(Task(exchange, service))
        refusal = start_tasks(self.world, exchange)
        if refusal is not None:
            finish(self.world, exchange, refusal)
        finish_if_due(self.world, exchange)
        return self._take_actions()

    def begin_stop(self, answer_by: float) -> None:
        """Answer all requests until *answer_by*, when this daemon ends."""
        begin_stop(self.world, answer_by)

    def late_refusal(self, exchange: Exchange, now: float) -> ErrorAnswer | None:
        """Return why a new exchange is refused if this daemon ends too soon for it."""
        return late_refusal(self.world, exchange, now)

    @property
    def is_isolated(self) -> bool:
        """Whether this daemon reaches no server, so that others must run the requests."""
        return self.world.reachability.is_isolated

    def opened(self, attempt: Attempt, now: float) -> None:
        """Handle a new connection that the server of *attempt* has taken."""
        attempt.is_connected = True
        self.link_opened(attempt.row, now)

    def link_opened(self, row: ServerRow, now: float) -> None:
        """Handle a new connection that a server has taken, whatever it was opened for."""
        self.world.reachability.record_opened(row, now)
        self.world.suspects.confirm(now)

    def check_links(self, now: float) -> list[Action]:
        """Begin another check of the links if one is due."""
        self.world.now = now
        return self._take_actions()

    def links_checked(
        self, check: CheckLinks, unopened: Sequence[ServerRow], now: float
    ) -> list[Action]:
        """Handle a check of the links in which the servers in *unopened* took no connection."""
        self.world.now = now
        apply_check(self.world, check, unopened)
        return self.world.take_actions()

    def reply(self, attempt: Attempt, reply: ServerReply, now: float) -> list[Action]:
        """Handle a server's reply."""
        self.world.now = now
        handle_reply(self.world, attempt, reply)
        return self._complete_step(attempt)

    def lost(self, attempt: Attempt, lost: LostAttempt, now: float) -> list[Action]:
        """Handle an attempt that ended without a reply."""
        self.world.now = now
        if is_probe_needed(attempt, lost):
            self.world.counters["suspect.probe"] += 1
            self.world.actions.append(Probe(attempt, lost))
            return self._take_actions()
        handle_loss(self.world, attempt, lost)
        return self._complete_step(attempt)

    def probed(self, probe: Probe, failure: LostAttempt | None, now: float) -> list[Action]:
        """Handle the result of a probe; *failure* is ``None`` if the server took the connection."""
        self.world.now = now
        handle_loss(self.world, probe.attempt, classify_loss(probe.lost, failure))
        return self._complete_step(probe.attempt)

    def perform_due(self, exchange: Exchange, now: float) -> list[Action]:
        """Perform whatever is due for *exchange* at *now*."""
        world = self.world
        world.now = now
        if exchange.is_answered:
            self._abandon_if_due(exchange)
        else:
            self._record_lag(exchange)
            self._send_due(exchange)
            finish_if_due(world, exchange)
        return self._take_actions()

    def _record_lag(self, exchange: Exchange) -> None:
        """Record the lag of an answer that was due at its target time."""
        lag_s = self.world.now - exchange.target_at
        if lag_s >= 0:
            self.world.answer_lag.record(lag_s)

    def _send_due(self, exchange: Exchange) -> None:
        """Perform the resends and hedges that are due, and update ``due_at``."""
        if self.world.now < exchange.due_at:
            return
        exchange.due_at = float("inf")
        for task in exchange.tasks:
            if task.is_over:
                continue
            resend_if_due(self.world, task)
            hedge_if_due(self.world, task)
            if not task.is_over:
                exchange.due_at = min(exchange.due_at, task.hedge_at, task.resend_at)

    def caller_left(self, exchange: Exchange, now: float) -> None:
        """Handle the disconnection of the caller."""
        self.world.now = now
        self.world.counters["caller.left"] += 1
        exchange.caller_left_at = now
        exchange.is_answered = True
        self.world.exchanges.pop(exchange, None)
        record_end(self.world, exchange)
        for task in exchange.tasks:
            task.fail("the caller left")

    def keeps_connection(self, attempt: Attempt) -> bool:
        """Return whether the connection of an ended attempt is kept for further requests."""
        return keeps_connection(self.world, attempt)

    def next_due_at(self, exchange: Exchange) -> float | None:
        """Return when :meth:`perform_due` must next be called for *exchange*, or ``None``."""
        if exchange.is_answered:
            has_open = any(task.open_attempts for task in exchange.tasks)
            return _abandon_at(exchange) if has_open else None
        due = min(exchange.give_up_at, exchange.due_at)
        if self.world.now < exchange.target_at < due:
            return exchange.target_at
        return due

    def _exchange(self, request: CallerRequest, route: Route, version: int) -> Exchange:
        delay_s = self.world.limits.caller_delay_s
        margin_s = ANSWER_MARGIN_S + delay_s
        deadline_at = min(request.deadline_at, request.received_at + route.timeout_s)
        give_up_at = max(deadline_at - margin_s, request.received_at)
        lag_s = min(self.world.answer_lag.lag_s, LAG_SHARE * route.target_s)
        target_at = request.received_at + route.target_s - margin_s - delay_s - lag_s
        return Exchange(request, route, version, min(target_at, give_up_at), give_up_at)

    def _services(self, route: Route) -> tuple[str, ...]:
        if route.fan_out is not None:
            return route.fan_out.shards
        return (self.world.splits.choose(route),)

    def _complete_step(self, attempt: Attempt) -> list[Action]:
        """Send answers that are due after an attempt and queued tasks; return the actions."""
        task = attempt.task
        finish_if_due(self.world, task.exchange)
        for dequeued in serve_queue(self.world, task.service):
            finish_if_due(self.world, dequeued.exchange)
        return self._take_actions()

    def _take_actions(self) -> list[Action]:
        check_if_doubtful(self.world)
        return self.world.take_actions()

    def _abandon_if_due(self, exchange: Exchange) -> None:
        """Abort attempts that are no longer needed and have not ended by themselves.

        Load pattern: servers that hang or stop responding. Their attempts would never end and would
        use up this daemon's limit of open attempts at the server even after it has recovered.
        """
        if self.world.now < _abandon_at(exchange):
            return
        for task in exchange.tasks:
            for attempt in task.open_attempts:
                if exchange.caller_left_at is None:
                    attempt.row.record_failure(self.world.now)
                self.world.actions.append(Abandon(attempt))


def _abandon_at(exchange: Exchange) -> float:
    """Return when the open attempts of an answered exchange are aborted."""
    unneeded_at = exchange.give_up_at
    if exchange.caller_left_at is not None:
        unneeded_at = min(unneeded_at, exchange.caller_left_at)
    return unneeded_at + ABANDON_AFTER_S
