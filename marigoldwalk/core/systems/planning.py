"""Planning: pins each query to one snapshot and splits it into one task for each block."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...errors import Code, Missing, Refusal
from ...util.hashing import stable_hash
from ..peer_messages import BlockCancel, BlockRequest
from ..strategies.routing import routes
from ..tables import Pin, QueryState, TaskRow
from . import answers, entry_trials
from .homes import choose_home

if TYPE_CHECKING:
    from ...config.view import Group
    from ..tables import BlockRow, QueryRow
    from ..world import World

MAX_WAIT_AGE_S = 1.0
"""Age beyond which a queue wait reported by a home no longer counts."""


def start(world: World, row: QueryRow) -> None:
    """Start an admitted query."""
    row.state = QueryState.RUNNING
    pin = pin_snapshot(world, row.index)
    if pin is None:
        answers.refuse(
            world, row, Refusal(Code.NO_SERVER, "no server of this group is known to serve", 1.0)
        )
        return
    group = row.spec
    row.snapshot = pin.snapshot
    row.shard_count = pin.shard_count
    row.target_shards = routes.get(group.route)(row.request.key, pin.shard_count)
    row.tried.clear()
    row.on_trial = entry_trials.needs_trial(world, row, group)
    if row.on_trial:
        entry_trials.start_trial(world, row)
    else:
        send_tasks(world, row, row.target_shards)


def pin_snapshot(world: World, index: str) -> Pin | None:
    """Return the snapshot for new queries to *index*, or ``None`` if no home has reported any.

    This is the newest snapshot of which all shards are available, or else the newest of those with
    the largest fraction of their shards available.
    """
    pin = world.pins.get(index)
    if pin is None or world.now > pin.valid_until:
        pin = _choose_snapshot(world, index)
        if pin is not None:
            world.pins[index] = pin
    return pin


def _choose_snapshot(world: World, index: str) -> Pin | None:
    return max(_find_pins(world, index).values(), key=_pin_rank, default=None)


def _find_pins(world: World, index: str) -> dict[int, Pin]:
    """Return, for each snapshot that homes have reported, the blocks that hold its shards."""
    pins: dict[int, Pin] = {}
    for block in world.view.blocks_of_index.get(index, ()):
        row = world.blocks.get(block.name)
        if row is None or not is_current(world, row):
            continue
        for holding in row.status.holdings:
            pin = pins.setdefault(holding.snapshot, Pin(holding.snapshot, 0, {}))
            pin.shard_count = max(pin.shard_count, holding.shard_count)
            for shard in holding.shards:
                pin.blocks_of_shard[shard] = (*pin.blocks_of_shard.get(shard, ()), block.name)
            pin.valid_until = min(pin.valid_until, row.status_at + world.parameters.status_age_s)
    return pins


def is_current(world: World, row: BlockRow) -> bool:
    """Return whether a block's last status is recent enough to be used."""
    return row.status is not None and (world.now - row.status_at <= world.parameters.status_age_s)


def _pin_rank(pin: Pin) -> tuple[float, int]:
    covered = sum(1 for shard in pin.blocks_of_shard if shard < pin.shard_count)
    return (covered / pin.shard_count if pin.shard_count else 0.0, pin.snapshot)


def send_tasks(world: World, row: QueryRow, shards: frozenset[int], avoid: str = "") -> None:
    """Send tasks for *shards*; shards without a home are recorded as missing."""
    for block, block_shards in _assign_shards(world, row, shards).items():
        _send_task(world, row, block, tuple(block_shards), avoid)
    answers.finish_if_complete(world, row)


def _assign_shards(world: World, row: QueryRow, shards: frozenset[int]) -> dict[str, list[int]]:
    """Assign each shard to a block, and shards that the same blocks hold to the same one."""
    pin = pin_for_query(world, row)
    chosen: dict[tuple[str, ...], str] = {}
    by_block: dict[str, list[int]] = {}
    for shard in sorted(shards):
        candidates = _remaining_blocks(row, pin, shard)
        if not candidates:
            row.missing[shard] = Missing.NO_REPLICA
            continue
        if candidates not in chosen:
            chosen[candidates] = _choose_block(world, row, candidates)
        by_block.setdefault(chosen[candidates], []).append(shard)
    return by_block


