"""Notices pauses of this process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..engine import before_events

if TYPE_CHECKING:
    from ..world import World


@before_events
def notice_pause(world: World) -> None:
    """Mark the own view as doubtful when far more time has passed than between two ticks.

    Heartbeats make a tick at least every ``heartbeat_s``, so a longer gap means that the process
    or its machine stood still.
    """
    daemon_state = world.daemon_state
    gap_s = world.now - daemon_state.last_step_at
    daemon_state.last_step_at = world.now
    if gap_s <= world.parameters.pause_s:
        return
    daemon_state.resumed_at = world.now
    world.count("clock.pause")
    world.note("clock", "pause noticed", f"{gap_s:.3f} s")
