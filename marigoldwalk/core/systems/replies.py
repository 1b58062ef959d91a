"""Replies of homes to an entry: accepted once, for the pinned snapshot only."""

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
from .waits import note_waits

if TYPE_CHECKING:
    from ..events import PeerReceived
    from ..peer_messages import MissingShard
    from ..tables import QueryRow, TaskRow
    from ..world import World

MAX_RESENDS = 12
"""How often a shard is sent again while its block changes homes."""
RESEND_DELAY_S = 0.02
"""Time before the second and later resends of a shard."""

_RESENT = frozenset({Missing.NO_HOME, Missing.VIEW_DOUBTFUL})
"""Reasons after which another home may do better; nothing of the task has run."""
_OF_BLOCK = frozenset({Missing.NO_REPLICA, Missing.OVERLOADED})
"""Reasons after which another block that holds the shard may do better."""


@on_message(BlockReply)
def receive(world: World, event: PeerReceived) -> None:
    """Take in a home's reply to an outstanding task."""
    reply: BlockReply = event.message
    task = world.tasks.get(reply.task)
    if task is None or task.home != event.sender:
        world.count("reply.late_or_foreign")
        return
    note_waits(world, reply.block, reply.waits_s)
    row = world.queries[task.query]
    _take_out(world, row, task)
    row.ran = row.ran or reply.ran
    row.subrequests += reply.attempts
    row.retry_after_s = max(row.retry_after_s, reply.retry_after_s)
    if not _is_sound(row, task, reply):
        world.count("reply.unsound")
        row.missing.update(dict.fromkeys(task.shards, Missing.SERVER_ERROR))
        answers.finish_if_complete(world, row)
        return
    row.answered.update(reply.shards)
    row.hits.extend(reply.hits)
    gone = any(shard.reason is Missing.SNAPSHOT_GONE for shard in reply.missing)
    if gone and _restart(world, row):
        return
    if row.canary:
        entry_trials.end(world, row, reply)
        return
    _handle_missing(world, row, task, reply.missing)


def _take_out(world: World, row: QueryRow, task: TaskRow) -> None:
    del world.tasks[task.task]
    row.tasks.discard(task.task)


def _is_sound(row: QueryRow, task: TaskRow, reply: BlockReply) -> bool:
    """Return whether a reply speaks of the pinned snapshot and of each of its shards once."""
    spoken = [*reply.shards, *(missing.shard for missing in reply.missing)]
    return (
        reply.snapshot == row.snapshot == task.snapshot
        and sorted(spoken) == sorted(task.shards)
        and row.answered.isdisjoint(reply.shards)
    )


def _handle_missing(
    world: World, row: QueryRow, task: TaskRow, missing: tuple[MissingShard, ...]
) -> None:
    again: set[int] = set()
    elsewhere: set[int] = set()
    for shard in missing:
        if _is_resent(task, shard) and _may_resend(row, shard.shard):
            again.add(shard.shard)
        elif _has_other_block(world, row, task, shard):
            elsewhere.add(shard.shard)
        else:
            row.missing[shard.shard] = shard.reason
    if _is_hopeless(row):
        world.count("query.hopeless")
        answers.give_up(world, row, Missing.OVERLOADED)
        return
    if elsewhere:
        world.count("retry.block", len(elsewhere))
        planning.send(world, row, frozenset(elsewhere))
    if again:
        _resend_refused(world, row, frozenset(again), task.home)
        return
    answers.finish_if_complete(world, row)


def _is_resent(task: TaskRow, shard: MissingShard) -> bool:
    # By now the content is known to be harmless, so a trial that another one overtook goes on.
    overtaken = task.trial and shard.reason is Missing.OUTCOME_UNKNOWN
    return shard.reason in _RESENT or overtaken


def _has_other_block(world: World, row: QueryRow, task: TaskRow, missing: MissingShard) -> bool:
    """Return whether a block that was not asked yet holds a shard of which nothing ran."""
    if missing.reason not in _OF_BLOCK or (row.at_most_once and row.ran):
        return False
    row.asked_blocks.setdefault(missing.shard, set()).add(task.block)
    return bool(planning.blocks_left(world, row, missing.shard))


def _is_hopeless(row: QueryRow) -> bool:
    """Return whether full queues keep a query from reaching its group's least coverage."""
    left = len(row.wanted) - len(row.missing)
    overloaded = Missing.OVERLOADED in row.missing.values()
    return overloaded and not row.at_most_once and left < row.spec.min_coverage * len(row.wanted)


def _may_resend(row: QueryRow, shard: int) -> bool:
    row.resends[shard] = row.resends.get(shard, 0) + 1
    return row.resends[shard] <= MAX_RESENDS


def _resend_refused(world: World, row: QueryRow, shards: frozenset[int], home: str) -> None:
    world.count("retry.home", len(shards))
    if max(row.resends[shard] for shard in shards) == 1:
        planning.send(world, row, shards, avoid=home)
        return
    row.resending |= shards
    world.after(RESEND_DELAY_S, ResendDue(row.query, shards))


@on(ResendDue)
def resend(world: World, event: ResendDue) -> None:
    """Send shards again, if their query is still open."""
    row = world.queries.get(event.query)
    if row is not None and event.shards <= row.resending:
        row.resending -= event.shards
        planning.send(world, row, event.shards)


def _restart(world: World, row: QueryRow) -> bool:
    """Begin the whole query again at a newer snapshot, once."""
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
    planning.begin(world, row)
    return True


@on(PeerChanged)
def resend_from_lost_home(world: World, event: PeerChanged) -> None:
    """Send the tasks of a home that cannot be reached any more to the other one."""
    if is_reachable(world, event.peer):
        return
    lost = [task for task in world.tasks.values() if task.home == event.peer]
    for task in lost:
        row = world.queries.get(task.query)
        if row is not None and row.state is QueryState.RUNNING and task.task in world.tasks:
            _resend(world, row, task)


def _resend(world: World, row: QueryRow, task: TaskRow) -> None:
    if row.at_most_once:
        _give_up_once(world, row, task)
        return
    if choose_home(world, task.block, avoid=task.home) in (None, task.home):
        return
    _take_out(world, row, task)
    world.count("retry.home_lost", len(task.shards))
    planning.send(world, row, frozenset(task.shards), avoid=task.home)


def _give_up_once(world: World, row: QueryRow, task: TaskRow) -> None:
    """Answer a request that may have run at a home which will never reply.

    While the home's process may still be there, its reply can still come.
    """
    if not world.peers[task.home].gone:
        return
    _take_out(world, row, task)
    row.ran = True
    row.missing.update(dict.fromkeys(task.shards, Missing.OUTCOME_UNKNOWN))
    answers.finish_if_complete(world, row)
