"""Isolation of this daemon from the backend servers.

Load pattern: for some seconds a daemon, or all daemons of a failure domain, reach no server, while
callers, the store and other daemons reach them. Connections to servers hang, are reset or are
refused. Each attempt would cost a caller its deadline, and each failure would be counted against a
server that works, so the requests are handed to a daemon that reaches the servers.

A doubt is settled by opening connections to servers of several failure domains. A service whose
servers are all down therefore isolates nobody. While a daemon is isolated, it goes on checking and
resumes with the first connection.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ..errors import RefusalReason
from ..util.hashing import stable_hash
from .exchanges import Abandon, CheckLinks, ErrorAnswer, ReportIsolation
from .finishing import RETRY_AFTER_S, finish

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .exchanges import Exchange
    from .tables import ServerRow
    from .world import RoutingWorld

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.3
"""Minimum time between the beginnings of two checks, longer than a connect timeout."""
MIN_CHECKED = 4
"""Minimum number of servers that a check covers."""
MAX_CHECKED = 10
"""Maximum number of servers that a check covers. Within it, there is one of each failure domain, of
each query's shards and of each other service."""

UNREACHABLE_ANSWER = ErrorAnswer(503, RefusalReason.SERVERS_UNREACHABLE, RETRY_AFTER_S)
"""The answer to a request that neither this daemon nor another one can run."""


def check_if_doubtful(world: RoutingWorld) -> None:
    """Begin a check of the links if they are in doubt or known to be lost."""
    state = world.reachability
    if state.is_checking or world.now < state.checked_at + CHECK_INTERVAL_S:
        return
    if not state.is_isolated and not _is_in_doubt(world):
        return
    rows = choose_servers(world)
    if not rows:
        return
    state.is_checking = True
    state.checked_at = world.now
    world.counters["link.check"] += 1
    lacks_connections = state.lacks_connections(len(world.catalog.rows))
    world.actions.append(CheckLinks(rows, world.now, lacks_connections))


def _is_in_doubt(world: RoutingWorld) -> bool:
    # A server that refuses connections has crashed only if others take them.
    if world.suspects.has_unconfirmed:
        return True
    return world.reachability.is_doubtful(len(world.catalog.rows), world.now)


def choose_servers(world: RoutingWorld) -> tuple[ServerRow, ...]:
    """Return the servers to which a check opens connections.

    The first check asks those that have not failed and were heard from last, since they are the
    least likely to be down. Further checks ask different ones each time.
    """
    rows = [row for row in world.catalog if not row.registration.draining]
    if world.reachability.is_isolated:
        key = str(world.now)
        rows.sort(key=lambda row: stable_hash(key, row.server_id))
    else:
        state = world.reachability
        rows.sort(key=lambda row: (state.has_failed(row), -row.heard_at, row.server_id))
    chosen: list[ServerRow] = []
    covered: set[tuple[str, str]] = set()
    for row in rows:
        registration = row.registration
        # The shards of a query may be down together, because of what it contains.
        group = ("group", world.catalog.group_of(registration.service))
        domain = ("domain", registration.domain)
        if group not in covered or domain not in covered:
            covered |= {group, domain}
            chosen.append(row)
    others = [row for row in rows if row not in chosen]
    chosen += others[: max(0, MIN_CHECKED - len(chosen))]
    return tuple(chosen[:MAX_CHECKED])


def apply_check(world: RoutingWorld, check: CheckLinks, unopened: Sequence[ServerRow]) -> None:
    """Apply the result of a check in which the servers in *unopened* took no connection."""
    state = world.reachability
    state.is_checking = False
    for row in unopened:
        state.record_unopened(row, world.now)
    is_connected = state.opened_at >= check.started_at
    if state.is_isolated:
        if is_connected:
            _rejoin(world)
        return
    # Replies show that the links work, unless it is only new connections that fail.
    is_heard = state.heard_at >= check.started_at
    if is_connected or (is_heard and not check.is_for_connections):
        return
    _isolate(world)
    if not is_heard:
        _stop_exchanges(world)


def _isolate(world: RoutingWorld) -> None:
    state = world.reachability
    state.is_isolated = True
    state.isolated_at = world.now
    world.counters["link.isolated"] += 1
    fields = {
        "silent": state.silent_count,
        "unopened": state.unopened_count,
        "silent_s": round(world.now - state.heard_at, 3),
        "open": len(world.exchanges),
    }
    logger.warning("no server is reachable", extra={"fields": fields})
    world.suspects.withdraw()
    world.actions.append(ReportIsolation(True))


def _stop_exchanges(world: RoutingWorld) -> None:
    """Stop the requests in progress that another daemon may run."""
    for exchange in list(world.exchanges):
        if not _may_run_elsewhere(exchange):
            continue
        finish(world, exchange, UNREACHABLE_ANSWER)
        for task in exchange.tasks:
            world.actions.extend(Abandon(attempt) for attempt in task.open_attempts)


def _may_run_elsewhere(exchange: Exchange) -> bool:
    """Return whether another daemon may run the request that this one has begun to send."""
    if exchange.route.idempotent:
        return True
    open_attempts = {a.row.server_id: a for task in exchange.tasks for a in task.open_attempts}
    return all(
        server_id in open_attempts and not open_attempts[server_id].is_connected
        for task in exchange.tasks
        for server_id in task.may_have_run_on
    )


def _rejoin(world: RoutingWorld) -> None:
    """Resume sending; what was counted against the servers meanwhile says nothing about them."""
    state = world.reachability
    state.is_isolated = False
    fields = {"isolated_s": round(world.now - state.isolated_at, 3)}
    logger.info("servers are reachable again", extra={"fields": fields})
    for row in world.catalog:
        row.forget_failures()
    world.admission.reset()
    world.actions.append(ReportIsolation(False))
