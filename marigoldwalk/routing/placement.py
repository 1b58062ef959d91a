"""Choice of the server that gets an attempt.

Load pattern: servers pause, turn slow, fail part of their requests or come back cold, each at its
own time, while others of the service are well. The expected time of an answer decides; bytes
between failure domains weigh less than any of these.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from .tables import ServerRow

REMOTE_FACTOR = 2.2
"""Cost of a server in another failure domain. Bytes between domains are the largest price that
placement moves; a server nearby is passed over once it is about twice as slow."""
STALL_FACTOR = 8.0
"""Usual latencies that an attempt costs at a server that owes an answer."""
COLD_FACTOR = 3.0
"""Usual latencies that an attempt costs at a cold server, which works slower."""
FAILURE_FACTOR = 4.0
"""Usual latencies that each recent failure of a server costs."""
QUEUE_FACTOR = 1.0
"""Share of a latency that each open attempt adds for each slot of the server."""
CONNECT_FACTOR = 0.3
"""Usual latencies that a new connection costs, which holds a slot for some milliseconds."""


@dataclass(frozen=True, slots=True)
class NoServer:
    """No server can take the attempt, and why. It is falsy."""

    code: str
    """Names the counter of such refusals."""
    reason: str

    def __bool__(self) -> bool:
        return False


UNREGISTERED = NoServer("unregistered", "no server is registered")
NONE_USABLE = NoServer("none_usable", "every server drains, is cold or is out of service")
ALL_BUSY = NoServer("all_busy", "every server has as many attempts as this daemon may send it")
ALL_TRIED = NoServer("all_tried", "every server was tried")
ALL_STALLED = NoServer("all_stalled", "every other server would take as long")
TOO_LATE = NoServer("too_late", "a second attempt would miss the target")
BUDGET_SCARCE = NoServer("no_budget", "the retry budget is kept for queries that it decides")


def choose_server(
    rows: Iterable[ServerRow],
    own_domain: str,
    tried: Collection[str],
    room: int,
    now: float,
    is_wary: bool = False,
) -> ServerRow | NoServer:
    """Return the server that should answer first.

    *tried* names servers that are left out, and *room* is how many open attempts one server may
    have from this daemon. *is_wary* is for the last attempt that a task has: a server whose latest
    answer was slow is passed over although that may have been a pause. The reason is returned if
    there is no such server.
    """
    best: ServerRow | None = None
    best_cost = 0.0
    refusal = UNREGISTERED
    for row in rows:
        if row.server_id in tried:
            refusal = ALL_TRIED if refusal is UNREGISTERED else refusal
            continue
        if len(row.open_attempts) >= room:
            refusal = ALL_BUSY
            continue
        cost = cost_of(row, own_domain, now, is_wary)
        if best is None or cost < best_cost:
            best, best_cost = row, cost
    return best or refusal


def cost_of(row: ServerRow, own_domain: str, now: float, is_wary: bool = False) -> float:
    """Return the expected time of an answer, in usual latencies of the route."""
    queue = len(row.open_attempts) / max(row.registration.slots, 1)
    cost = row.relative_latency(now, is_wary) * (1.0 + QUEUE_FACTOR * queue)
    if row.registration.domain != own_domain:
        cost *= REMOTE_FACTOR
    if row.idle_connections == 0:
        cost += CONNECT_FACTOR
    if row.cold_until > now:
        cost += COLD_FACTOR
    if row.failures:
        cost += FAILURE_FACTOR * row.recent_failures(now)
    if row.is_stalled(now):
        cost += STALL_FACTOR
    if row.passed_over_until > now:
        cost += STALL_FACTOR
    return cost
