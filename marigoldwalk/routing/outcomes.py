"""Handling of server replies and of attempts that end without a reply."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from .admission import record_shed, record_wait
from .exchanges import LossReason, LostAttempt
from .pace import record_failure, record_outage, record_success
from .sending import release, retry
from .server_limits import record_limit
from .suspects import crash_of

if TYPE_CHECKING:
    from .exchanges import Attempt, ServerReply
    from .tables import ServerRow
    from .world import RoutingWorld

logger = logging.getLogger(__name__)

_NOT_CONNECTED = (LossReason.CONNECT_FAILED, LossReason.CONNECT_TIMEOUT)


def handle_reply(world: RoutingWorld, attempt: Attempt, reply: ServerReply) -> None:
    """Handle a complete reply."""
    release(world, attempt)
    world.reachability.record_reply(attempt.row, world.now)
    _record_reply(world, attempt, reply)
    task = attempt.task
    if reply.is_success and not task.exchange.has_run:
        task.exchange.has_run = True
        world.suspects.record_run(task.exchange.request.fingerprint, world.now)
    if task.is_over:
        world.counters["reply.superseded"] += 1
    elif reply.is_success:
        record_wait(world, task.exchange)
        task.finish(reply)
    elif not reply.executed:
        _handle_not_run(world, attempt)
    else:
        _handle_failure(world, attempt, reply)


def is_probe_needed(attempt: Attempt, lost: LostAttempt) -> bool:
    """Return whether a new connection to the server must tell a lost reply from a crash.

    Load pattern: a request that crashes each server that starts to execute it. The retry would
    crash the next server before any other request finds the first one down. Content that has run on
    another server crashes nothing, so replies lost there cost no probe.
    """
    is_suspect = lost.reason is LossReason.CLOSED and lost.may_have_run
    return is_suspect and not attempt.task.exchange.has_run


def classify_loss(lost: LostAttempt, failure: LostAttempt | None) -> LostAttempt:
    """Return the loss as classified by a probe, which ended with *failure* or found a server."""
    if failure is None or failure.reason is not LossReason.CONNECT_FAILED:
        return lost
    return LostAttempt(LossReason.CRASHED, lost.may_have_run, failure.detail)


def handle_loss(world: RoutingWorld, attempt: Attempt, lost: LostAttempt) -> None:
    """Handle an attempt that ended without a reply."""
    release(world, attempt)
    world.counters[f"lost.{lost.reason.value}"] += 1
    row = attempt.row
    _log_loss(world, attempt, lost)
    _record_reachability(world, row, lost)
    if lost.reason in _NOT_CONNECTED:
        row.record_unreachable(world.now)
        record_outage(world, row, lost.reason is LossReason.CONNECT_FAILED)
        _record_crashes(world, row.server_id)
    elif lost.reason is LossReason.CRASHED:
        row.record_failure(world.now)
        row.record_unreachable(world.now)
        record_outage(world, row, is_refusing=True)
        _record_loss(world, attempt)
        _record_crashes(world, row.server_id)
    elif lost.reason is LossReason.CLOSED and lost.may_have_run:
        row.record_failure(world.now)
        record_failure(world, row, "reset")
        _record_loss(world, attempt)
    elif lost.reason is not LossReason.ABANDONED:
        row.record_failure(world.now)
        record_failure(world, row, lost.reason.value)
    task = attempt.task
    if not lost.may_have_run:
        task.record_not_run(row.server_id)
    if task.is_over or task.open_attempts:
        return
    if lost.may_have_run and not task.exchange.route.idempotent:
        task.fail(f"the server may have run it ({lost.reason.value})")
        return
    retry(world, task, arrived=lost.reason not in _NOT_CONNECTED)


def _record_reachability(world: RoutingWorld, row: ServerRow, lost: LostAttempt) -> None:
    if lost.reason in _NOT_CONNECTED:
        world.reachability.record_unopened(row, world.now)
    elif lost.reason is not LossReason.ABANDONED:
        world.reachability.record_overdue(row, world.now)


def _record_loss(world: RoutingWorld, attempt: Attempt) -> None:
    fingerprint = attempt.task.exchange.request.fingerprint
    crash = crash_of(attempt)
    world.suspects.record_loss(fingerprint, attempt.row.server_id, crash, world.now)


def _record_crashes(world: RoutingWorld, server_id: str) -> None:
    """Record a crash if the server refuses connections just after it lost a request."""
    if world.reachability.is_isolated:
        return
    for fingerprint in world.suspects.record_unreachable(server_id, world.now):
        world.counters["suspect.crash"] += 1
        fields = {
            "server": server_id,
            "content": fingerprint,
            "crashes": world.suspects.crash_count(fingerprint, world.now),
            "held": world.suspects.held_count(fingerprint, world.now),
        }
        logger.warning("server crashed while executing a request", extra={"fields": fields})


def _log_loss(world: RoutingWorld, attempt: Attempt, lost: LostAttempt) -> None:
    """Log an attempt that the server did not answer."""
    if lost.reason is LossReason.ABANDONED:
        return
    fields = {
        "request": attempt.task.exchange.request.request_id,
        "content": attempt.task.exchange.request.fingerprint,
        "service": attempt.task.service,
        "server": attempt.row.server_id,
        "reason": lost.reason.value,
        "detail": lost.detail,
        "after_ms": round((world.now - attempt.sent_at) * 1000, 1),
        "may_have_run": lost.may_have_run,
        "recent_failures": round(attempt.row.recent_failures(world.now), 1),
    }
    logger.info("attempt lost", extra={"fields": fields})


def _record_reply(world: RoutingWorld, attempt: Attempt, reply: ServerReply) -> None:
    row = attempt.row
    _record_notices(world, attempt, reply)
    if reply.is_success:
        usual = world.latencies(attempt.task.exchange.route)
        latency_s = world.now - attempt.sent_at
        ratio = latency_s / max(usual.median_s, 0.001)
        row.record_latency(ratio, attempt.sent_at, world.now)
        row.record_success(world.now)
        usual.record(latency_s)
        record_success(world, row, ratio, attempt.sent_at)
    elif reply.is_misdirected:
        world.counters["reply.other_server"] += 1
        row.record_unreachable(world.now)
        row.record_replaced(world.now)
        record_outage(world, row)
    elif not reply.executed:
        world.counters["reply.shed"] += 1
        row.record_shed(world.now)
        record_failure(world, row, "shed")
        record_shed(world, attempt.task.exchange)
    else:
        world.counters["reply.failure"] += 1
        row.record_failure(world.now)
        record_failure(world, row, "failure")


def _record_notices(world: RoutingWorld, attempt: Attempt, reply: ServerReply) -> None:
    """Record what the server says about itself, unless another server sent the reply."""
    if reply.is_misdirected:
        return
    row = attempt.row
    if reply.is_leaving and row.record_leaving(world.now):
        world.counters["notice.leaving"] += 1
        logger.info("server is leaving", extra={"fields": {"server": row.server_id}})
    if record_limit(world, row, reply.rate_limit):
        world.counters["notice.rate_limit"] += 1
        fields = {"server": row.server_id, "per_s": reply.rate_limit}
        logger.info("server changed its request limit", extra={"fields": fields})
    if reply.pause_s > 0:
        world.counters["notice.pause"] += 1
        row.record_pause(reply.pause_s, world.now)
        fields = {"server": row.server_id, "pause_s": round(reply.pause_s, 3)}
        logger.info("server asks for a pause", extra={"fields": fields})


def _handle_not_run(world: RoutingWorld, attempt: Attempt) -> None:
    task = attempt.task
    task.record_not_run(attempt.row.server_id)
    if not task.open_attempts:
        retry(world, task)


def _handle_failure(world: RoutingWorld, attempt: Attempt, reply: ServerReply) -> None:
    task = attempt.task
    task.reply = reply
    if task.open_attempts:
        return
    if task.exchange.route.idempotent and reply.status >= 500:
        retry(world, task)
    else:
        task.fail(f"the server answered {reply.status}")
