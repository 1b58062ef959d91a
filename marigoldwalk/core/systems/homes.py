"""Homes: the daemons that are responsible for a block.

Every block has a first and a second home, chosen by rendezvous hashing over the instance list; the
second home is in another failure domain if there is one. A joining daemon becomes a home only once
every daemon's list names it, and a former home keeps a block until its successor can serve it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..engine import on
from ..tables import Allowance, BlockRow, Role
from ..timers import BlockDue, HeartbeatDue, InstancesChanged, PeerChanged, ViewChanged
from . import handover
from .allowances import update_allowance
from .membership import is_reachable, listed_names

if TYPE_CHECKING:
    from ..world import World

KEEP_RATIO = 0.5
"""Share of ``list_lag_s`` for which a former home waits for its successor's handover request."""

STARTED_TOGETHER_S = 3.0
"""Daemons that started within this time of the oldest one become homes at once."""


@on(ViewChanged)
@on(InstancesChanged)
def assign_homes(world: World, event: ViewChanged | InstancesChanged) -> None:
    """Recompute the homes of every block."""
    if world.view is None:
        return
    world.pins.clear()
    world.ranking.set_names(_eligible(world))
    for removed in [name for name in world.blocks if name not in world.view.block_by_name]:
        del world.blocks[removed]
        world.own_blocks.pop(removed, None)
        world.ranking.discard(removed)
        world.changed_blocks[removed] = None
    for block in world.view.blocks:
        row = world.blocks.setdefault(block.name, BlockRow(block.name))
        _assign(world, row)
        if isinstance(event, ViewChanged) and row.role is not Role.NONE:
            world.changed_blocks[row.name] = None


def _eligible(world: World) -> list[str]:
    """Return the daemons that may be homes, without those that not every daemon knows yet."""
    staying = [name for name, leaving in listed_names(world).items() if not leaving]
    if _may_be_joining(world):
        staying = [name for name in staying if name != world.identity.name]
        world.at(world.identity.started_at + world.parameters.peer_silence_s, InstancesChanged())
    known_from = {name: _known_from(world, name) for name in staying}
    oldest = min(known_from.values(), default=0.0)
    settle_s = world.parameters.list_lag_s + world.parameters.clock_skew_s
    eligible = []
    for name, since in known_from.items():
        settled_at = since + settle_s
        if since <= oldest + STARTED_TOGETHER_S or settled_at <= world.now:
            eligible.append(name)
        else:
            world.at(settled_at, InstancesChanged())
    return eligible


def _may_be_joining(world: World) -> bool:
    """Return whether this daemon has just started and does not know yet how old its peers are."""
    if world.now >= world.identity.started_at + world.parameters.peer_silence_s:
        return False
    listed = [peer for peer in world.peers.values() if peer.listed]
    return bool(listed) and not any(peer.heard_at for peer in listed)


def _known_from(world: World, name: str) -> float:
    """Return when a daemon started, or was first listed if it has sent no heartbeat yet."""
    if name == world.identity.name:
        return world.identity.started_at
    peer = world.peers[name]
    return peer.started_at or peer.listed_at


def _assign(world: World, row: BlockRow) -> None:
    homes = _choose_homes(world, row.name)
    if homes == row.homes:
        return
    row.homes = homes
    row.acting_home = ""
    if row.role is Role.FIRST and _may_keep_block(world, row):
        _keep_block(world, row)
    else:
        apply_listed_role(world, row)


def _may_keep_block(world: World, row: BlockRow) -> bool:
    """Return whether this first home may continue until its successor asks for the handover.

    If the successor was heard before and is now unreachable, the second home acts in its place.
    """
    if world.daemon_state.stopping:
        return True
    successor = world.peers.get(row.homes[0]) if row.homes else None
    if successor is None or row.allowance is not Allowance.FULL:
        return False
    return successor.reachable or successor.heard_at == 0.0


def _keep_block(world: World, row: BlockRow) -> None:
    """Continue as first home until the successor, which may not be able to serve yet, asks."""
    row.serves_until = world.now + world.parameters.list_lag_s * KEEP_RATIO
    if world.daemon_state.stopping:
        row.serves_until = float("inf")
        return
    world.at(row.serves_until, BlockDue(row.name))
    update_allowance(world, row)


