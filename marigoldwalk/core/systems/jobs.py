"""Jobs: the block requests that this daemon works on as a home."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...errors import Missing
from ..actions import CancelSubrequest
from ..engine import on, on_message
from ..peer_messages import BlockCancel, BlockReply, BlockRequest, MissingShard
from ..strategies.merging import merges
from ..tables import Allowance, ItemRow, JobRow
from ..timers import AttemptFreed, JobAnswerDue, JobDue, PruneDue
from . import budgets, dispatch, health, suspects, trials, waits
from .allowances import is_waiting_for_homes
from .configuration import view_trusted

if TYPE_CHECKING:
    from ...config.view import ReplicaSet
    from ..events import PeerReceived
    from ..tables import AttemptRow
    from ..world import World

TASK_RETENTION_S = 5.0
"""How long after its deadline a finished or cancelled block request is remembered."""


@on_message(BlockRequest)
def receive(world: World, event: PeerReceived) -> None:
    """Accept a block request, and ignore repeats of it."""
    request: BlockRequest = event.message
    key = (event.sender, request.task)
    if key in world.recent_tasks:
        world.count("task.repeated")
        return
    world.recent_tasks[key] = request.deadline + TASK_RETENTION_S
    if request.deadline <= world.now:
        world.count("task.expired")
        return
    job = JobRow(world.new_key(), event.sender, request, world.now)
    world.jobs[job.job] = job
    world.job_by_task[key] = job.job
    world.at(request.deadline, JobDue(job.job))
    if request.answer_by < request.deadline:
        world.at(request.answer_by, JobAnswerDue(job.job))
    if not trials.wait_for_trial(world, job):
        start(world, job)


def start(world: World, job: JobRow) -> None:
    """Queue a job's work, or refuse it at once with a reason."""
    refusal = _find_refusal(world, job)
    if refusal is not None:
        refuse_all(world, job, refusal)
        return
    assignment = _assign_shards(world, job)
    budgets.credit(world, job.request.group, len(assignment))
    if _coverage_unreachable(world, job, assignment):
        _refuse_overloaded(world, job, assignment)
        return
    for replicas, shards in assignment.items():
        _queue_shards(world, job, world.view.replica_set_by_name[replicas], tuple(shards))
    complete_if_done(world, job)


def _find_refusal(world: World, job: JobRow) -> Missing | None:
    row = world.blocks.get(job.request.block)
    if row is None or world.view is None:
        return Missing.NO_HOME
    if not view_trusted(world):
        return Missing.VIEW_DOUBTFUL
    if row.allowance is Allowance.NONE and not is_waiting_for_homes(world, row):
        return Missing.NO_HOME
    if job.request.group not in world.view.group_by_name:
        return Missing.VIEW_DOUBTFUL
    if suspects.check_content(world, job.request.fingerprint) is not None:
        return Missing.SUSPECT_CONTENT
    return None


def refuse_all(world: World, job: JobRow, reason: Missing) -> None:
    """End a job that has sent nothing, with the same reason for all its shards."""
    job.missing.extend(MissingShard(shard, reason) for shard in job.request.shards)
    finish(world, job)


def _assign_shards(world: World, job: JobRow) -> dict[str, list[int]]:
    """Assign each shard to the first replica set that holds it; the others are missing."""
    request = job.request
    replica_sets = world.view.replica_sets_of_block[request.block]
    unassigned = dict.fromkeys(request.shards)
    by_replicas: dict[str, list[int]] = {}
    for replicas in replica_sets:
        held = dispatch.held_shards(world, request, replicas)
        assigned = [shard for shard in unassigned if shard in held]
        if assigned:
            by_replicas[replicas.name] = assigned
        for shard in assigned:
            del unassigned[shard]
    if unassigned:
        reason = _reason_not_held(world, request, replica_sets)
        job.missing.extend(MissingShard(shard, reason) for shard in unassigned)
    return by_replicas


def _reason_not_held(
    world: World, request: BlockRequest, replica_sets: tuple[ReplicaSet, ...]
) -> Missing:
    """Return why no server holds a shard: the snapshot was dropped, or no replica is usable.

    A home that has not yet probed all its servers answers ``NO_HOME``, so that the entry tries
    again.
    """
    names = [server.name for replicas in replica_sets for server in replicas.servers]
    rows = [world.servers[name] for name in names if name in world.servers]
    if not health.has_probed_block(world, request.block):
        return Missing.NO_HOME
    serving = [row for row in rows if health.is_serving(world, row) and row.holdings]
    known = any(health.holds_shards(row, request.snapshot, ()) for row in serving)
    return Missing.SNAPSHOT_GONE if serving and not known else Missing.NO_REPLICA


def _queue_shards(world: World, job: JobRow, replicas: ReplicaSet, shards: tuple[int, ...]) -> None:
    request = job.request
    if trials.must_avoid(world, job, replicas.name):
        job.missing.extend(MissingShard(shard, Missing.OUTCOME_UNKNOWN) for shard in shards)
        return
    item = ItemRow(
        world.new_key(), job.job, replicas.name, shards, request.priority, request.deadline
    )
    if waits.is_wait_too_long(world, request, replicas) or not dispatch.ensure_queue_capacity(
        world, replicas, item
    ):
        _refuse_shards(world, job, replicas, shards)
        return
    world.items[item.item] = item
    job.pending_items.add(item.item)
    dispatch.enqueue(world, item)


