"""Detection of pauses of this process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..engine import before_tick

if TYPE_CHECKING:
    from ..world import World


@before_tick
def detect_pause(world: World) -> None:
    """Record a pause when the time since the last tick exceeds ``pause_s``.

    Heartbeats cause a tick at least every ``heartbeat_s``, so a much longer gap means that the
    process or its machine was suspended. The configuration must then be confirmed anew.
    """
    standing = world.standing
    gap_s = world.now - standing.last_tick_at
    standing.last_tick_at = world.now
    if gap_s <= world.parameters.pause_s:
        return
    standing.woke_at = world.now
    world.count("clock.pause")
    world.note("clock", "pause noticed", f"{gap_s:.3f} s")
