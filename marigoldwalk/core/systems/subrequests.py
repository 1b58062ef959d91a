"""Subrequests: handles replies, failures and lost connections, and retries what they concern."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...errors import Missing
from ..engine import on
from ..events import ReplyState, ServerLost, ServerReply, SubrequestEnded
from ..strategies.limits import limit_policies
from ..tables import LatencyWindow
from ..timers import AttemptFreed, ServerFoundAlive, ServerRestarted
from . import budgets, dispatch, health, jobs, suspects, trials

if TYPE_CHECKING:
    from ..tables import AttemptRow, ItemRow, JobRow, ServerRow
    from ..world import World

LIMIT_POLICY_NAME = "halve"
"""The registered limit policy that applies when a server sheds work."""
NOT_SENT = "not_sent"
"""The cause of retries that cost no server any work, and so take nothing from the budget."""

_FAILURE_OF_STATE = {
    ReplyState.SHED: Missing.OVERLOADED,
    ReplyState.DRAINING: Missing.NO_REPLICA,
    ReplyState.SNAPSHOT_GONE: Missing.SNAPSHOT_GONE,
    ReplyState.EXPIRED: Missing.DEADLINE,
    ReplyState.FAILED: Missing.SERVER_ERROR,
}


@on(ServerReply)
def handle_reply(world: World, event: ServerReply) -> None:
    """Handle a server's reply to a subrequest."""
    attempt = _remove_attempt(world, event.attempt)
    if attempt is None:
        return
    row = world.servers.get(attempt.server)
    if row is not None:
        _update_server(world, row, attempt, event)
    item = world.items.get(attempt.item)
    if item is None or attempt.abandoned:
        world.count("subrequest.unwanted_reply")
        return
    item.attempts.discard(attempt.attempt)
    if event.state is ReplyState.DONE:
        _complete_item(world, item, attempt, event)
    else:
        _handle_failure(world, item, event)


def _remove_attempt(world: World, key: int) -> AttemptRow | None:
    attempt = world.attempts.pop(key, None)
    if attempt is None:
        world.count("subrequest.late_reply")
        return None
    row = world.servers.get(attempt.server)
    if row is not None:
        row.running.pop(key, None)
        if world.view is not None and attempt.server in world.view.replica_set_of_server:
            world.dirty_queues[world.view.replica_set_of_server[attempt.server]] = None
    return attempt


def _update_server(world: World, row: ServerRow, attempt: AttemptRow, event: ServerReply) -> None:
    if world.view is None or row.name not in world.view.server_by_name:
        return
    health.record_incarnation(world, row, event.incarnation)
    row.usable = True
    if event.state is ReplyState.DONE:
        health.record_success(world, row, world.now - attempt.sent_at)
    elif event.state is ReplyState.SHED:
        row.limit = limit_policies.get(LIMIT_POLICY_NAME)(row.limit)
        row.successes = 0
        health.pause_server(world, row, event.retry_after_s or world.parameters.shed_backoff_s)
    elif event.state is ReplyState.DRAINING:
        row.draining_until = world.now + world.parameters.draining_hold_s


def _complete_item(world: World, item: ItemRow, attempt: AttemptRow, event: ServerReply) -> None:
    job = world.jobs[item.job]
    if event.snapshot != job.request.snapshot or set(event.shards) != set(item.shards):
        world.count("subrequest.foreign_reply")
        jobs.fail_item(world, item, Missing.SERVER_ERROR)
        return
    window = world.group_latency.setdefault(job.request.group, LatencyWindow())
    window.add(world.now - attempt.sent_at)
    suspects.record_harmless(world, job.request.fingerprint, item.replicas)
    job.shards.extend(item.shards)
    job.hits.extend(event.hits)
    jobs.remove_item(world, item)
    jobs.complete_if_done(world, job)


