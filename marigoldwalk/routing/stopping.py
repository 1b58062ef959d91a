"""Decides which requests a stopping daemon still accepts, and when it answers the last ones.

Load pattern: a planned stop under load. The balancer sends connections until it notices, and longer
if few daemons of a failure domain are left. A request that is accepted near the end of the grace
period would be aborted while a server executes it; refused at once, it is served by another daemon.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import RefusalReason
from .exchanges import ErrorAnswer

if TYPE_CHECKING:
    from .exchanges import Exchange
    from .world import RoutingWorld

UNREPEATABLE_FACTOR = 2.0
"""Multiple of a request's usual time that must be left if it must not be repeated, since its caller
cannot try again after it was aborted."""
RETRY_AFTER_S = 0.0
"""Other daemons serve the request at once."""


def begin_stop(world: RoutingWorld, answer_by: float) -> None:
    """Answer all requests until *answer_by*, those in progress as well."""
    world.answer_by = answer_by
    for exchange in world.exchanges:
        limit_to_stop(world, exchange)


def limit_to_stop(world: RoutingWorld, exchange: Exchange) -> None:
    """Answer *exchange* before this daemon ends, if it is stopping."""
    exchange.give_up_at = min(exchange.give_up_at, world.answer_by)
    exchange.target_at = min(exchange.target_at, exchange.give_up_at)


def late_refusal(world: RoutingWorld, exchange: Exchange, now: float) -> ErrorAnswer | None:
    """Return the refusal of a new request for which too little of the grace period is left."""
    route = exchange.route
    needed_s = max(route.target_s, world.latencies(route).high_s)
    if not route.idempotent:
        needed_s *= UNREPEATABLE_FACTOR
    if now + needed_s <= world.answer_by:
        return None
    return ErrorAnswer(503, RefusalReason.STOPPING, RETRY_AFTER_S)
