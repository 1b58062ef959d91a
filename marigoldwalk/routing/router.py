"""The entry points of routing: one method for each event, which returns the actions to perform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import RefusalReason
from .exchanges import Abandon, ErrorAnswer, Exchange, Task
from .finishing import finish_if_due
from .outcomes import take_loss, take_reply
from .sending import hedge_if_due, resend_if_due, send_first, serve_queue
from .suspects import REMEMBERED_S

if TYPE_CHECKING:
    from .exchanges import Action, Attempt, CallerRequest, LostAttempt, ServerReply
    from .model import Route
    from .world import RoutingWorld

ANSWER_MARGIN_S = 0.004
"""Time for merging, timers that fire late and the way through this daemon."""
LAG_SHARE = 0.15
"""The most of a target that is given up for answers that leave late."""
ABANDON_AFTER_S = 0.3
"""Time after a caller has left, or its deadline, at which attempts still open are broken off; most
end sooner, and a connection that is closed has to be opened again."""


class Router:
    """Decide on requests; the shell performs what the methods return.

    ::

        router = Router(world)
        exchange = router.open(request, now)
        perform(router.start(exchange, now))
        perform(router.reply(attempt, reply, later))
    """

    def __init__(self, world: RoutingWorld) -> None:
        self.world = world

    def open(self, request: CallerRequest, version: int | None = None) -> Exchange | ErrorAnswer:
        """Return an exchange for *request*, or the refusal that answers it at once.

        *version* is the configuration under which another daemon took the request; by default it
        is the one in force.
        """
        catalog = self.world.catalog
        if catalog.config is None:
            return ErrorAnswer(503, RefusalReason.NOT_READY, 1.0)
        route = catalog.find_route(request.host, request.path, version)
        if route is None:
            return ErrorAnswer(404, RefusalReason.NO_ROUTE)
        if self.world.suspects.is_refused(request.fingerprint, request.received_at):
            return ErrorAnswer(503, RefusalReason.SUSPECT_CONTENT, REMEMBERED_S)
        return self._exchange(request, route, version or catalog.config.version)

    def start(self, exchange: Exchange, now: float) -> list[Action]:
        """Send the tasks of a new exchange."""
        self.world.now = now
        for service in self._services(exchange.route):
            exchange.tasks.append(Task(exchange, service))
        for task in exchange.tasks:
            send_first(self.world, task)
        finish_if_due(self.world, exchange)
        return self.world.take_actions()

    def reply(self, attempt: Attempt, reply: ServerReply, now: float) -> list[Action]:
        """Take in a server's reply."""
        self.world.now = now
        take_reply(self.world, attempt, reply)
        return self._settle(attempt)

    def lost(self, attempt: Attempt, lost: LostAttempt, now: float) -> list[Action]:
        """Take in that an attempt ended without a reply."""
        self.world.now = now
        take_loss(self.world, attempt, lost)
        return self._settle(attempt)

    def wake(self, exchange: Exchange, now: float) -> list[Action]:
        """Do what is due for *exchange* at *now*."""
        world = self.world
        world.now = now
        if exchange.is_answered:
            self._abandon_if_due(exchange)
        else:
            self._note_lag(exchange)
            self._run_due(exchange)
            finish_if_due(world, exchange)
        return world.take_actions()

    def _note_lag(self, exchange: Exchange) -> None:
        """Remember how late an answer leaves that was due at its target."""
        lag_s = self.world.now - exchange.target_at
        if lag_s >= 0:
            self.world.lags.note(lag_s)

    def _run_due(self, exchange: Exchange) -> None:
        """Do what is due for the tasks, and note when something is due next."""
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
        """Note that nobody waits for the answer any more."""
        self.world.now = now
        self.world.counters["caller.left"] += 1
        exchange.caller_left_at = now
        exchange.is_answered = True
        for task in exchange.tasks:
            task.fail("the caller left")

    def next_wake(self, exchange: Exchange) -> float | None:
        """Return when :meth:`wake` is due next for *exchange*."""
        if exchange.is_answered:
            has_open = any(task.open_attempts for task in exchange.tasks)
            return _abandon_at(exchange) if has_open else None
        due = min(exchange.give_up_at, exchange.due_at)
        if self.world.now < exchange.target_at < due:
            return exchange.target_at
        return due

    def _exchange(self, request: CallerRequest, route: Route, version: int) -> Exchange:
        delay_s = self.world.limits.caller_delay_s
        lead_s = ANSWER_MARGIN_S + delay_s
        deadline_at = min(request.deadline_at, request.received_at + route.timeout_s)
        give_up_at = max(deadline_at - lead_s, request.received_at)
        lag_s = min(self.world.lags.lag_s, LAG_SHARE * route.target_s)
        target_at = request.received_at + route.target_s - lead_s - delay_s - lag_s
        return Exchange(request, route, version, min(target_at, give_up_at), give_up_at)

    def _services(self, route: Route) -> tuple[str, ...]:
        if route.gather is not None:
            return route.gather.shards
        return (self.world.splits.choose(route),)

    def _settle(self, attempt: Attempt) -> list[Action]:
        """Return the actions of a step after which a server may have room."""
        task = attempt.task
        finish_if_due(self.world, task.exchange)
        for moved in serve_queue(self.world, task.service):
            finish_if_due(self.world, moved.exchange)
        return self.world.take_actions()

    def _abandon_if_due(self, exchange: Exchange) -> None:
        """Break off attempts that nobody needs any more and that have not ended by themselves.

        Load pattern: servers that hang or fall silent. Their attempts would never end, and would
        take up the room that this daemon has at the server after it is well again.
        """
        if self.world.now < _abandon_at(exchange):
            return
        for task in exchange.tasks:
            for attempt in task.open_attempts:
                if exchange.caller_left_at is None:
                    attempt.row.record_failure(self.world.now)
                self.world.actions.append(Abandon(attempt))


def _abandon_at(exchange: Exchange) -> float:
    """Return when what is still open of an answered exchange is broken off."""
    needless_at = exchange.give_up_at
    if exchange.caller_left_at is not None:
        needless_at = min(needless_at, exchange.caller_left_at)
    return needless_at + ABANDON_AFTER_S