def _handle_failure(world: World, item: ItemRow, event: ServerReply) -> None:
    job = world.jobs[item.job]
    if event.state is not ReplyState.FAILED:
        job.possible_runs -= 1
    job.retry_after_s = max(job.retry_after_s, event.retry_after_s)
    item.failure = _FAILURE_OF_STATE[event.state]
    if event.state is ReplyState.FAILED and job.request.request_id:
        jobs.fail_item(world, item, Missing.SERVER_ERROR)
        return
    _retry(world, item, job, event.state.name.lower())


def _retry(world: World, item: ItemRow, job: JobRow, cause: str) -> None:
    if item.attempts:
        return
    if world.now >= item.deadline:
        jobs.fail_item(world, item, item.failure or Missing.DEADLINE)
        return
    if cause != NOT_SENT and not budgets.spend_retry(world, job.request.group):
        jobs.fail_item(world, item, item.failure or Missing.SERVER_ERROR)
        return
    world.count(f"retry.{cause}")
    dispatch.enqueue(world, item)


@on(ServerLost)
def handle_lost(world: World, event: ServerLost) -> None:
    """Handle a subrequest that ended without a reply."""
    attempt = _remove_attempt(world, event.attempt)
    if attempt is None:
        return
    row = world.servers.get(attempt.server)
    if row is not None and not event.timed_out:
        _investigate_loss(world, row, attempt, sent=event.sent)
    item = world.items.get(attempt.item)
    if item is None or attempt.abandoned:
        return
    item.attempts.discard(attempt.attempt)
    job = world.jobs[item.job]
    if not event.sent:
        job.possible_runs -= 1
        item.failure = Missing.NO_REPLICA
        _retry(world, item, job, NOT_SENT)
    elif job.request.request_id:
        jobs.fail_item(world, item, Missing.OUTCOME_UNKNOWN)
    elif event.timed_out:
        item.failure = Missing.DEADLINE
        _retry(world, item, job, "timeout")
    else:
        item.failure = Missing.OUTCOME_UNKNOWN
        _hold_until_crash_known(world, item, attempt.server)


def _investigate_loss(world: World, row: ServerRow, attempt: AttemptRow, *, sent: bool) -> None:
    """Probe a lost server at once, and record the attempt as a possible cause of a crash."""
    if sent:
        row.suspects[attempt.attempt] = attempt
    health.mark_cold(world, row, "lost")
    health.pause_server(world, row, world.parameters.lost_backoff_s)
    if world.view is not None and row.name in world.view.server_by_name:
        health.probe_now(world, row.name)


def _hold_until_crash_known(world: World, item: ItemRow, server: str) -> None:
    """Hold an item back until it is known whether the server crashed."""
    if not item.attempts:
        item.waits_for_server = server
        world.held_items.setdefault(server, {})[item.item] = None


@on(ServerFoundAlive)
def handle_found_alive(world: World, event: ServerFoundAlive) -> None:
    """Retry the items lost with a connection whose server has not crashed."""
    _retry_held(world, event.server)


@on(ServerRestarted)
def handle_restart(world: World, event: ServerRestarted) -> None:
    """Record the content that a crashed server ran, and retry the items that are not suspect."""
    if world.view is not None and event.server in world.view.replica_set_of_server:
        replicas = world.view.replica_set_of_server[event.server]
        suspects.record_crashes(world, event.attempts, replicas)
    _retry_held(world, event.server)


def _retry_held(world: World, server: str) -> None:
    for key in world.held_items.pop(server, {}):
        item = world.items.get(key)
        if item is None:
            continue
        item.waits_for_server = ""
        job = world.jobs[item.job]
        if suspects.check_content(world, job.request.fingerprint) is not None:
            world.count("refusal.suspect_content")
            jobs.fail_item(world, item, Missing.SUSPECT_CONTENT)
        elif trials.must_avoid(world, job, item.replicas):
            jobs.fail_item(world, item, Missing.OUTCOME_UNKNOWN)
        else:
            _retry(world, item, job, "lost")


@on(SubrequestEnded)
@on(AttemptFreed)
def release_slot(world: World, event: SubrequestEnded | AttemptFreed) -> None:
    """Release the slot of a cancelled attempt."""
    if event.attempt in world.attempts:
        _remove_attempt(world, event.attempt)
