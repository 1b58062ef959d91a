"""Selection of the server for an attempt.

Load pattern: individual servers pause, become slow, fail part of their requests or restart cold
while other servers of the service are healthy. The server with the shortest expected answer time is
selected; the price of traffic between failure domains weighs less than any of these problems.

A server that has started or recovered gets part of the requests for which it is the best choice,
see :mod:`.pace`. For the others it counts as if it were cold, so it still gets them if every other
server is missing, stalled or much slower.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from .tables import ServerRow

REMOTE_FACTOR = 2.2
"""Factor on the cost of a server in another failure domain. Traffic between domains is the largest
price that the choice of a server affects; a server in the own domain loses only when it is about
twice as slow."""
STALL_FACTOR = 8.0
"""Cost of a server with an overdue answer or in backoff, in usual latencies."""
COLD_FACTOR = 3.0
"""Cost of a cold server, or of one that is not due by its pace, in usual latencies."""
FAILURE_FACTOR = 4.0
"""Cost of each recent failure of a server, in usual latencies."""
QUEUE_FACTOR = 1.0
"""Fraction of the server's latency that open attempts add when there is one for each slot."""
CONNECT_FACTOR = 0.3
"""Cost of a new connection, which occupies a slot for some milliseconds, in usual latencies."""


@dataclass(frozen=True, slots=True)
class NoServer:
    """The reason why no server can receive an attempt. It is falsy."""

    code: str
    """Suffix of the counter for this reason."""
    reason: str
    until: float | None = None
    """When a server may take attempts again, if that is known."""
    is_contended: bool = False
    """Whether requests that come until then may be sent first."""

    def __bool__(self) -> bool:
        return False


LIMITED = "limited"
"""Code of the refusals because servers have stated limits."""

UNREGISTERED = NoServer("unregistered", "no server is registered")
NONE_USABLE = NoServer("none_usable", "every server drains, is cold or is out of service")
LEAVING = NoServer("leaving", "every server is leaving")
ALL_BUSY = NoServer("all_busy", "every server has as many attempts as this daemon may send it")
RESERVED = NoServer("reserved", "the free slots are left to urgent requests")
ALL_TRIED = NoServer("all_tried", "every server was tried")
ALL_STALLED = NoServer("all_stalled", "every other server would take as long")
TOO_LATE = NoServer("too_late", "a second attempt would miss the target")
BUDGET_SCARCE = NoServer("no_budget", "the retry budget is kept for queries that it decides")


def choose_server(
    rows: Iterable[ServerRow],
    own_domain: str,
    tried: Collection[str],
    max_open_attempts: int,
    now: float,
    is_pessimistic: bool = False,
) -> ServerRow | NoServer:
    """Return the server that is expected to answer first, or the reason why there is none.

    *tried* contains the ids of servers to leave out, and *max_open_attempts* is the maximum number
    of open attempts of this daemon at one server. *is_pessimistic* is set for the last attempt of a
    task: a server whose latest answer was slow is then avoided even if that was only a pause.
    """
    best: ServerRow | None = None
    best_cost = 0.0
    skipped: ServerRow | None = None
    skipped_cost = 0.0
    refusal = UNREGISTERED
    for row in rows:
        if row.server_id in tried:
            refusal = ALL_TRIED if refusal is UNREGISTERED else refusal
            continue
        if len(row.open_attempts) >= max_open_attempts:
            refusal = ALL_BUSY
            continue
        cost = cost_of(row, own_domain, now, is_pessimistic)
        if row.pace.is_begun and not row.pace.is_due(now):
            if skipped is None or cost < skipped_cost:
                skipped, skipped_cost = row, cost
            cost += COLD_FACTOR
        if best is None or cost < best_cost:
            best, best_cost = row, cost
    is_skipped = skipped is not None and skipped is not best and skipped_cost < best_cost
    if is_skipped and not is_pessimistic:
        skipped.pace.record_skip(now)
    return best or refusal


def cost_of(row: ServerRow, own_domain: str, now: float, is_pessimistic: bool = False) -> float:
    """Return the expected answer time of a server, in multiples of the route's usual latency."""
    queue = len(row.open_attempts) / max(row.registration.slots, 1)
    cost = row.relative_latency(now, is_pessimistic) * (1.0 + QUEUE_FACTOR * queue)
    if row.registration.domain != own_domain:
        cost *= REMOTE_FACTOR
    if row.idle_connections == 0:
        cost += CONNECT_FACTOR
    if row.cold_until > now and not row.pace.is_begun:
        cost += COLD_FACTOR
    if row.failures:
        cost += FAILURE_FACTOR * row.recent_failures(now)
    if row.is_stalled(now):
        cost += STALL_FACTOR
    if row.backoff_until > now:
        cost += STALL_FACTOR
    return cost
