"""Admission of new exchanges.

Load patterns: a burst of callers, or the loss of a failure domain, offers more than the servers can
run. Queues at the servers and in this daemon then grow until every answer is late, so each daemon
limits how many exchanges it has open for one group of services. The limit follows the usual time
that tasks take: a few slow servers do not move it, an overload of all of them does. A query is
admitted with all its shards or refused before any server has received a part of it.

While the limit binds, the less urgent priorities are refused first, until they are admitted less
than half as often as the most urgent one. Callers that come back after a refusal are admitted
before new ones. While tasks of a priority wait for more urgent ones (see :mod:`.slot_reserve`), its
open exchanges do not count for the urgent ones.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..errors import RefusalReason
from ..util.hashing import stable_hash
from .exchanges import ErrorAnswer

if TYPE_CHECKING:
    from collections.abc import Collection

    from .exchanges import CallerRequest, Exchange
    from .model import Route
    from .world import RoutingWorld

INITIAL_LIMIT = 64.0
"""Open exchanges that are admitted until an overload has been seen; more than a daemon has open at
any load that the servers can carry."""
MIN_LIMIT = 1.0
WINDOW_S = 0.2
"""Minimum length of the window of tasks from which the limit is adjusted."""
MIN_TASKS = 24
"""Minimum number of tasks in a window."""
MIN_EXCHANGES = 5
"""Minimum number of exchanges that end in a window. The tasks of one query share its delays, so
many tasks of few queries are no sign of an overload."""
MAX_WINDOW_S = 1.5
"""Length at which a window ends without enough of both; it never decreases the limit."""
FAN_OUT_SHARE = 0.25
"""Fraction of a route's target that a usual task of a query may take without an overload. The
slowest shard takes two to three times as long as the usual one."""
SINGLE_SHARE = 0.6
"""The same for requests to one service."""
FLOOR_FACTOR = 2.0
"""The same as a multiple of the route's latency without load, for long service times."""
SHED_RATIO = 2.0
"""Ratio that a shed attempt counts as, compared with the time at which an overload begins."""
CLEAR_OVERLOAD = 2.0
"""Ratio at which one window is enough to decrease the limit. Below it, two in a row are needed, so
that a few requests that happen to arrive together refuse nobody."""
LOWEST_FACTOR = 0.5
"""Lowest factor by which the limit is decreased after one window."""
HIGHEST_FACTOR = 0.95
"""Highest one, so that a slight overload decreases the limit too."""
GROWTH = 0.1
"""Fraction by which the limit grows after a window without an overload in which it was reached."""
NEW_CALLER_SHARE = 0.9
"""Fraction of the limit that new callers may use; the rest is for callers that come back."""
YIELD_SHARE = 0.15
"""Fraction of the limit that each lower priority leaves to the more urgent ones."""
FAIR_SHARE = 0.5
"""Admission of a priority, relative to the most urgent one, below which it stops yielding."""
STARVED_SHARE = 0.25
"""Fraction of the limit up to which a priority that has stopped yielding is admitted whatever else
is open."""
COUNT_DECAY = 0.9
"""Factor on the counts of offered and admitted exchanges after each window."""
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0
RETURN_SHARE = 1 / 3
"""Fraction of the remaining time that a caller waits at most before it comes back."""
MIN_ABSENCE_S = 0.05
"""Time after which a request with less time left than usual counts as that of a caller who comes
back; callers that repeat at once are not preferred."""
DEADLINE_SAMPLES = 33


@dataclass(slots=True)
class _Demand:
    """Decaying counts of the exchanges of one priority."""

    offered: float = 0.0
    admitted: float = 0.0

    @property
    def admitted_share(self) -> float:
        return self.admitted / self.offered if self.offered else 1.0


