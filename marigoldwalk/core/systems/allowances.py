"""Allowances: the share of its servers' slots that a daemon may use in a block.

The first home may use all slots of a server. While it cannot reach the second home, it uses at most
half, since the second home may then use the other half for the daemons that cannot reach the first.
Once the process of one home is known to have ended, the other home uses all slots. No third daemon
sends to the block. The total therefore stays within a server's slots while the daemons agree on
the instance list, and also while they disagree, as long as they can reach each other.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..tables import Allowance, BlockRow, Role
from ..timers import BlockDue
from .membership import is_reachable

if TYPE_CHECKING:
    from ...config.view import Server
    from ..tables import PeerRow
    from ..world import World


def update_allowance(world: World, row: BlockRow) -> None:
    """Recompute which share of the block's slots this daemon may use."""
    allowance = _allowance(world, row)
    if allowance is row.allowance:
        return
    row.allowance = allowance
    if allowance is Allowance.FULL and row.role is Role.FIRST:
        row.had_full_allowance = True
    world.count(f"allowance.{allowance.name.lower()}")
    world.changed_blocks[row.name] = None


def _allowance(world: World, row: BlockRow) -> Allowance:
    if _has_relinquished(world, row):
        return Allowance.NONE
    if row.role is Role.FIRST:
        return _allowance_of_first(world, row)
    if row.role is Role.SECOND and _first_is_lost(world, row):
        first = world.peers[row.homes[0]]
        return Allowance.FULL if has_ended(world, first) else Allowance.HALF
    return Allowance.NONE


def _has_relinquished(world: World, row: BlockRow) -> bool:
    return row.relinquished or row.relinquished_version > world.daemon_state.list_version


def _allowance_of_first(world: World, row: BlockRow) -> Allowance:
    if row.preparing:
        return Allowance.NONE
    if any(not _has_reduced_use(world, name) for name in row.awaited_homes):
        # A first home that has held all slots keeps the half that the second home does not use.
        return Allowance.HALF if row.had_full_allowance else Allowance.NONE
    if world.now < row.former_work_ends_at:
        world.at(row.former_work_ends_at, BlockDue(row.name))
        return Allowance.HALF
    if (
        row.serves_until
        and not world.daemon_state.stopping
        and not is_reachable(world, row.homes[0])
    ):
        return Allowance.HALF
    homes_known = all(_is_reachable_or_ended(world, name) for name in row.homes)
    return Allowance.FULL if homes_known and not row.awaited_homes else Allowance.HALF


def _is_reachable_or_ended(world: World, name: str) -> bool:
    return is_reachable(world, name) or has_ended(world, world.peers[name])


def _has_reduced_use(world: World, name: str) -> bool:
    """Return whether a former home has certainly stopped or reduced its use to half."""
    peer = world.peers.get(name)
    if peer is None:
        return True
    if peer.reachable:
        return False
    wait_s = _takeover_s(world, peer)
    if peer.heard_at == 0.0:
        # The peer may not know this daemon yet, and then does not notice that it cannot reach it.
        wait_s = world.parameters.list_lag_s
    return world.now >= peer.lost_at + wait_s


def _takeover_s(world: World, peer: PeerRow) -> float:
    parameters = world.parameters
    return parameters.takeover_s if peer.connection_lost else parameters.silent_takeover_s


def _first_is_lost(world: World, row: BlockRow) -> bool:
    first = world.peers.get(row.homes[0])
    if first is None or first.reachable or first.heard_at == 0.0:
        return False
    takeover_at = first.lost_at + _takeover_s(world, first)
    if world.now < takeover_at:
        world.at(takeover_at, BlockDue(row.name))
        return False
    return True


def has_ended(world: World, peer: PeerRow) -> bool:
    """Return whether a daemon's process and the last work that it sent have ended.

    A leaving daemon finishes its work before it exits.
    """
    if not peer.process_ended:
        return False
    return peer.leaving or world.now >= peer.process_ended_at + world.view.longest_deadline_s


def is_waiting_for_homes(world: World, row: BlockRow) -> bool:
    """Return whether this daemon may soon be allowed to send to the block, if it is not yet."""
    if _has_relinquished(world, row):
        return False
    if row.role is Role.FIRST:
        return not row.preparing
    return row.role is Role.SECOND and not is_reachable(world, row.homes[0])


def slots_allowed(world: World, row: BlockRow, server: Server) -> int:
    """Return how many subrequests this daemon may run on *server* at once."""
    if row.allowance is Allowance.FULL:
        return server.slots
    if row.allowance is Allowance.HALF:
        return _half(row, server)
    return 0


def _half(row: BlockRow, server: Server) -> int:
    half = server.slots // 2
    if half == 0 and row.role is Role.FIRST and row.had_full_allowance:
        return 1
    return half
