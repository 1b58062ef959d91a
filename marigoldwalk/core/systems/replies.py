"""Replies of homes: an entry accepts each once, and for the pinned snapshot only."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...errors import Missing
from ..engine import on, on_message
from ..peer_messages import BlockReply
from ..tables import QueryState
from ..timers import PeerChanged, ResendDue
from . import answers, entry_trials, planning
from .homes import choose_home
from .membership import is_reachable
from .waits import record_waits

if TYPE_CHECKING:
    from ..events import PeerReceived
    from ..peer_messages import MissingShard
    from ..tables import QueryRow, TaskRow
    from ..world import World

MAX_RESENDS = 12
"""How often a shard is resent while its block moves to another home."""
RESEND_DELAY_S = 0.02
"""Delay before the second and later resends of a shard."""

_RESEND_REASONS = frozenset({Missing.NO_HOME, Missing.VIEW_DOUBTFUL})
"""Reasons after which another home may succeed; nothing of the task has run."""
_OTHER_BLOCK_REASONS = frozenset({Missing.NO_REPLICA, Missing.OVERLOADED})
"""Reasons after which another block that holds the shard may succeed."""


@on_message(BlockReply)
def receive(world: World, event: PeerReceived) -> None:
    """Handle a home's reply to an outstanding task."""
    reply: BlockReply = event.message
    task = world.tasks.get(reply.task)
    if task is None or task.home != event.sender:
        world.count("reply.late_or_foreign")
        return
    record_waits(world, reply.block, reply.waits_s)
    row = world.queries[task.query]
    _remove_task(world, row, task)
    row.ran = row.ran or reply.ran
    row.subrequests += reply.attempts
    row.retry_after_s = max(row.retry_after_s, reply.retry_after_s)
    if not _is_valid(row, task, reply):
        world.count("reply.unsound")
        row.missing.update(dict.fromkeys(task.shards, Missing.SERVER_ERROR))
        answers.finish_if_complete(world, row)
        return
    row.answered.update(reply.shards)
    row.hits.extend(reply.hits)
    snapshot_gone = any(shard.reason is Missing.SNAPSHOT_GONE for shard in reply.missing)
    if snapshot_gone and _restart_query(world, row):
        return
    if row.on_trial:
        entry_trials.handle_reply(world, row, reply)
        return
    _handle_missing(world, row, task, reply.missing)


def _remove_task(world: World, row: QueryRow, task: TaskRow) -> None:
    del world.tasks[task.task]
    row.tasks.discard(task.task)


def _is_valid(row: QueryRow, task: TaskRow, reply: BlockReply) -> bool:
    """Return whether a reply is for the pinned snapshot and covers each shard of the task once."""
    reported = [*reply.shards, *(missing.shard for missing in reply.missing)]
    return (
        reply.snapshot == row.snapshot == task.snapshot
        and sorted(reported) == sorted(task.shards)
        and row.answered.isdisjoint(reply.shards)
    )


def _handle_missing(
    world: World, row: QueryRow, task: TaskRow, missing: tuple[MissingShard, ...]
) -> None:
    to_resend: set[int] = set()
    to_other_blocks: set[int] = set()
    for shard in missing:
        if _should_resend(task, shard) and _may_resend(row, shard.shard):
            to_resend.add(shard.shard)
        elif _has_other_block(world, row, task, shard):
            to_other_blocks.add(shard.shard)
        else:
            row.missing[shard.shard] = shard.reason
    if _coverage_unreachable(row):
        world.count("query.hopeless")
        answers.finish_incomplete(world, row, Missing.OVERLOADED)
        return
    if to_other_blocks:
        world.count("retry.block", len(to_other_blocks))
        planning.send_tasks(world, row, frozenset(to_other_blocks))
    if to_resend:
        _resend_refused(world, row, frozenset(to_resend), task.home)
        return
    answers.finish_if_complete(world, row)


