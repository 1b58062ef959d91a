"""Trials at an entry: unknown content runs on one shard before all others.

A trial is a canary request; the configuration and the peer messages name it ``canary``. If a trial
is slow or its server crashes, another one starts on a different shard. The order of the shards
depends on the content alone, so that all daemons try the same content at the same homes. Nothing is
sent to the other shards until a trial has succeeded.
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
"""Part of the deadline after which the second and later trials count as slow."""
MESSAGE_DELAY_S = 0.004
"""Allowance for the time that a trial's messages take between daemons and to the server."""


def needs_trial(world: World, row: QueryRow, group: Group) -> bool:
    """Return whether a query goes to several shards and its content is not known to be harmless."""
    fans_out = len(row.target_shards) > 1
    return group.canary and fans_out and not suspects.is_proven(world, row.fingerprint)


def start_trial(world: World, row: QueryRow) -> None:
    """Send a query to one shard on which it has not been tried."""
    shard = _next_shard(world, row)
    if shard is None:
        _fail_query(world, row, Missing.DEADLINE)
        return
    row.tried.add(shard)
    world.after(_trial_timeout_s(world, row), TrialDue(row.query, len(row.tried)))
    planning.send_tasks(world, row, frozenset({shard}))


def _next_shard(world: World, row: QueryRow) -> int | None:
    if len(row.tried) >= MAX_TRIALS_COUNT:
        return None
    served = planning.pin_for_query(world, row).blocks_of_shard.keys()
    untried = sorted((row.target_shards & served) - row.tried)
    return min(untried, key=lambda shard: stable_hash(row.fingerprint, str(shard)), default=None)


def _trial_timeout_s(world: World, row: QueryRow) -> float:
    repeat_s = (row.deadline - row.received_at) * REPEAT_RATIO
    if len(row.tried) > 1:
        return repeat_s
    return min(dispatch.hedge_delay_s(world, row.group) + MESSAGE_DELAY_S, repeat_s)


@on(TrialDue)
def repeat_slow_trial(world: World, event: TrialDue) -> None:
    """Start another trial if the latest one is slow."""
    row = world.queries.get(event.query)
    if row is None or not row.on_trial or event.trials != len(row.tried):
        return
    crash_count = suspects.trial_crash_count(world, row.fingerprint)
    if crash_count + len(row.tasks) >= world.parameters.suspect_deaths_count:
        # Each open trial may have crashed its server, although nobody has seen it yet.
        world.count("trial.held")
        return
    if _next_shard(world, row) is not None:
        world.count("trial.slow")
        start_trial(world, row)


def handle_reply(world: World, row: QueryRow, reply: BlockReply) -> None:
    """Fan out after a harmless trial; otherwise try another shard or refuse the content."""
    if reply.shards:
        row.on_trial = False
        if not row.at_most_once:
            # Trials are not hedged, so the shard of a slow one is sent again like the others.
            planning.cancel_tasks(world, row)
        outstanding = {shard for task in row.tasks for shard in world.tasks[task].shards}
        planning.send_tasks(world, row, row.target_shards - row.answered - outstanding)
        return
    reason = reply.missing[0].reason
    if reason is Missing.SUSPECT_CONTENT:
        _fail_query(world, row, reason)
    elif row.tasks:
        # Another trial is running, and its result or its timer decides.
        return
    elif _next_shard(world, row) is None:
        _fail_query(world, row, reason)
    else:
        world.count(f"trial.{reason.name.lower()}")
        start_trial(world, row)


def _fail_query(world: World, row: QueryRow, reason: Missing) -> None:
    row.on_trial = False
    row.ran = row.ran or bool(row.tasks)
    if reason is Missing.OUTCOME_UNKNOWN:
        reason = Missing.SUSPECT_CONTENT
    row.missing.update(dict.fromkeys(sorted(row.target_shards), reason))
    answers.finish(world, row)
