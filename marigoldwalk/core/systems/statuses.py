"""What each block can serve: told by its home, remembered by every daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..engine import each_tick, on, on_message
from ..peer_messages import BlockStatus, Holding
from ..tables import Allowance, Role
from ..timers import HeartbeatDue
from . import health, waits
from .homes import choose_home

if TYPE_CHECKING:
    from ..events import PeerReceived
    from ..tables import BlockRow
    from ..world import World


def mark_block(world: World, block: str) -> None:
    """Have a block's status looked at again in this tick."""
    world.marked_blocks[block] = None


@on(HeartbeatDue)
def refresh(world: World, event: HeartbeatDue) -> None:
    """Repeat statuses now and then, so that a lost message does no lasting harm."""
    for row in world.own_blocks.values():
        if _tells(row) and world.now - row.told_at >= world.parameters.status_s:
            row.told = None
            mark_block(world, row.name)


def _tells(row: BlockRow) -> bool:
    return row.role is Role.FIRST or row.allowance is not Allowance.NONE


@each_tick
def tell_changes(world: World) -> None:
    """Tell the statuses that changed in this tick."""
    marked, world.marked_blocks = world.marked_blocks, {}
    for name in marked:
        row = world.blocks.get(name)
        if row is not None and _tells(row) and health.has_probed_block(world, name):
            _tell(world, row)


def _tell(world: World, row: BlockRow) -> None:
    holdings = _holdings(world, row.name)
    warm = _warm(world, row.name)
    if row.told is not None and (row.told.holdings, row.told.warm) == (holdings, warm):
        return
    status = BlockStatus(
        block=row.name,
        sequence=world.new_key(),
        sent_at=world.now,
        holdings=holdings,
        waits_s=waits.estimate_waits(world, row.name),
        warm=warm,
    )
    row.told = status
    row.told_at = world.now
    world.tell_all(status)
    world.tell(world.identity.name, status)


def _holdings(world: World, block: str) -> tuple[Holding, ...]:
    shards: dict[int, set[int]] = {}
    counts: dict[int, int] = {}
    for name in world.view.block_by_name[block].servers:
        row = world.servers.get(name)
        if row is None or not health.is_serving(world, row):
            continue
        for holding in row.holdings:
            shards.setdefault(holding.snapshot, set()).update(holding.shards)
            counts[holding.snapshot] = max(counts.get(holding.snapshot, 0), holding.shard_count)
    return tuple(
        Holding(snapshot, counts[snapshot], tuple(sorted(shards[snapshot])))
        for snapshot in sorted(shards)
    )


def _warm(world: World, block: str) -> tuple[str, ...]:
    rows = [world.servers.get(name) for name in world.view.block_by_name[block].servers]
    return tuple(
        row.incarnation for row in rows if row is not None and row.limit > health.COLD_LIMIT
    )


@on_message(BlockStatus)
def hear_status(world: World, event: PeerReceived) -> None:
    """Remember the status that a block's present home told."""
    status: BlockStatus = event.message
    row = world.blocks.get(status.block)
    if row is None:
        return
    if row.status_from == event.sender and row.status and row.status.sequence >= status.sequence:
        world.count("status.old")
        return
    current = world.now - row.status_at <= world.parameters.status_age_s
    if event.sender != choose_home(world, status.block) and current:
        if event.sender in world.peers:
            row.other_home = event.sender
        return
    changed = row.status is None or not current or row.status.holdings != status.holdings
    row.status = status
    row.status_from = event.sender
    row.status_at = world.now
    waits.note_waits(world, status.block, status.waits_s)
    if changed and world.view is not None:
        world.pins.pop(world.view.block_by_name[status.block].index, None)