@dataclass(slots=True)
class ConcurrencyLimit:
    """The adaptive limit of open exchanges for one group of services.

    ::

        limit = ConcurrencyLimit()
        if limit.admits(priority=1, is_returning=False):
            limit.record_start()
        limit.record_wait(ratio=1.4, now=now)
    """

    limit: float = INITIAL_LIMIT
    open_count: int = 0
    _peak: int = 0
    _ended_count: int = 0
    _is_binding: bool = False
    _was_overloaded: bool = False
    _started_at: float = float("-inf")
    _ratios: list[float] = field(default_factory=list)
    _demand: dict[int, _Demand] = field(default_factory=dict)
    _open: Counter[int] = field(default_factory=Counter)
    """Open exchanges by priority."""

    def admits(
        self, priority: int, is_returning: bool, yielding: Collection[int] = frozenset()
    ) -> bool:
        """Return whether one more exchange is admitted, and count it as offered.

        *yielding* holds the priorities whose tasks leave slots to more urgent ones now.
        """
        demand = self._demand.setdefault(priority, _Demand())
        demand.offered += 1
        is_starved = self._is_starved(priority)
        share = 1.0 if is_returning else NEW_CALLER_SHARE
        if not is_starved:
            share -= YIELD_SHARE * sum(other < priority for other in self._demand)
        is_admitted = self._open_ahead(priority, yielding) < max(MIN_LIMIT, self.limit * share)
        if is_starved and priority in yielding:
            is_admitted |= self._open[priority] < max(MIN_LIMIT, self.limit * STARVED_SHARE)
        demand.admitted += is_admitted
        self._is_binding |= not is_admitted
        return is_admitted

    @property
    def refused_share(self) -> float:
        """The share of the recently offered exchanges that was refused."""
        offered = sum(demand.offered for demand in self._demand.values())
        admitted = sum(demand.admitted for demand in self._demand.values())
        return 1.0 - admitted / offered if offered else 0.0

    def record_start(self, priority: int = 0) -> None:
        """Record an admitted exchange."""
        self.open_count += 1
        self._open[priority] += 1
        self._peak = max(self._peak, self.open_count)

    def record_end(self, priority: int = 0) -> None:
        """Record the end of an admitted exchange."""
        self.open_count -= 1
        self._open[priority] -= 1
        self._ended_count += 1

    def record_wait(self, ratio: float, now: float) -> None:
        """Record a task that took *ratio* times as long as one does when an overload begins."""
        if now - self._started_at > MAX_WINDOW_S:
            self._end_sparse_window()
            self._begin_window(now)
        self._ratios.append(ratio)
        is_complete = len(self._ratios) >= MIN_TASKS and self._ended_count >= MIN_EXCHANGES
        if is_complete and now - self._started_at >= WINDOW_S:
            self._adjust()
            self._begin_window(now)

    def _end_sparse_window(self) -> None:
        """Grow the limit after a window with few tasks, so that it recovers after a burst."""
        if not self._ratios or self._usual_ratio() <= 1.0:
            self._grow()

    def _usual_ratio(self) -> float:
        return sorted(self._ratios)[len(self._ratios) // 2]

    def _grow(self) -> None:
        self.limit = min(INITIAL_LIMIT, self.limit + max(1.0, GROWTH * self.limit))

    def _adjust(self) -> None:
        usual = self._usual_ratio()
        was_overloaded, self._was_overloaded = self._was_overloaded, usual > 1.0
        if usual > CLEAR_OVERLOAD or (was_overloaded and usual > 1.0):
            factor = min(max(1.0 / usual, LOWEST_FACTOR), HIGHEST_FACTOR)
            self.limit = max(MIN_LIMIT, min(self.limit, self._peak) * factor)
        elif self._is_binding or self._peak >= self.limit:
            self._grow()

    def _begin_window(self, now: float) -> None:
        self._started_at = now
        self._ratios.clear()
        self._peak = self.open_count
        self._ended_count = 0
        self._is_binding = False
        for demand in self._demand.values():
            demand.offered *= COUNT_DECAY
            demand.admitted *= COUNT_DECAY

    def _open_ahead(self, priority: int, yielding: Collection[int]) -> int:
        """Return how many open exchanges are in the way of one more of *priority*.

        Less urgent ones are not while their tasks wait for its tasks. They count once they are
        starved, so that the urgent ones leave them a part of the limit.
        """
        behind = sum(
            count
            for other, count in self._open.items()
            if other > priority and other in yielding and not self._is_starved(other)
        )
        return self.open_count - behind

    def _is_starved(self, priority: int) -> bool:
        if priority not in self._demand:
            return False
        most_urgent = self._demand[min(self._demand)].admitted_share
        return self._demand[priority].admitted_share < FAIR_SHARE * most_urgent


class UsualDeadline:
    """The median time that callers of a route wait, from their latest requests."""

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=DEADLINE_SAMPLES)

    def record(self, deadline_s: float) -> None:
        """Record the time limit of one request."""
        self._samples.append(deadline_s)

    def is_shorter(self, deadline_s: float) -> bool:
        """Return whether the caller has waited elsewhere before it sent this request."""
        if len(self._samples) < DEADLINE_SAMPLES:
            return False
        usual = sorted(self._samples)[DEADLINE_SAMPLES // 2]
        return deadline_s < usual - MIN_ABSENCE_S


class Admission:
    """The limits of all groups of services."""

    def __init__(self) -> None:
        self._limits: dict[tuple[str, ...], ConcurrencyLimit] = {}
        self._deadlines: dict[str, UsualDeadline] = {}

    def reset(self) -> None:
        """Return to the initial limits."""
        self._limits.clear()

    def limit(self, services: tuple[str, ...]) -> ConcurrencyLimit:
        """Return the limit for exchanges that need all of *services*."""
        limit = self._limits.get(services)
        if limit is None:
            limit = self._limits[services] = ConcurrencyLimit()
        return limit

    def is_returning(self, request: CallerRequest, route: Route) -> bool:
        """Return whether the caller comes back after a refusal, here or at another daemon."""
        usual = self._deadlines.get(route.name)
        if usual is None:
            usual = self._deadlines[route.name] = UsualDeadline()
        deadline_s = request.deadline_at - request.received_at
        is_returning = usual.is_shorter(deadline_s)
        usual.record(deadline_s)
        return is_returning


def admit(world: RoutingWorld, exchange: Exchange) -> ErrorAnswer | None:
    """Admit *exchange*, or return the answer with which it is refused at once."""
    route = exchange.route
    limit = world.admission.limit(tuple(task.service for task in exchange.tasks))
    is_returning = world.admission.is_returning(exchange.request, route)
    yielding = world.slot_reserve.yielding_priorities(route, world.now)
    if limit.admits(exchange.priority, is_returning, yielding):
        limit.record_start(exchange.priority)
        exchange.limit = limit
        exchange.holds_place = True
        return None
    world.counters["admission.refused_again" if is_returning else "admission.refused"] += 1
    retry_after_s = retry_delay_s(limit.refused_share, exchange.request, world.now)
    return ErrorAnswer(503, RefusalReason.OVERLOADED, retry_after_s)


def retry_delay_s(refused_share: float, request: CallerRequest, now: float) -> float:
    """Return when a refused caller should come back.

    The delay grows with the share of the callers that is refused. It is spread by the request's id,
    so that callers who were refused together do not come back together, and stays within the time
    that the caller would wait.
    """
    spread = stable_hash("retry", request.request_id) % 1000 / 1000
    base_s = MIN_RETRY_AFTER_S / max(1.0 - refused_share, MIN_RETRY_AFTER_S / MAX_RETRY_AFTER_S)
    longest_s = max(0.0, RETURN_SHARE * (request.deadline_at - now))
    return min(base_s * (0.5 + spread), longest_s)


def record_wait(world: RoutingWorld, exchange: Exchange) -> None:
    """Record that a task of *exchange* has taken until now, in a queue of this daemon or not."""
    if exchange.limit is None:
        return
    route = exchange.route
    floor_s = world.latencies(route).floor_s
    target_share = SINGLE_SHARE if route.fan_out is None else FAN_OUT_SHARE
    overload_s = max(target_share * route.target_s, FLOOR_FACTOR * floor_s)
    exchange.limit.record_wait((world.now - exchange.request.received_at) / overload_s, world.now)


def record_shed(world: RoutingWorld, exchange: Exchange) -> None:
    """Record that a server has shed an attempt of *exchange*."""
    if exchange.limit is not None:
        exchange.limit.record_wait(SHED_RATIO, world.now)


def record_end(world: RoutingWorld, exchange: Exchange) -> None:
    """Free the place of *exchange*, which is about to be answered."""
    if not exchange.holds_place:
        return
    exchange.holds_place = False
    exchange.limit.record_end(exchange.priority)
    for task in exchange.tasks:
        if not task.is_over:
            record_wait(world, exchange)
