"""Detection of pauses of this process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..engine import before_events

if TYPE_CHECKING:
    from ..world import World


@before_events
def detect_pause(world: World) -> None:
    """Record a pause when the time since the last step exceeds ``pause_s``.

    Heartbeats cause a step at least every ``heartbeat_s``, so a much longer gap means that the
    process or its machine was suspended. The configuration must then be confirmed anew.
    """
    daemon_state = world.daemon_state
    gap_s = world.now - daemon_state.last_step_at
    daemon_state.last_step_at = world.now
    if gap_s <= world.parameters.pause_s:
        return
    daemon_state.resumed_at = world.now
    world.count("clock.pause")
    world.note("clock", "pause noticed", f"{gap_s:.3f} s")
