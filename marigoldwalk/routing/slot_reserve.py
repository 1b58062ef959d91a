"""Slots that less urgent work leaves to urgent work at the same servers.

Load pattern: a burst of all kinds of queries over the same shards. A server runs what it has in the
order of arrival, so an urgent task that reaches a server after longer, less urgent tasks waits for
them there, where no daemon can reorder them. While urgent queries come and their tasks take longer
than they should, the less urgent tasks therefore wait in the queues of the daemons, which are in
order of priority. A daemon then sends a server no more of them than its share of the slots, or one,
and the servers of a service together no more than twice its share. Urgent tasks may use the open
attempts beyond that.

Work that is short compared with the target of the urgent work does not delay it much and is sent as
usual.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .exchanges import Exchange
    from .model import Route
    from .tables import ServerRow
    from .world import RoutingWorld

logger = logging.getLogger(__name__)

PRESENT_S = 2.0
"""Time after an urgent query for which the next one is expected."""
SERVICE_FACTOR = 2.0
"""Multiple of its share of all slots of a service that a daemon may use for less urgent work at the
servers together. Queries come to the daemons unevenly, and no slot should be free meanwhile."""
BLOCKING_SHARE = 0.25
"""Fraction of the urgent route's target from which the time of a less urgent task matters to it."""
DELAYED_SHARE = 0.25
"""Fraction of its target that a task of an urgent query may take without being delayed."""
DELAYED_FACTOR = 1.5
"""The same as a multiple of the route's latency without load, for long service times."""


@dataclass(slots=True)
class Presence:
    """The latest query of one route at one priority."""

    route: Route
    priority: int
    seen_at: float
    is_yielding: bool = False
    """Whether its latest query left slots to urgent ones."""


class SlotReserve:
    """The urgent routes whose queries have come lately, by the services that they need.

    ::

        reserve = SlotReserve()
        reserve.record(exchange, now)
        if yields(world, exchange):
            limit = reserved_limit(world, task.service, rows, max_open_attempts=3)
    """

    def __init__(self) -> None:
        self._presences: dict[tuple[str, ...], dict[tuple[str, int], Presence]] = {}

    def record(self, exchange: Exchange, now: float) -> None:
        """Record the arrival of *exchange*."""
        route = exchange.route
        if route.services not in self._presences:
            self._forget(now)
        presences = self._presences.setdefault(route.services, {})
        presence = presences.setdefault(
            (route.name, exchange.priority), Presence(route, exchange.priority, now)
        )
        presence.route = route
        presence.seen_at = now
        exchange.presences = presences

    def _forget(self, now: float) -> None:
        """Forget services whose last query is long ago, such as an earlier set of shards."""
        self._presences = {
            services: presences
            for services, presences in self._presences.items()
            if any(now - presence.seen_at <= PRESENT_S for presence in presences.values())
        }

    def yielding_priorities(self, route: Route, now: float) -> set[int]:
        """Return the priorities of queries for the services of *route* that leave slots now."""
        presences = self._presences.get(route.services, {})
        return {
            presence.priority
            for presence in presences.values()
            if presence.is_yielding and now - presence.seen_at <= PRESENT_S
        }

    def set_yielding(self, exchange: Exchange, is_yielding: bool) -> bool:
        """Set whether the queries of this route leave slots; return whether that is new."""
        presence = exchange.presences[exchange.route.name, exchange.priority]
        is_new = presence.is_yielding != is_yielding
        presence.is_yielding = is_yielding
        return is_new

    def more_urgent(self, exchange: Exchange, now: float) -> list[Route]:
        """Return the routes of more urgent queries for the same services that have come lately."""
        presences = exchange.presences
        if presences is None:
            presences = self._presences.get(exchange.route.services, {})
        return [
            presence.route
            for presence in presences.values()
            if presence.priority < exchange.priority and now - presence.seen_at <= PRESENT_S
        ]


def record_arrival(world: RoutingWorld, exchange: Exchange) -> None:
    """Record the arrival of *exchange*, and log when queries like it begin or cease to wait."""
    if exchange.route.fan_out is None:
        return
    world.slot_reserve.record(exchange, world.now)
    is_yielding = yields(world, exchange)
    if not world.slot_reserve.set_yielding(exchange, is_yielding):
        return
    world.counters["reserve.begun" if is_yielding else "reserve.ended"] += 1
    message = "slots are left to urgent queries" if is_yielding else "all slots are used again"
    fields = {"route": exchange.route.name, "priority": exchange.priority}
    logger.info(message, extra={"fields": fields})


def yields(world: RoutingWorld, exchange: Exchange) -> bool:
    """Return whether the tasks of *exchange* leave slots to more urgent ones now."""
    if exchange.route.fan_out is None:
        return False
    usual_s = world.latencies(exchange.route).floor_s
    return any(
        usual_s >= BLOCKING_SHARE * urgent.target_s and _is_delayed(world, urgent)
        for urgent in world.slot_reserve.more_urgent(exchange, world.now)
    )


def reserved_limit(
    world: RoutingWorld, service: str, rows: Sequence[ServerRow], max_open_attempts: int
) -> int:
    """Return how many open attempts a less urgent task may find at a server that it is sent to.

    *max_open_attempts* is the limit for any task. The result is 0 if the task must wait.
    """
    if _is_share_used(world, service, rows):
        return 0
    slots = rows[0].registration.slots
    return min(max_open_attempts, max(1, int(slots * world.share(service))))


def _is_share_used(world: RoutingWorld, service: str, rows: Sequence[ServerRow]) -> bool:
    """Return whether this daemon has as many open attempts at *rows* as less urgent work may use.

    Attempts at a server that does not answer in time do not count, since it may be paused.
    """
    slots = sum(row.registration.slots for row in rows)
    open_count = sum(len(row.open_attempts) for row in rows if not row.is_stalled(world.now))
    return open_count >= max(1, SERVICE_FACTOR * slots * world.share(service))


def _is_delayed(world: RoutingWorld, route: Route) -> bool:
    usual = world.latencies(route)
    return usual.high_s > max(DELAYED_SHARE * route.target_s, DELAYED_FACTOR * usual.floor_s)
