"""Whether this daemon is ready for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..actions import ReadinessChanged
from ..engine import at_start, on
from ..timers import HeartbeatDue, PruneDue
from .configuration import view_trusted
from .electorate import entry_wait_s

if TYPE_CHECKING:
    from ..world import World

PRUNE_S = 5.0
STATUS_WAIT_S = 3.0
"""Time after its start for which a daemon waits for the statuses of all blocks."""
CLAIM_WAIT_S = 30.0
"""Time after its start for which a daemon that joins others waits until it can claim ids."""


@at_start
def start(world: World) -> None:
    """Begin to drop old entries of the memory tables."""
    world.after(PRUNE_S, PruneDue())


@on(PruneDue)
def repeat(world: World, event: PruneDue) -> None:
    """Keep pruning."""
    world.after(PRUNE_S, event)


@on(HeartbeatDue)
def look(world: World, event: HeartbeatDue) -> None:
    """Tell when readiness changes."""
    reason = _obstacle(world)
    ready = reason == ""
    if ready == world.daemon_state.ready:
        return
    world.daemon_state.ready = ready
    world.emit(ReadinessChanged(ready, reason))
    world.note("readiness", "ready" if ready else "not ready", reason)


def _obstacle(world: World) -> str:
    if world.daemon_state.stopping:
        return "stopping"
    if world.view is None:
        return "no configuration is in force yet"
    if world.daemon_state.list_version == 0:
        return "the instance list has not been read yet"
    if not view_trusted(world):
        return "the configuration cannot be confirmed"
    return "" if world.daemon_state.ready else _obstacle_of_start(world)


def _obstacle_of_start(world: World) -> str:
    """Return why a daemon that was never ready is not yet; it does not wait for ever."""
    up_s = world.now - world.identity.started_at
    known = all(row.status is not None for row in world.blocks.values())
    if not known and up_s < STATUS_WAIT_S:
        return "blocks are not known yet"
    if up_s < CLAIM_WAIT_S and _has_once_only_groups(world) and _others_serve(world):
        return "request ids cannot be claimed yet" if entry_wait_s(world, world.now) > 0 else ""
    return ""


def _has_once_only_groups(world: World) -> bool:
    return any(not group.repeatable for group in world.view.groups)


def _others_serve(world: World) -> bool:
    """Return whether there are daemons that callers can be sent to meanwhile."""
    oldest_start = world.identity.started_at - CLAIM_WAIT_S
    return any(
        peer.reachable and not peer.leaving and 0 < peer.started_at < oldest_start
        for peer in world.peers.values()
    )
