"""The servers of a service that may receive an attempt now.

Load pattern: servers say in their replies that they are leaving, or that they want no requests for
some time, seconds before the store or before their health shows it. A leaving server receives
nothing more if another one can take the attempt, and nothing at all from callers who sent their
request later than the drain time after the reply. A server that asked for a pause receives nothing
until the pause is over.

A server that states a limit receives no more than this daemon's share of it (see
:mod:`.server_limits`).

After a crash, another server may get the address while the old registration lasts. It rejects what
is meant for the old one, and the rejections count as repeats there, so the old one is not used.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .placement import LEAVING, LIMITED, NONE_USABLE, UNREGISTERED, NoServer
from .server_limits import available_at

if TYPE_CHECKING:
    from collections.abc import Collection

    from .exchanges import Task
    from .tables import ServerRow
    from .world import RoutingWorld

LEAVING_MARGIN_S = 0.5
"""Part of the drain time that is not used: a caller may have sent its request before the reply
arrived, but this daemon may receive it after a delay."""


def eligible_servers(
    world: RoutingWorld, task: Task, avoided: Collection[str], is_hedge: bool = False
) -> list[ServerRow] | NoServer:
    """Return the servers that may receive an attempt of *task*, or why there are none."""
    service = world.catalog.service(task.service)
    share = world.share(task.service)
    rows = [
        row
        for row in world.catalog.usable_servers(task.service)
        if not row.is_gone(world.now) and world.cold.allows(row, service, share, world.now)
    ]
    if not rows:
        is_registered = bool(world.catalog.registered_servers(task.service))
        return NONE_USABLE if is_registered else UNREGISTERED
    resumed = [row for row in rows if row.paused_until <= world.now]
    if not resumed:
        earliest = min(row.paused_until for row in rows)
        return NoServer("paused", "every server asked for a pause", earliest)
    times = [available_at(world, row, task, is_hedge) for row in resumed]
    permitted = [row for row, time in zip(resumed, times, strict=True) if time <= world.now]
    if not permitted:
        reason = "every server has had what it takes"
        return NoServer(LIMITED, reason, min(times), is_contended=True)
    return _without_leaving(world, task, permitted, avoided)


def _without_leaving(
    world: RoutingWorld, task: Task, rows: list[ServerRow], avoided: Collection[str]
) -> list[ServerRow] | NoServer:
    """Return the rows without leaving servers, which take only what no other server can."""
    staying = [row for row in rows if row.leaving_at is None]
    if any(row.server_id not in avoided for row in staying):
        return staying
    received_at = task.exchange.request.received_at
    grace_s = max(0.0, world.limits.drain_s - LEAVING_MARGIN_S)
    allowed = [
        row for row in rows if row.leaving_at is None or received_at < row.leaving_at + grace_s
    ]
    return allowed or LEAVING
