"""Sending of tasks: first sends, retries, hedges and the wait for a free server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .exchanges import Attempt, Send, Task, TaskState
from .placement import (
    ALL_BUSY,
    ALL_STALLED,
    ALL_TRIED,
    BUDGET_SCARCE,
    NONE_USABLE,
    STALL_FACTOR,
    TOO_LATE,
    choose_server,
    cost_of,
)
from .tables import ServerRow

if TYPE_CHECKING:
    from .exchanges import Exchange
    from .placement import NoServer
    from .world import RoutingWorld

CONNECTION_SHARE = 0.9
"""Part of a server's connections that daemons use; the rest covers members not known yet."""
EXTRA_OPEN = 1
"""Attempts beyond its slots that a daemon keeps at a server, so that it never idles."""
RESEND_AFTER_S = 0.02
"""Wait before a task goes again to servers that have refused it, about the work of a request."""
HEDGE_RECHECK_S = 0.01
"""Wait before a hedge that could not be sent is considered again."""
BUDGET_RECHECK_S = 0.01
"""Wait before a shard without a repeat in the budget is considered again."""
STALL_AFTER_HIGH = 1.7
"""Multiple of the usual high latency after which a server counts as stalled."""
HEDGE_AFTER_HIGH = 1.3
"""Multiple of the usual high latency after which a hedge may be sent."""
HEDGE_TARGET_SHARE = 0.35
"""Part of the route's target after which a hedge goes out even if latencies have risen."""
LEAST_HEDGE_S = 0.004
"""A hedge is never sent sooner; below this, delays of the network decide."""


def send_first(world: RoutingWorld, task: Task) -> None:
    """Send a task for the first time, or have it wait for a server."""
    world.budget(task.service).note_first(world.now)
    try_to_send(world, task)


def try_to_send(world: RoutingWorld, task: Task) -> None:
    """Send a task that has no open attempt, have it wait, or let it fail."""
    chosen = _choose(world, task, task.avoided)
    if isinstance(chosen, ServerRow):
        _send(world, task, chosen)
    elif chosen is ALL_BUSY:
        task.state = TaskState.WAITING
        world.queue(task.service).push(task)
        world.counters["wait.all_busy"] += 1
    elif chosen is ALL_TRIED and task.avoided - task.may_have_run_on:
        # Servers that refused it without running it may take it a little later.
        task.resend_from(world.now + RESEND_AFTER_S)
    else:
        task.fail(chosen.reason)


def resend_if_due(world: RoutingWorld, task: Task) -> None:
    """Send a task again whose wait after refusals is over."""
    if task.state is not TaskState.WAITING or world.now < task.resend_at:
        return
    task.resend_at = float("inf")
    task.avoided = set(task.may_have_run_on)
    retry(world, task)


def retry(world: RoutingWorld, task: Task, arrived: bool = True) -> None:
    """Send a task again after an attempt without a part, as far as attempts and budget allow.

    *arrived* is ``False`` if the attempt never reached a server, which costs no budget. A shard of
    a wide query waits for the budget, since the query may do without it or the budget may refill.
    """
    route = task.exchange.route
    task.state = TaskState.WAITING
    if world.suspects.is_refused(task.exchange.request.fingerprint, world.now):
        task.fail("the request crashes servers")
    elif task.run_count >= route.max_attempts:
        task.fail("attempts are used up")
    elif not arrived or _spend(world, task):
        world.counters["retry.sent"] += 1
        try_to_send(world, task)
    elif route.gather is not None and world.now < task.exchange.target_at:
        task.resend_from(world.now + BUDGET_RECHECK_S)
        world.counters["retry.waits_for_budget"] += 1
    else:
        task.fail("the retry budget is used up")
        world.counters["retry.no_budget"] += 1


def hedge_if_due(world: RoutingWorld, task: Task) -> None:
    """Send a second attempt beside one that takes longer than usual."""
    if world.now < task.hedge_at or task.is_over:
        return
    route = task.exchange.route
    is_alone = len(task.open_attempts) == 1
    if not is_alone or not route.idempotent or task.run_count >= route.max_attempts:
        task.hedge_at = float("inf")
        return
    task.hedge_from(world.now + HEDGE_RECHECK_S)
    chosen = _choose_for_hedge(world, task)
    if isinstance(chosen, ServerRow):
        world.budget(task.service).note_repeat(world.now)
        world.counters["hedge.sent"] += 1
        task.hedge_refusal = ""
        _send(world, task, chosen)
    else:
        world.counters[f"hedge.{chosen.code}"] += 1
        if chosen is not TOO_LATE or not task.hedge_refusal:
            # While there was time, something else stood in the way.
            task.hedge_refusal = chosen.reason


