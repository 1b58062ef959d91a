"""Decides when to answer an exchange, and with which answer.

Load pattern: a few shards of a fan-out query pause, fail or do not answer. The answer is worth more
with greater coverage, so it waits for them until the route's target. At the target the shard
replies received so far are merged if they reach the minimum coverage. A query that can no longer
reach it is refused at once.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..errors import RefusalReason
from ..util.hashing import stable_hash
from .admission import record_end
from .exchanges import (
    ErrorAnswer,
    Finish,
    ForwardedAnswer,
    MergedAnswer,
    ServerReply,
    TaskState,
)
from .merging import top_records
from .placement import LIMITED

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .exchanges import Answer, Exchange, Task
    from .placement import NoServer
    from .world import RoutingWorld

RETRY_AFTER_S = 0.1
"""Time after which a refused caller may retry: several times the service time of a request."""
_NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses with which the gateway promises that a request has not run."""


def finish_if_due(world: RoutingWorld, exchange: Exchange) -> None:
    """Answer *exchange* if an answer is due."""
    if exchange.is_answered:
        return
    fan_out = exchange.route.fan_out
    answer = (
        _single_answer(world, exchange) if fan_out is None else _fan_out_answer(world, exchange)
    )
    if answer is not None:
        finish(world, exchange, answer)


def finish(world: RoutingWorld, exchange: Exchange, answer: Answer) -> None:
    """Answer *exchange* and end its open tasks."""
    exchange.is_answered = True
    world.exchanges.pop(exchange, None)
    record_end(world, exchange)
    for task in exchange.tasks:
        task.fail("the answer left without it")
    world.actions.append(Finish(exchange, answer))


def _single_answer(world: RoutingWorld, exchange: Exchange) -> Answer | None:
    task = exchange.tasks[0]
    if task.state is TaskState.DONE:
        return ForwardedAnswer(task.reply)
    if task.state is TaskState.FAILED:
        return _failure_answer(world, exchange, task)
    if world.now >= exchange.give_up_at:
        return _deadline_answer(world, exchange)
    return None


def _failure_answer(world: RoutingWorld, exchange: Exchange, task: Task) -> Answer:
    # A server that may have run the request can answer with a status that would deny it.
    if isinstance(task.reply, ServerReply) and task.reply.status not in _NOT_RUN_STATUSES:
        return ForwardedAnswer(task.reply)
    refusal = task.refusal
    if refusal is not None and refusal.until is not None and not exchange.may_have_run:
        return _refused_answer(exchange, refusal, world.now)
    return unserved_answer(exchange)


def unserved_answer(exchange: Exchange) -> ErrorAnswer:
    """Return the error answer for an exchange that no server could answer."""
    if exchange.may_have_run:
        return ErrorAnswer(502, RefusalReason.SERVERS_FAILED)
    return ErrorAnswer(503, RefusalReason.NO_SERVER, RETRY_AFTER_S)


def unservable_answer(
    exchange: Exchange, blocked: Sequence[NoServer], now: float
) -> ErrorAnswer | None:
    """Return the refusal of a new exchange if too many of its tasks are *blocked*.

    The caller may come back when enough servers take requests again, if the servers have said so.
    """
    total = len(exchange.tasks)
    fan_out = exchange.route.fan_out
    needed = max(1, math.ceil(fan_out.min_coverage * total)) if fan_out is not None else total
    missing = needed - (total - len(blocked))
    if missing <= 0:
        return None
    known = [refusal for refusal in blocked if refusal.until is not None]
    if len(known) < missing:
        return ErrorAnswer(503, RefusalReason.NO_SERVER, RETRY_AFTER_S)
    known.sort(key=lambda refusal: refusal.until)
    return _refused_answer(exchange, known[missing - 1], now)


def _refused_answer(exchange: Exchange, refusal: NoServer, now: float) -> ErrorAnswer:
    """Return the refusal of an exchange that servers will take later.

    Callers who were refused because of a limit come back one after the other, since they could not
    all be served when it next allows a request.
    """
    retry_after_s = max(refusal.until - now, RETRY_AFTER_S)
    if refusal.code != LIMITED:
        return ErrorAnswer(503, RefusalReason.SERVERS_PAUSED, retry_after_s)
    spread = stable_hash("retry", exchange.request.request_id) % 1000 / 1000
    return ErrorAnswer(503, RefusalReason.SERVERS_LIMITED, retry_after_s * (1.0 + spread))


def _deadline_answer(world: RoutingWorld, exchange: Exchange) -> ErrorAnswer:
    is_stopped = exchange.give_up_at >= world.answer_by
    reason = RefusalReason.STOPPING if is_stopped else RefusalReason.DEADLINE
    if exchange.may_have_run:
        return ErrorAnswer(504, reason)
    return ErrorAnswer(503, reason, RETRY_AFTER_S)


def _fan_out_answer(world: RoutingWorld, exchange: Exchange) -> Answer | None:
    done = exchange.done_count
    failed = exchange.failed_count
    total = len(exchange.tasks)
    is_covered = done > 0 and done >= exchange.route.fan_out.min_coverage * total
    if done + failed == total:
        return _merge(exchange) if is_covered else unserved_answer(exchange)
    if total - failed < exchange.route.fan_out.min_coverage * total:
        return unserved_answer(exchange)
    if is_covered and world.now >= exchange.target_at:
        return _merge(exchange)
    if world.now >= exchange.give_up_at:
        return _deadline_answer(world, exchange)
    return None


def _merge(exchange: Exchange) -> MergedAnswer:
    parts = [task.reply for task in exchange.tasks if task.state is TaskState.DONE]
    body = top_records((part.body for part in parts), exchange.route.fan_out.top_k)
    signatures = tuple(part.signature for part in parts)
    return MergedAnswer(signatures, len(exchange.tasks) - len(parts), body)
