"""Sending of tasks: first sends, retries, hedges and queueing for a free server."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from .admission import admit
from .eligibility import eligible_servers
from .exchanges import Attempt, Send, Task, TaskState
from .finishing import unservable_answer
from .placement import (
    ALL_BUSY,
    ALL_STALLED,
    ALL_TRIED,
    BUDGET_SCARCE,
    RESERVED,
    STALL_FACTOR,
    TOO_LATE,
    NoServer,
    choose_server,
    cost_of,
)
from .server_limits import record_send
from .slot_reserve import record_arrival, reserved_limit, yields
from .tables import ServerRow

if TYPE_CHECKING:
    from .exchanges import ErrorAnswer, Exchange
    from .world import RoutingWorld

logger = logging.getLogger(__name__)

CONNECTION_SHARE = 0.9
"""Fraction of a server's connections that daemons use; the rest is for daemons not known yet."""
EXTRA_OPEN_ATTEMPTS = 1
"""Open attempts that a daemon may have at a server beyond its slots, so that it does not idle."""
RESEND_AFTER_S = 0.02
"""Delay before a task is sent again to servers that shed it, about a request's service time."""
HEDGE_RECHECK_S = 0.01
"""Delay before the next check for a hedge that could not be sent."""
BUDGET_RECHECK_S = 0.01
"""Delay before the next retry of a shard for which the retry budget was used up."""
TRIAL_RECHECK_S = 0.01
"""Delay before the next check whether a trial of the same content has ended."""
STALL_AFTER_HIGH = 1.7
"""Multiple of the high latency quantile after which a server is considered stalled."""
HEDGE_AFTER_HIGH = 1.3
"""Multiple of the high latency quantile after which a hedge may be sent."""
HEDGE_TARGET_SHARE = 0.35
"""Fraction of the route's target after which a hedge may be sent even if latencies have risen."""
OLD_NEWS_S = 2.0
"""Age of the registrations from which a send is counted and logged. A daemon hears from the store
or a reader at least once a second unless one of them fails."""
MIN_HIGH_LATENCY_S = 0.004
"""Lower bound on the high latency quantile used for hedging and stall detection; below it, network
delays dominate."""


def start_tasks(world: RoutingWorld, exchange: Exchange) -> ErrorAnswer | None:
    """Send all tasks of a new exchange, or return the answer with which it is refused.

    Nothing is sent if too few tasks can be served or if the exchange is not admitted, so that a
    refusal is true and no server works in vain.
    """
    record_arrival(world, exchange)
    choices = [_choose(world, task, task.avoided) for task in exchange.tasks]
    blocked = [chosen for chosen in choices if _is_blocked(world, exchange, chosen)]
    refusal = unservable_answer(exchange, blocked, world.now) or admit(world, exchange)
    if refusal is not None:
        for task, chosen in zip(exchange.tasks, choices, strict=True):
            if chosen in blocked:
                task.fail(chosen.reason)
        return refusal
    for task, chosen in zip(exchange.tasks, choices, strict=True):
        world.budget(task.service).record_first(world.now)
        _send_or_wait(world, task, chosen)
    return None


def _is_blocked(world: RoutingWorld, exchange: Exchange, chosen: ServerRow | NoServer) -> bool:
    """Return whether no server will take a task in time."""
    if isinstance(chosen, ServerRow) or chosen in (ALL_BUSY, RESERVED):
        return False
    return not _resumes_in_time(world, exchange, chosen)


def _resumes_in_time(world: RoutingWorld, exchange: Exchange, refusal: NoServer) -> bool:
    """Return whether a server that takes no attempts now does so before the target."""
    if refusal.until is None or refusal.is_contended:
        return False
    return refusal.until + world.latencies(exchange.route).median_s <= exchange.target_at


def try_to_send(world: RoutingWorld, task: Task) -> None:
    """Send a task that has no open attempt, or else queue it, delay it or fail it."""
    _send_or_wait(world, task, _choose(world, task, task.avoided))


def _send_or_wait(world: RoutingWorld, task: Task, chosen: ServerRow | NoServer) -> None:
    if isinstance(chosen, ServerRow) and _waits_for_trial(world, task):
        _schedule_after_trial(world, task)
    elif isinstance(chosen, ServerRow):
        _send(world, task, chosen)
    elif chosen in (ALL_BUSY, RESERVED):
        task.state = TaskState.WAITING
        world.queue(task.service).push(task)
        world.counters[f"wait.{chosen.code}"] += 1
    elif chosen is ALL_TRIED and task.avoided - task.may_have_run_on:
        # Servers that refused it without executing it may accept it a little later.
        task.schedule_resend(world.now + RESEND_AFTER_S)
    elif _resumes_in_time(world, task.exchange, chosen):
        task.schedule_resend(chosen.until)
        world.counters["wait.paused"] += 1
    else:
        task.refusal = chosen
        task.fail(chosen.reason)