def _choose_for_hedge(world: RoutingWorld, task: Task) -> ServerRow | NoServer:
    """Return the server for a second attempt, or why there should be none now."""
    if not _can_still_help(world, task):
        return TOO_LATE
    chosen = _choose(world, task, task.avoided | task.may_have_run_on, is_wary=True)
    if not isinstance(chosen, ServerRow):
        return chosen
    if cost_of(chosen, world.domain, world.now) >= STALL_FACTOR:
        # It would wait there as it does here.
        return ALL_STALLED
    if world.budget(task.service).is_scarce(world.share(task.service), world.now):
        return BUDGET_SCARCE
    return chosen


def release(world: RoutingWorld, attempt: Attempt) -> None:
    """Take an ended attempt out of the tables."""
    attempt.is_open = False
    attempt.row.open_attempts.pop(attempt.number, None)
    if attempt in attempt.task.open_attempts:
        attempt.task.open_attempts.remove(attempt)


def serve_queue(world: RoutingWorld, service: str) -> list[Task]:
    """Send waiting tasks of *service* while a server has room; returns the tasks that moved."""
    queue = world.queue(service)
    moved: list[Task] = []
    while (task := queue.pop()) is not None:
        try_to_send(world, task)
        if task.state is TaskState.WAITING:
            break
        moved.append(task)
    return moved


def open_attempts_limit(world: RoutingWorld, task: Task, slots: int) -> int:
    """Return how many open attempts this daemon may have at one server of the task's service."""
    service = world.catalog.service(task.service)
    if service is None:
        return slots + EXTRA_OPEN
    share = int(CONNECTION_SHARE * service.max_connections * world.share(task.service))
    return max(1, min(share, slots + EXTRA_OPEN))


def _choose(
    world: RoutingWorld, task: Task, avoided: set[str], is_wary: bool = False
) -> ServerRow | NoServer:
    service = world.catalog.service(task.service)
    share = world.share(task.service)
    rows = [
        row
        for row in world.catalog.servers_of(task.service)
        if world.cold.allows(row, service, share, world.now)
    ]
    room = open_attempts_limit(world, task, rows[0].registration.slots) if rows else 1
    if not rows and world.catalog.registered_servers(task.service):
        return NONE_USABLE
    return choose_server(rows, world.domain, avoided, room, world.now, is_wary)


def _spend(world: RoutingWorld, task: Task) -> bool:
    """Take one repeat from the service's budget, if there is one for this task."""
    budget = world.budget(task.service)
    share = world.share(task.service)
    if not budget.allows(share, world.now):
        return False
    if budget.is_scarce(share, world.now) and not _is_decisive(world, task.exchange):
        world.counters["retry.spared"] += 1
        return False
    budget.note_repeat(world.now)
    return True


def _is_decisive(world: RoutingWorld, exchange: Exchange) -> bool:
    """Return whether the answer misses its target unless a task without an attempt gets one.

    Load pattern: servers of many shards refuse or fail part of their requests, and each shard's
    budget covers a part of the repeats. A wide query may leave some shards out, so what is left
    goes to queries that would otherwise fall below their least coverage.
    """
    gather = exchange.route.gather
    if gather is None or world.now >= exchange.target_at:
        return gather is None
    total = len(exchange.tasks)
    without = sum(task.state in (TaskState.WAITING, TaskState.FAILED) for task in exchange.tasks)
    return total - without < gather.min_coverage * total


def _can_still_help(world: RoutingWorld, task: Task) -> bool:
    """Return whether a new attempt would usually be answered before the target, or must be."""
    exchange = task.exchange
    usual_s = world.latencies(exchange.route).median_s
    if world.now + usual_s <= exchange.target_at:
        return True
    return exchange.target_at <= world.now <= exchange.give_up_at - usual_s


def _send(world: RoutingWorld, task: Task, row: ServerRow) -> None:
    exchange = task.exchange
    usual = world.latencies(exchange.route)
    high_s = max(usual.high_s, LEAST_HEDGE_S)
    hedge_s = min(HEDGE_AFTER_HIGH * high_s, HEDGE_TARGET_SHARE * exchange.route.target_s)
    attempt = Attempt(world.next_attempt_number(), task, row, world.now)
    world.cold.note(row, world.now)
    is_near = row.registration.domain == world.domain
    world.counters["send.own_domain" if is_near else "send.other_domain"] += 1
    task.sends += 1
    task.state = TaskState.SENT
    task.open_attempts.append(attempt)
    task.may_have_run_on.add(row.server_id)
    task.run_count += 1
    task.hedge_from(world.now + hedge_s)
    row.open_attempts[attempt.number] = world.now + STALL_AFTER_HIGH * high_s
    world.actions.append(Send(attempt, exchange.give_up_at - world.now))