def apply_listed_role(world: World, row: BlockRow) -> None:
    """Stop keeping a block, and act in the role that the instance list assigns."""
    row.serves_until = 0.0
    _update_role(world, row)


def _update_role(world: World, row: BlockRow) -> None:
    before = row.role
    _set_role(world, row)
    if row.role is Role.FIRST and before is not Role.FIRST:
        handover.start_handover(world, row)
    if row.role is not Role.FIRST:
        row.awaited_homes.clear()
        row.had_full_allowance = False
        row.preparing = False
    if row.role is not before:
        world.note("block", f"now {row.role.value}", row.name)
    update_allowance(world, row)
    world.changed_blocks[row.name] = None


def _set_role(world: World, row: BlockRow) -> None:
    row.role = _role(world, row.homes)
    if row.role is Role.NONE:
        world.own_blocks.pop(row.name, None)
    else:
        world.own_blocks[row.name] = row


def _choose_homes(world: World, block: str) -> tuple[str, ...]:
    order = world.ranking.first(block)
    if not order:
        return ()
    elsewhere = _in_other_domains(world, order)
    if not elsewhere and not world.ranking.is_complete(order):
        elsewhere = _in_other_domains(world, world.ranking.order(block))
    return (order[0], *(elsewhere or order[1:])[:1])


def _in_other_domains(world: World, order: list[str]) -> list[str]:
    domain = _domain(world, order[0])
    return [name for name in order if _domain(world, name) != domain]


def _domain(world: World, name: str) -> str:
    if name == world.identity.name:
        return world.identity.domain
    return world.peers[name].domain


def _role(world: World, homes: tuple[str, ...]) -> Role:
    if world.identity.name not in homes:
        return Role.NONE
    return Role.FIRST if homes[0] == world.identity.name else Role.SECOND


@on(PeerChanged)
def handle_peer_change(world: World, event: PeerChanged) -> None:
    """Update the blocks of this daemon after a peer became reachable or unreachable."""
    for row in list(world.own_blocks.values()):
        handover.drop_ended_homes(world, row)
        if row.serves_until:
            _release_if_successor_lost(world, row, event.peer)
        elif row.role is Role.FIRST and event.peer in row.homes and is_reachable(world, event.peer):
            # The second home may have sent work while the two could not reach each other.
            row.awaited_homes[event.peer] = None
            handover.send_handover_requests(world, row)
        update_allowance(world, row)


def _release_if_successor_lost(world: World, row: BlockRow, peer: str) -> None:
    """Stop keeping a block if the successor is unreachable, since the second home then acts."""
    successor_lost = peer == row.homes[0] and not is_reachable(world, peer)
    if successor_lost and not world.daemon_state.stopping:
        apply_listed_role(world, row)


@on(BlockDue)
def update_due_block(world: World, event: BlockDue) -> None:
    """Recompute a block's role and allowance at a scheduled time."""
    row = world.blocks.get(event.block)
    if row is None:
        return
    if 0 < row.serves_until <= world.now:
        apply_listed_role(world, row)
    if row.preparing and handover.is_prepared(world, row):
        row.preparing = False
        handover.send_handover_requests(world, row)
    update_allowance(world, row)


@on(HeartbeatDue)
def retry_handovers(world: World, event: HeartbeatDue) -> None:
    """Repeat unanswered handover requests and recompute allowances."""
    for row in list(world.own_blocks.values()):
        handover.drop_ended_homes(world, row)
        row.preparing = row.preparing and not handover.is_prepared(world, row)
        handover.send_handover_requests(world, row)
        update_allowance(world, row)


def choose_home(world: World, block: str, avoid: str = "") -> str | None:
    """Return the daemon to send a block's work to, or ``None`` if none can be reached.

    *avoid* is a home that refused the work or was lost. If it is given, a daemon that acts as home
    according to a newer instance list than this daemon's is preferred.
    """
    row = world.blocks.get(block)
    if row is None:
        return None
    if avoid and row.acting_home not in ("", avoid):
        return row.acting_home
    reachable = [name for name in row.homes if is_reachable(world, name)]
    preferred = [name for name in reachable if name != avoid]
    candidates = preferred or reachable
    return candidates[0] if candidates else None