def resend_if_due(world: RoutingWorld, task: Task) -> None:
    """Send a waiting task again if its delay is over."""
    if task.state is not TaskState.WAITING or world.now < task.resend_at:
        return
    task.resend_at = float("inf")
    task.avoided = set(task.may_have_run_on)
    retry(world, task, arrived=task.sends > 0)


def retry(world: RoutingWorld, task: Task, arrived: bool = True) -> None:
    """Send a task again after an unsuccessful attempt, if the attempt limit and the budget allow.

    *arrived* is ``False`` if the attempt never reached a server; the retry then costs no budget.
    Without budget, the task of a fan-out query waits, since the query may not need the shard or
    the budget may refill.
    """
    route = task.exchange.route
    task.state = TaskState.WAITING
    if world.suspects.is_refused(task.exchange.request.fingerprint, world.now):
        task.fail("the request crashes servers")
    elif task.possible_run_count >= route.max_attempts:
        task.fail("attempts are used up")
    elif _waits_for_trial(world, task):
        _schedule_after_trial(world, task)
    elif not arrived or _take_from_budget(world, task):
        world.counters["retry.sent"] += 1
        try_to_send(world, task)
    elif route.fan_out is not None and world.now < task.exchange.target_at:
        task.schedule_resend(world.now + BUDGET_RECHECK_S)
        world.counters["retry.waits_for_budget"] += 1
    else:
        task.fail("the retry budget is used up")
        world.counters["retry.no_budget"] += 1


def _needs_trial(world: RoutingWorld, exchange: Exchange) -> bool:
    """Return whether the tasks of *exchange* must be sent one at a time.

    Load pattern: a fan-out query crashes a server of each shard. Sent again as a whole, it would
    crash the other replicas too, while a query that was lost with servers that crashed for another
    reason must be completed.
    """
    return world.suspects.needs_trial(exchange.request.fingerprint, world.now)


def _waits_for_trial(world: RoutingWorld, task: Task) -> bool:
    if not _needs_trial(world, task.exchange):
        return False
    return any(other.open_attempts for other in task.exchange.tasks)


def _schedule_after_trial(world: RoutingWorld, task: Task) -> None:
    task.schedule_resend(world.now + TRIAL_RECHECK_S)
    world.counters["wait.trial"] += 1


def hedge_if_due(world: RoutingWorld, task: Task) -> None:
    """Send a hedge if the open attempt takes longer than usual."""
    if world.now < task.hedge_at or task.is_over:
        return
    for attempt in task.open_attempts:
        world.reachability.record_overdue(attempt.row, world.now)
    route = task.exchange.route
    is_alone = len(task.open_attempts) == 1
    may_repeat = route.idempotent and not _needs_trial(world, task.exchange)
    if not is_alone or not may_repeat or task.possible_run_count >= route.max_attempts:
        task.hedge_at = float("inf")
        return
    task.schedule_hedge(world.now + HEDGE_RECHECK_S)
    chosen = _choose_for_hedge(world, task)
    if isinstance(chosen, ServerRow):
        world.budget(task.service).record_repeat(world.now)
        world.counters["hedge.sent"] += 1
        task.hedge_refusal = ""
        _send(world, task, chosen)
    else:
        world.counters[f"hedge.{chosen.code}"] += 1
        if chosen is not TOO_LATE or not task.hedge_refusal:
            # Being too late does not replace the reason of an earlier check.
            task.hedge_refusal = chosen.reason


def _choose_for_hedge(world: RoutingWorld, task: Task) -> ServerRow | NoServer:
    """Return the server for a hedge, or the reason why none is sent now."""
    if not _can_still_help(world, task):
        return TOO_LATE
    chosen = _choose(world, task, task.avoided | task.may_have_run_on, is_hedge=True)
    if not isinstance(chosen, ServerRow):
        return chosen
    if cost_of(chosen, world.domain, world.now) >= STALL_FACTOR:
        # The hedge would be delayed like the first attempt.
        return ALL_STALLED
    if world.budget(task.service).is_scarce(world.share(task.service), world.now):
        return BUDGET_SCARCE
    return chosen


def release(world: RoutingWorld, attempt: Attempt) -> None:
    """Remove an ended attempt from its server and its task."""
    attempt.is_open = False
    attempt.row.open_attempts.pop(attempt.number, None)
    if attempt in attempt.task.open_attempts:
        attempt.task.open_attempts.remove(attempt)


def serve_queue(world: RoutingWorld, service: str) -> list[Task]:
    """Send queued tasks of *service* while servers are free; return the tasks removed."""
    queue = world.queue(service)
    dequeued: list[Task] = []
    while (task := queue.pop()) is not None:
        try_to_send(world, task)
        if task.state is TaskState.WAITING:
            break
        dequeued.append(task)
    return dequeued


def open_attempts_limit(world: RoutingWorld, task: Task, slots: int) -> int:
    """Return this daemon's limit of open attempts at one server of the task's service."""
    share = connection_share(world, task.service)
    return int(max(1, min(share, slots + EXTRA_OPEN_ATTEMPTS)))


