"""Limits that servers in need state for the requests of all daemons together.

Load pattern: a server names in its replies how many requests a second it takes, while the callers
go on as before. Each daemon sends it no more than its share, and what does not fit goes to other
servers or is refused at once, the less urgent requests first.

A daemon saves up unused requests only within the tolerance of the operators, so that all daemons
together stay within it even if they send what they have saved at the same time.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..util.hashing import stable_hash

if TYPE_CHECKING:
    from .exchanges import Task
    from .tables import ServerRow
    from .world import RoutingWorld

MIN_PER_S = 0.2
"""Lower bound on a limit; a server that is never sent a request could not raise it again."""
SAVED_SHARE = 0.7
"""Fraction of the tolerance that daemons may save up, since requests may arrive closer together
than they were sent."""
RESERVED_SHARE = 0.5
"""Fraction of the saved requests that is reserved for first sends of the most urgent requests."""
_HASH_RANGE = 2**64


@dataclass(slots=True)
class RateLimit:
    """The limit that a server has stated, and what this daemon may still send."""

    per_s: float
    tokens: float
    """Requests that this daemon may send, as of ``updated_at``."""
    updated_at: float


@dataclass(frozen=True, slots=True)
class Quota:
    """The part of a server's limit that this daemon has."""

    per_s: float
    burst: float
    """Maximum number of requests that are saved up, 1 or more."""


def record_limit(world: RoutingWorld, row: ServerRow, per_s: float | None) -> bool:
    """Record the limit in a server's last reply, or that it has none; return whether it is new."""
    known = row.rate_limit
    if per_s is None:
        row.rate_limit = None
        return known is not None
    if known is None:
        # Daemons learn of a limit at the same time, so each begins at another point.
        phase = stable_hash(world.senders.own, row.server_id) / _HASH_RANGE
        row.rate_limit = RateLimit(per_s, phase, world.now)
        return True
    if per_s == known.per_s:
        return False
    _refill(world, row, known)
    known.per_s = per_s
    return True


def available_at(world: RoutingWorld, row: ServerRow, task: Task, is_hedge: bool = False) -> float:
    """Return when this daemon may send *task* to the server, as far as its limit is concerned."""
    limit = row.rate_limit
    if limit is None:
        return world.now
    quota = _refill(world, row, limit)
    needed = 1.0
    if is_hedge or not world.catalog.is_most_urgent(task.exchange.route, task.service):
        needed += RESERVED_SHARE * (quota.burst - 1.0)
    return world.now + max(0.0, needed - limit.tokens) / quota.per_s


def record_send(world: RoutingWorld, row: ServerRow) -> None:
    """Count a request to the server, of whatever kind, against its limit."""
    if row.rate_limit is not None:
        _refill(world, row, row.rate_limit)
        row.rate_limit.tokens -= 1.0
        world.counters["send.limited"] += 1


def own_quota(world: RoutingWorld, row: ServerRow, per_s: float) -> Quota:
    """Return this daemon's part of a limit of *per_s* requests a second at a server."""
    per_s = max(per_s, MIN_PER_S)
    limits = world.limits
    tolerance = limits.rate_slack + (limits.rate_factor - 1.0) * per_s * limits.rate_window_s
    service = row.registration.service
    is_shard = service in world.catalog.shards
    share = world.senders.share(row.server_id, int(tolerance), is_shard)
    return Quota(per_s * share, max(1.0, SAVED_SHARE * tolerance * share))


def _refill(world: RoutingWorld, row: ServerRow, limit: RateLimit) -> Quota:
    quota = own_quota(world, row, limit.per_s)
    elapsed_s = world.now - limit.updated_at
    limit.tokens = min(quota.burst, limit.tokens + quota.per_s * elapsed_s)
    limit.updated_at = world.now
    return quota
