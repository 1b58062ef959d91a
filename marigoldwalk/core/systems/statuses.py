"""What each block can serve: published by its home, stored by every daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..engine import after_events, on, on_message
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
    """Have a block's status checked for changes at the end of this step."""
    world.dirty_statuses[block] = None


@on(HeartbeatDue)
def republish_statuses(world: World, event: HeartbeatDue) -> None:
    """Republish statuses every ``status_s``, so that a lost message has no lasting effect."""
    for row in world.own_blocks.values():
        if _is_publisher(row) and world.now - row.status_sent_at >= world.parameters.status_s:
            row.sent_status = None
            mark_block(world, row.name)


def _is_publisher(row: BlockRow) -> bool:
    return row.role is Role.FIRST or row.allowance is not Allowance.NONE


@after_events
def publish_changes(world: World) -> None:
    """Publish the statuses that changed in this step."""
    marked, world.dirty_statuses = world.dirty_statuses, {}
    for name in marked:
        row = world.blocks.get(name)
        if row is not None and _is_publisher(row) and health.has_probed_block(world, name):
            _publish_if_changed(world, row)


def _publish_if_changed(world: World, row: BlockRow) -> None:
    holdings = _holdings(world, row.name)
    warm = _warm(world, row.name)
    if row.sent_status is not None and (row.sent_status.holdings, row.sent_status.warm) == (
        holdings,
        warm,
    ):
        return
    status = BlockStatus(
        block=row.name,
        sequence=world.new_key(),
        sent_at=world.now,
        holdings=holdings,
        waits_s=waits.estimate_waits(world, row.name),
        warm=warm,
    )
    row.sent_status = status
    row.status_sent_at = world.now
    world.broadcast(status)
    world.send_message(world.identity.name, status)


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
def receive_status(world: World, event: PeerReceived) -> None:
    """Store the status that a block's current home sent.

    A status from another daemon is stored only if the last one is too old.
    """
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
            row.acting_home = event.sender
        return
    changed = row.status is None or not current or row.status.holdings != status.holdings
    row.status = status
    row.status_from = event.sender
    row.status_at = world.now
    waits.record_waits(world, status.block, status.waits_s)
    if changed and world.view is not None:
        world.pins.pop(world.view.block_by_name[status.block].index, None)