def connection_share(world: RoutingWorld, service_name: str) -> float:
    """Return this daemon's share of the connections that a server of the service accepts."""
    service = world.catalog.service(service_name)
    if service is None:
        return float("inf")
    return CONNECTION_SHARE * service.max_connections * world.share(service_name)


def keeps_connection(world: RoutingWorld, attempt: Attempt) -> bool:
    """Return whether the connection of an ended attempt is kept for further requests.

    Load pattern: a fleet with more daemons than a server accepts connections, each of which sends
    the server a request now and then. Idle connections would use up the limit, and the server
    would reset the connections of those who have a request. The delegates use theirs all the time.
    """
    service = attempt.task.service
    if world.is_delegate and service in world.catalog.shards:
        return True
    return connection_share(world, service) >= 1.0


def _choose(
    world: RoutingWorld, task: Task, avoided: set[str], is_hedge: bool = False
) -> ServerRow | NoServer:
    # A leaving server is no place for a hedge, since another server already has the request.
    rows = eligible_servers(world, task, () if is_hedge else avoided, is_hedge)
    if isinstance(rows, NoServer):
        return rows
    max_open_attempts = open_attempts_limit(world, task, rows[0].registration.slots)
    if yields(world, task.exchange):
        max_open_attempts = reserved_limit(world, task.service, rows, max_open_attempts)
    if max_open_attempts == 0:
        return RESERVED
    return choose_server(rows, world.domain, avoided, max_open_attempts, world.now, is_hedge)


def _take_from_budget(world: RoutingWorld, task: Task) -> bool:
    """Take one repeat from the service's budget; return whether there was one for this task."""
    budget = world.budget(task.service)
    share = world.share(task.service)
    if not budget.allows(share, world.now):
        return False
    if budget.is_scarce(share, world.now) and not _is_needed_for_coverage(world, task.exchange):
        world.counters["retry.spared"] += 1
        return False
    budget.record_repeat(world.now)
    return True


def _is_needed_for_coverage(world: RoutingWorld, exchange: Exchange) -> bool:
    """Return whether the exchange needs another attempt to be answered within its target.

    Load pattern: the servers of many shards shed or fail part of their requests, and the budget of
    each shard covers only some of the repeats. A fan-out query may leave some shards out, so the
    reserved part of the budget goes to queries that would otherwise miss their minimum coverage.
    """
    fan_out = exchange.route.fan_out
    if fan_out is None or world.now >= exchange.target_at:
        return fan_out is None
    total = len(exchange.tasks)
    inactive = sum(task.state in (TaskState.WAITING, TaskState.FAILED) for task in exchange.tasks)
    return total - inactive < fan_out.min_coverage * total


def _can_still_help(world: RoutingWorld, task: Task) -> bool:
    """Return whether a new attempt would usually be answered in time.

    That is before the target or, once the target has passed, before the exchange is given up.
    """
    exchange = task.exchange
    usual_s = world.latencies(exchange.route).median_s
    if world.now + usual_s <= exchange.target_at:
        return True
    return exchange.target_at <= world.now <= exchange.give_up_at - usual_s


def _send(world: RoutingWorld, task: Task, row: ServerRow) -> None:
    exchange = task.exchange
    usual = world.latencies(exchange.route)
    high_s = max(usual.high_s, MIN_HIGH_LATENCY_S)
    hedge_s = min(HEDGE_AFTER_HIGH * high_s, HEDGE_TARGET_SHARE * exchange.route.target_s)
    is_trial = _needs_trial(world, exchange)
    attempt = Attempt(world.next_attempt_number(), task, row, world.now, is_trial)
    world.cold.record(row, world.now)
    record_send(world, row)
    row.pace.record_send(world.now)
    is_local = row.registration.domain == world.domain
    world.counters["send.own_domain" if is_local else "send.other_domain"] += 1
    task.sends += 1
    task.state = TaskState.SENT
    task.open_attempts.append(attempt)
    task.may_have_run_on.add(row.server_id)
    task.possible_run_count += 1
    task.schedule_hedge(world.now + hedge_s)
    row.open_attempts[attempt.number] = world.now + STALL_AFTER_HIGH * high_s
    world.actions.append(Send(attempt, exchange.give_up_at - world.now))
    _report_old_news(world, attempt)


def _report_old_news(world: RoutingWorld, attempt: Attempt) -> None:
    """Log an attempt whose server was chosen from registrations that may be out of date."""
    age_s = world.now - world.catalog.heard_at
    if not OLD_NEWS_S <= age_s < float("inf"):
        return
    world.counters["send.old_news"] += 1
    fields = {
        "request": attempt.task.exchange.request.request_id,
        "service": attempt.task.service,
        "server": attempt.row.server_id,
        "news_age_s": round(age_s, 3),
    }
    logger.info("request sent on old registrations", extra={"fields": fields})