def _refuse_shards(
    world: World, job: JobRow, replicas: ReplicaSet, shards: tuple[int, ...]
) -> None:
    """Refuse shards because their queue is full."""
    world.count("queue.refused")
    wait_s = waits.expected_wait_s(world, replicas, job.request.priority)
    job.retry_after_s = max(job.retry_after_s, wait_s, world.parameters.overload_s)
    job.missing.extend(MissingShard(shard, Missing.OVERLOADED) for shard in shards)


def _coverage_unreachable(world: World, job: JobRow, assignment: dict[str, list[int]]) -> bool:
    """Return whether full queues keep a job below its group's minimum coverage.

    The whole job is then refused at once, before any part of it takes a slot.
    """
    request = job.request
    replica_sets = world.view.replica_set_by_name
    refused = sum(
        len(shards)
        for name, shards in assignment.items()
        if waits.is_wait_too_long(world, request, replica_sets[name])
    )
    return bool(refused) and len(request.shards) - refused < (
        request.min_coverage * len(request.shards)
    )


def _refuse_overloaded(world: World, job: JobRow, assignment: dict[str, list[int]]) -> None:
    for name, shards in assignment.items():
        _refuse_shards(world, job, world.view.replica_set_by_name[name], tuple(shards))
    finish(world, job)


def fail_item(world: World, item: ItemRow, reason: Missing) -> None:
    """End an item without a result and cancel its attempts."""
    job = world.jobs[item.job]
    job.missing.extend(MissingShard(shard, reason) for shard in item.shards)
    remove_item(world, item)
    complete_if_done(world, job)


def remove_item(world: World, item: ItemRow) -> None:
    """Remove an item and cancel its attempts in flight."""
    item.done = True
    world.jobs[item.job].pending_items.discard(item.item)
    world.items.pop(item.item, None)
    for key in sorted(item.attempts):
        _cancel_attempt(world, world.attempts[key])
    item.attempts.clear()


def _cancel_attempt(world: World, attempt: AttemptRow) -> None:
    attempt.abandoned = True
    world.emit(CancelSubrequest(attempt.attempt))
    ends_at = max(world.now, attempt.deadline) + world.parameters.cancel_grace_s
    world.at(ends_at, AttemptFreed(attempt.attempt))
    row = world.servers.get(attempt.server)
    if row is None:
        return
    elapsed_s = world.now - attempt.sent_at
    health.record_abandoned(row, elapsed_s)
    if world.now >= attempt.deadline:
        health.record_timeout(world, row, elapsed_s)


def complete_if_done(world: World, job: JobRow) -> None:
    """Reply if no item is outstanding."""
    if not job.pending_items and job.job in world.jobs:
        finish(world, job)


@on(JobAnswerDue)
def answer_early(world: World, event: JobAnswerDue) -> None:
    """Reply without the outstanding shards if the minimum coverage is reached."""
    job = world.jobs.get(event.job)
    if job is not None and len(job.shards) >= job.request.min_coverage * len(job.request.shards):
        _fail_pending(world, job, Missing.LATE)


@on(JobDue)
def answer_at_deadline(world: World, event: JobDue) -> None:
    """Reply at the deadline with the available results."""
    job = world.jobs.get(event.job)
    if job is None:
        return
    if not job.pending_items:
        refuse_all(world, job, Missing.DEADLINE)
        return
    _fail_pending(world, job, Missing.DEADLINE)


def _fail_pending(world: World, job: JobRow, reason: Missing) -> None:
    for key in sorted(job.pending_items):
        item = world.items.get(key)
        if item is not None:
            fail_item(world, item, _missing_reason(job, item, reason))


def _missing_reason(job: JobRow, item: ItemRow, reason: Missing) -> Missing:
    if job.request.request_id and item.attempts:
        return Missing.OUTCOME_UNKNOWN
    return reason


def finish(world: World, job: JobRow) -> None:
    """Send a job's merged result to its entry and remove the job."""
    request = job.request
    world.send_message(
        job.entry,
        BlockReply(
            task=request.task,
            block=request.block,
            snapshot=request.snapshot,
            shards=tuple(sorted(job.shards)),
            hits=merges.get(request.merge)(job.hits, request.limit),
            missing=tuple(sorted(job.missing, key=lambda missing: missing.shard)),
            ran=job.possible_runs > 0,
            retry_after_s=job.retry_after_s,
            attempts=job.attempts,
            waits_s=waits.estimate_waits(world, request.block),
        ),
    )
    remove_job(world, job)


def remove_job(world: World, job: JobRow) -> None:
    """Remove a job and its items, and cancel their attempts."""
    for key in sorted(job.pending_items):
        item = world.items.get(key)
        if item is not None:
            remove_item(world, item)
    world.jobs.pop(job.job, None)
    world.job_by_task.pop((job.entry, job.request.task), None)
    trials.end_trial(world, job)


@on_message(BlockCancel)
def cancel(world: World, event: PeerReceived) -> None:
    """Cancel a job for its entry, even if the cancellation arrives before the request."""
    message: BlockCancel = event.message
    key = (event.sender, message.task)
    world.recent_tasks.setdefault(key, world.now + TASK_RETENTION_S)
    job = world.jobs.get(world.job_by_task.get(key, 0))
    if job is not None:
        world.count("task.cancelled")
        remove_job(world, job)


@on(PruneDue)
def prune_tasks(world: World, event: PruneDue) -> None:
    """Remove block requests whose retention has ended."""
    world.recent_tasks = {
        key: until for key, until in world.recent_tasks.items() if until > world.now
    }
