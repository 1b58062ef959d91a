"""Trials as an entry sees them: unknown content runs on one shard before it is sent to all.

A trial that has no result in good time, or whose server died, is followed by one on another shard.
The shards and their order follow from the content, so that all daemons try the same content at the
same homes. Nothing is sent to the other shards until a trial has run without harm.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...errors import Missing
from ...util.hashing import stable_hash
from ..engine import on
from ..timers import TrialDue
from . import answers, dispatch, planning, suspects

if TYPE_CHECKING:
    from ...config.view import Group
    from ..peer_messages import BlockReply
    from ..tables import QueryRow
    from ..world import World

MAX_TRIALS_COUNT = 8
REPEAT_RATIO = 0.2
"""Part of the deadline after which the second and later trials are followed by another."""
TRAVEL_S = 0.004
"""Time that a trial's messages between daemons and to the server may take."""


def needs_trial(world: World, row: QueryRow, group: Group) -> bool:
    """Return whether a query goes to several shards with content not known to be harmless."""
    wide = len(row.wanted) > 1
    return group.canary and wide and not suspects.is_proven(world, row.fingerprint)


def begin(world: World, row: QueryRow) -> None:
    """Send a query to one shard that it has not been tried on."""
    shard = _next_shard(world, row)
    if shard is None:
        _give_up(world, row, Missing.DEADLINE)
        return
    row.tried.add(shard)
    world.after(_patience_s(world, row), TrialDue(row.query, len(row.tried)))
    planning.send(world, row, frozenset({shard}))


def _next_shard(world: World, row: QueryRow) -> int | None:
    if len(row.tried) >= MAX_TRIALS_COUNT:
        return None
    served = planning.pin_of(world, row).blocks_of_shard.keys()
    untried = sorted((row.wanted & served) - row.tried)
    return min(untried, key=lambda shard: stable_hash(row.fingerprint, str(shard)), default=None)


def _patience_s(world: World, row: QueryRow) -> float:
    repeat_s = (row.deadline - row.received_at) * REPEAT_RATIO
    if len(row.tried) > 1:
        return repeat_s
    return min(dispatch.hedge_delay_s(world, row.group) + TRAVEL_S, repeat_s)


@on(TrialDue)
def repeat(world: World, event: TrialDue) -> None:
    """Begin another trial when the last one is slow."""
    row = world.queries.get(event.query)
    if row is None or not row.canary or event.trials != len(row.tried):
        return
    if _next_shard(world, row) is not None:
        world.count("trial.slow")
        begin(world, row)


def end(world: World, row: QueryRow, reply: BlockReply) -> None:
    """Fan out after a harmless trial; otherwise try elsewhere or refuse the content."""
    if reply.shards:
        row.canary = False
        if not row.at_most_once:
            # A slow trial is not hedged, so its shard is sent again like the others.
            planning.cancel_tasks(world, row)
        under_way = {shard for task in row.tasks for shard in world.tasks[task].shards}
        planning.send(world, row, row.wanted - row.answered - under_way)
        return
    reason = reply.missing[0].reason
    if reason is Missing.SUSPECT_CONTENT:
        _give_up(world, row, reason)
    elif row.tasks:
        # Another trial runs, and its result or its timer decides.
        return
    elif _next_shard(world, row) is None:
        _give_up(world, row, reason)
    else:
        world.count(f"trial.{reason.name.lower()}")
        begin(world, row)


def _give_up(world: World, row: QueryRow, reason: Missing) -> None:
    row.canary = False
    row.ran = row.ran or bool(row.tasks)
    if reason is Missing.OUTCOME_UNKNOWN:
        reason = Missing.SUSPECT_CONTENT
    row.missing.update(dict.fromkeys(sorted(row.wanted), reason))
    answers.finish(world, row)
