"""Planned stop: serve callers while they still arrive, finish the work, then exit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..actions import Exit, ReadinessChanged
from ..engine import on
from ..events import StopRequested
from ..timers import InstancesChanged, StopDue
from . import membership

if TYPE_CHECKING:
    from ..world import World

STOP_CHECK_S = 0.05
"""Interval between checks for remaining work."""


@on(StopRequested)
def begin_stop(world: World, event: StopRequested) -> None:
    """Announce that this daemon is leaving; it still serves callers that the balancer sends."""
    daemon_state = world.daemon_state
    if daemon_state.stopping:
        return
    daemon_state.stopping = True
    daemon_state.stopping_since = world.now
    daemon_state.ready = False
    world.emit(ReadinessChanged(ready=False, reason="stopping"))
    world.note("daemon", "stopping")
    membership.broadcast_heartbeat(world)
    world.inbox.append(InstancesChanged())
    world.after(world.parameters.balancer_lag_s, StopDue())


def has_closed(world: World) -> bool:
    """Return whether the balancer has had time to notice, so that new queries are refused.

    Load pattern: callers go on coming, for example on open connections or since few daemons are
    left. The daemon would never be without work, and would be killed while queries run.
    """
    daemon_state = world.daemon_state
    served_s = world.now - daemon_state.stopping_since
    return daemon_state.stopping and served_s >= world.parameters.balancer_lag_s


@on(StopDue)
def finish_stop(world: World, event: StopDue) -> None:
    """Exit once no work is left."""
    if world.queries or world.jobs or world.attempts:
        world.after(STOP_CHECK_S, StopDue())
        return
    world.note("daemon", "stopped")
    world.emit(Exit())