def _should_resend(task: TaskRow, shard: MissingShard) -> bool:
    # Another trial has meanwhile shown the content to be harmless, so this shard can be resent.
    overtaken = task.trial and shard.reason is Missing.OUTCOME_UNKNOWN
    return shard.reason in _RESEND_REASONS or overtaken


def _has_other_block(world: World, row: QueryRow, task: TaskRow, missing: MissingShard) -> bool:
    """Return whether a shard that has not run can be requested from another block."""
    if missing.reason not in _OTHER_BLOCK_REASONS or (row.at_most_once and row.ran):
        return False
    row.asked_blocks.setdefault(missing.shard, set()).add(task.block)
    return bool(planning.remaining_blocks(world, row, missing.shard))


def _coverage_unreachable(row: QueryRow) -> bool:
    """Return whether full queues keep a query below its group's minimum coverage."""
    obtainable = len(row.target_shards) - len(row.missing)
    overloaded = Missing.OVERLOADED in row.missing.values()
    return (
        overloaded
        and not row.at_most_once
        and obtainable < row.spec.min_coverage * len(row.target_shards)
    )


def _may_resend(row: QueryRow, shard: int) -> bool:
    row.resends[shard] = row.resends.get(shard, 0) + 1
    return row.resends[shard] <= MAX_RESENDS


def _resend_refused(world: World, row: QueryRow, shards: frozenset[int], home: str) -> None:
    world.count("retry.home", len(shards))
    if max(row.resends[shard] for shard in shards) == 1:
        planning.send_tasks(world, row, shards, avoid=home)
        return
    row.resending |= shards
    world.after(RESEND_DELAY_S, ResendDue(row.query, shards))


@on(ResendDue)
def resend(world: World, event: ResendDue) -> None:
    """Resend shards if their query is still open."""
    row = world.queries.get(event.query)
    if row is not None and event.shards <= row.resending:
        row.resending -= event.shards
        planning.send_tasks(world, row, event.shards)


def _restart_query(world: World, row: QueryRow) -> bool:
    """Restart the whole query at a newer snapshot, at most once."""
    world.pins.pop(row.index, None)
    pin = planning.pin_snapshot(world, row.index)
    if row.restarted or pin is None or pin.snapshot <= row.snapshot:
        return False
    if row.at_most_once and row.ran:
        return False
    world.count("retry.snapshot_gone")
    row.restarted = True
    planning.cancel_tasks(world, row)
    row.answered.clear()
    row.missing.clear()
    row.hits.clear()
    row.resending.clear()
    planning.start(world, row)
    return True


@on(PeerChanged)
def resend_from_lost_home(world: World, event: PeerChanged) -> None:
    """Resend the tasks of an unreachable home to the other home of their block."""
    if is_reachable(world, event.peer):
        return
    lost = [task for task in world.tasks.values() if task.home == event.peer]
    for task in lost:
        row = world.queries.get(task.query)
        if row is not None and row.state is QueryState.RUNNING and task.task in world.tasks:
            _resend_task(world, row, task)


def _resend_task(world: World, row: QueryRow, task: TaskRow) -> None:
    if row.at_most_once:
        _finish_lost_task(world, row, task)
        return
    if choose_home(world, task.block, avoid=task.home) in (None, task.home):
        return
    _remove_task(world, row, task)
    world.count("retry.home_lost", len(task.shards))
    planning.send_tasks(world, row, frozenset(task.shards), avoid=task.home)


def _finish_lost_task(world: World, row: QueryRow, task: TaskRow) -> None:
    """Record an unknown outcome for a task whose home will never reply.

    While the home's process may still be running, its reply can still arrive.
    """
    if not world.peers[task.home].process_ended:
        return
    _remove_task(world, row, task)
    row.ran = True
    row.missing.update(dict.fromkeys(task.shards, Missing.OUTCOME_UNKNOWN))
    answers.finish_if_complete(world, row)