def _choose_block(world: World, row: QueryRow, candidates: tuple[str, ...]) -> str:
    if len(candidates) == 1:
        return candidates[0]
    query_key = str(row.query)
    return min(
        candidates,
        key=lambda name: (_block_wait_s(world, name, 0), stable_hash(query_key, name)),
    )


def remaining_blocks(world: World, row: QueryRow, shard: int) -> tuple[str, ...]:
    """Return the blocks that hold a shard of a query's snapshot and have not been asked for it."""
    return _remaining_blocks(row, pin_for_query(world, row), shard)


def _remaining_blocks(row: QueryRow, pin: Pin, shard: int) -> tuple[str, ...]:
    holders = pin.blocks_of_shard.get(shard, ())
    asked = row.asked_blocks.get(shard)
    return tuple(block for block in holders if block not in asked) if asked else holders


def pin_for_query(world: World, row: QueryRow) -> Pin:
    """Return the blocks that now hold the snapshot to which a query is pinned."""
    pin = pin_snapshot(world, row.index)
    if pin is not None and pin.snapshot == row.snapshot:
        return pin
    return _find_pins(world, row.index).get(row.snapshot) or Pin(row.snapshot, row.shard_count, {})


def _send_task(
    world: World, row: QueryRow, block: str, shards: tuple[int, ...], avoid: str
) -> None:
    home = choose_home(world, block, avoid)
    if home is None:
        row.missing.update(dict.fromkeys(shards, Missing.NO_HOME))
        return
    task = TaskRow(world.new_key(), row.query, block, home, shards, row.snapshot, world.now)
    task.trial = row.on_trial
    world.tasks[task.task] = task
    row.tasks.add(task.task)
    for shard in shards:
        # An earlier attempt may have found no home for it.
        row.missing.pop(shard, None)
    world.send_message(home, _block_request(world, row, task))


def _block_request(world: World, row: QueryRow, task: TaskRow) -> BlockRequest:
    group = row.spec
    parameters = world.parameters
    margin_s = parameters.caller_margin_s + parameters.relay_margin_s
    return BlockRequest(
        task=task.task,
        block=task.block,
        group=row.group,
        index=row.index,
        snapshot=row.snapshot,
        shards=task.shards,
        body=row.request.body,
        fingerprint=row.fingerprint,
        request_id="" if group.repeatable else row.request.request_id,
        priority=group.priority,
        merge=group.merge,
        limit=row.request.limit or group.limit,
        answer_by=row.answer_by - margin_s,
        deadline=row.deadline - margin_s,
        min_coverage=group.min_coverage,
        canary=row.on_trial,
    )


def cancel_tasks(world: World, row: QueryRow) -> None:
    """Cancel all tasks of a query that have no reply yet."""
    for key in sorted(row.tasks):
        task = world.tasks.pop(key)
        world.send_message(task.home, BlockCancel(task.task))
    row.tasks.clear()


def expected_wait_s(world: World, group: Group) -> float:
    """Return the longest queue wait that homes report for the group's index, in seconds.

    For a shard that several blocks hold, the shortest of their waits counts.
    """
    pin = pin_snapshot(world, group.index)
    if pin is None:
        return 0.0
    waits: dict[tuple[str, ...], float] = {}
    for blocks in dict.fromkeys(pin.blocks_of_shard.values()):
        waits[blocks] = min(_block_wait_s(world, name, group.priority) for name in blocks)
    return max(waits.values(), default=0.0)


def _block_wait_s(world: World, block: str, priority: int) -> float:
    row = world.blocks.get(block)
    if row is None or not row.waits_s or world.now - row.waits_at > MAX_WAIT_AGE_S:
        return 0.0
    return row.waits_s[min(priority, len(row.waits_s) - 1)]
