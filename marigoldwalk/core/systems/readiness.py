"""Readiness of this daemon to serve callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..actions import ReadinessChanged
from ..engine import at_start, on
from ..timers import HeartbeatDue, PruneDue
from .configuration import view_trusted
from .witnesses import entry_wait_s

if TYPE_CHECKING:
    from ..world import World

PRUNE_S = 5.0
STATUS_WAIT_S = 3.0
"""Maximum time after the start for which a daemon waits for the statuses of all blocks."""
CLAIM_WAIT_S = 30.0
"""Maximum time after the start for which a daemon that joins others waits to claim ids."""


@at_start
def start(world: World) -> None:
    """Start pruning expired table entries."""
    world.after(PRUNE_S, PruneDue())


@on(PruneDue)
def repeat_prune(world: World, event: PruneDue) -> None:
    """Schedule the next pruning."""
    world.after(PRUNE_S, event)


@on(HeartbeatDue)
def update_readiness(world: World, event: HeartbeatDue) -> None:
    """Report a change of readiness."""
    reason = _not_ready_reason(world)
    ready = reason == ""
    if ready == world.daemon_state.ready:
        return
    world.daemon_state.ready = ready
    world.emit(ReadinessChanged(ready, reason))
    world.note("readiness", "ready" if ready else "not ready", reason)


def _not_ready_reason(world: World) -> str:
    if world.daemon_state.stopping:
        return "stopping"
    if world.view is None:
        return "no configuration is in force yet"
    if world.daemon_state.list_version == 0:
        return "the instance list has not been read yet"
    if not view_trusted(world):
        return "the configuration cannot be confirmed"
    return "" if world.daemon_state.ready else _startup_reason(world)


def _startup_reason(world: World) -> str:
    """Return why a starting daemon is not ready yet; it waits for a limited time only."""
    up_s = world.now - world.identity.started_at
    statuses_known = all(row.status is not None for row in world.blocks.values())
    if not statuses_known and up_s < STATUS_WAIT_S:
        return "blocks are not known yet"
    if up_s < CLAIM_WAIT_S and _has_unrepeatable_groups(world) and _others_serve(world):
        return "request ids cannot be claimed yet" if entry_wait_s(world, world.now) > 0 else ""
    return ""


def _has_unrepeatable_groups(world: World) -> bool:
    return any(not group.repeatable for group in world.view.groups)


def _others_serve(world: World) -> bool:
    """Return whether other daemons can serve callers in the meantime."""
    oldest_start = world.identity.started_at - CLAIM_WAIT_S
    return any(
        peer.reachable and not peer.leaving and 0 < peer.started_at < oldest_start
        for peer in world.peers.values()
    )
