"""When an exchange is answered, and with what.

Load pattern: a few shards of a wide query pause, fail or fall silent. The answer waits for them
until the route's target, since its worth grows with coverage; at the target it leaves with what is
in, if that is enough. A query that can no longer be covered is refused at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import RefusalReason
from .exchanges import (
    ErrorAnswer,
    Finish,
    ForwardedAnswer,
    MergedAnswer,
    ServerReply,
    TaskState,
)
from .merging import greatest_records

if TYPE_CHECKING:
    from .exchanges import Answer, Exchange, Task
    from .world import RoutingWorld

RETRY_AFTER_S = 0.1
"""Time after which a refused caller may find room: some requests' work."""


def finish_if_due(world: RoutingWorld, exchange: Exchange) -> None:
    """Answer *exchange* if an answer is due."""
    if exchange.is_answered:
        return
    gather = exchange.route.gather
    answer = _single_answer(world, exchange) if gather is None else _merged(world, exchange)
    if answer is not None:
        finish(world, exchange, answer)


def finish(world: RoutingWorld, exchange: Exchange, answer: Answer) -> None:
    """Answer *exchange*; its open attempts no longer matter."""
    exchange.is_answered = True
    for task in exchange.tasks:
        task.fail("the answer left without it")
    world.actions.append(Finish(exchange, answer))


def _single_answer(world: RoutingWorld, exchange: Exchange) -> Answer | None:
    task = exchange.tasks[0]
    if task.state is TaskState.DONE:
        return ForwardedAnswer(task.reply)
    if task.state is TaskState.FAILED:
        return _failure_of(exchange, task)
    if world.now >= exchange.give_up_at:
        return _out_of_time(exchange)
    return None


def _failure_of(exchange: Exchange, task: Task) -> Answer:
    if isinstance(task.reply, ServerReply):
        return ForwardedAnswer(task.reply)
    return unserved(exchange)


def unserved(exchange: Exchange) -> ErrorAnswer:
    """Return the answer for an exchange that no server could serve."""
    if exchange.may_have_run:
        return ErrorAnswer(502, RefusalReason.SERVERS_FAILED)
    return ErrorAnswer(503, RefusalReason.NO_SERVER, RETRY_AFTER_S)


def _out_of_time(exchange: Exchange) -> ErrorAnswer:
    if exchange.may_have_run:
        return ErrorAnswer(504, RefusalReason.DEADLINE)
    return ErrorAnswer(503, RefusalReason.DEADLINE, RETRY_AFTER_S)


def _merged(world: RoutingWorld, exchange: Exchange) -> Answer | None:
    done = exchange.done_count
    failed = exchange.failed_count
    total = len(exchange.tasks)
    is_enough = done > 0 and done >= exchange.route.gather.min_coverage * total
    if done + failed == total:
        return _merge(exchange) if is_enough else unserved(exchange)
    if total - failed < exchange.route.gather.min_coverage * total:
        return unserved(exchange)
    if is_enough and world.now >= exchange.target_at:
        return _merge(exchange)
    if world.now >= exchange.give_up_at:
        return _out_of_time(exchange)
    return None


def _merge(exchange: Exchange) -> MergedAnswer:
    parts = [task.reply for task in exchange.tasks if task.state is TaskState.DONE]
    body = greatest_records((part.body for part in parts), exchange.route.gather.top_k)
    signatures = tuple(part.signature for part in parts)
    return MergedAnswer(signatures, len(exchange.tasks) - len(parts), body)
