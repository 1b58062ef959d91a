"""The pace at which a server that has started or recovered gets requests again.

Load patterns: servers restart after a crash or a release and are slow for some seconds; a server
takes connections again after an outage; a slow server becomes fast again; a server goes down and
comes back by turns; the servers of a whole failure domain come back together. If such a server gets
all requests at once, it may be slow for all of them or crash again. If it gets none for a fixed
time, the others carry its load for longer than needed.

Each daemon therefore keeps a level for each server: the fraction of the requests that it would send
there by cost alone and does send there. The level begins low and doubles with good answers, as in
the slow start of TCP. A failed, shed or slow answer reduces it and sets a threshold above which it
grows by small steps. A fraction has the same meaning at every daemon, so the sum over the fleet
follows it without coordination. Without answers the level grows slowly, since a daemon with few
requests may not hear from the server at all.

The level never refuses a request: a server that is not due only counts as slower, see
:mod:`.placement`. Limits that servers and services state apply in addition, see :mod:`.cold` and
:mod:`.server_limits`.
"""

from __future__ import annotations

import logging
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..util.hashing import stable_hash

if TYPE_CHECKING:
    from .tables import ServerRow
    from .world import RoutingWorld

logger = logging.getLogger(__name__)

FULL = 1.0
"""Level of a server that gets all requests for which it is the best choice."""
INITIAL_LEVEL = 0.25
"""Level after a start or an outage; two good answers lead from it to the full level."""
LOWEST_LEVEL = 0.1
"""Lower bound on the level, so that the server still shows how it answers."""
GROWTH_FACTOR = 2.0
"""Factor on the level after a good answer below the threshold."""
GROWTH_STEP = 0.1
"""Amount added to the level after a good answer above the threshold."""
REDUCTION_FACTOR = 0.5
"""Factor on the level after a failed, shed or slow answer."""
MIN_STEP_S = 0.2
"""Minimum time between two changes in the same direction. It bounds the growth at daemons with many
requests, and answers that fail together reduce the level once."""
SILENT_DOUBLING_S = 1.5
"""Time in which the level grows by one step without any answer, so that a daemon that has no
requests for a started server sends to it as usual after twice this time."""
GOOD_RATIO = 2.0
"""Highest latency of a good answer, as a multiple of the median of its route. Servers that have
just started need up to 1.6 times as long and are of use."""
SLOW_RATIO = 2.5
"""Latency of two answers in a row, as a multiple of that median, which reduces the level."""
MAX_FAILURES = 1.5
"""Recent failures of a server with the full level that reduce it. One failure may be the fault of
the request, and the failure count makes the server costlier for a while in any case."""
LOG_INTERVAL_S = 5.0
"""Minimum time between two log lines about reductions of one server's level."""
_HASH_RANGE = 2**64


@dataclass(slots=True)
class Pace:
    """The level of one server at one daemon.

    ::

        pace = Pace()
        pace.begin(now, phase=0.5)
        if pace.is_due(now):
            pace.record_send(now)
        else:
            pace.record_skip(now)
        pace.record_good(sent_at, now)
    """

    changed_at: float = float("-inf")
    """When the level last changed, or when the backoff ends if that is later."""
    reduced_at: float = float("-inf")
    """When a failed, shed or slow answer last reduced the level."""
    threshold: float = FULL
    """Level above which it grows by steps."""
    credit: float = 0.0
    """What skipped requests have saved up. Each request adds the level, and each send takes one."""
    is_begun: bool = False
    """Whether the server has started or recovered as far as this daemon knows."""
    reported_at: float = float("-inf")
    is_reported: bool = False
    _level: float = FULL

    def level(self, now: float) -> float:
        """Return the level at *now*, between :data:`LOWEST_LEVEL` and :data:`FULL`."""
        if self._level >= FULL:
            return FULL
        periods = max(0.0, now - self.changed_at) / SILENT_DOUBLING_S
        if self._level < self.threshold:
            doublings = math.log2(self.threshold / self._level)
            if periods <= doublings:
                return self._level * 2.0**periods
            return min(FULL, self.threshold + GROWTH_STEP * (periods - doublings))
        return min(FULL, self._level + GROWTH_STEP * periods)

    def begin(self, now: float, phase: float) -> None:
        """Begin with the initial level; *phase*, 0 to 1, differs between daemons.

        Since all daemons begin at about the same time, the phase keeps their first requests apart.
        """
        self.is_begun = True
        self._level = min(self.level(now), INITIAL_LEVEL)
        self.changed_at = now
        self.credit = phase

    def is_due(self, now: float) -> bool:
        """Return whether the server may get the next request that would be sent there by cost."""
        return self.credit + self.level(now) >= FULL

    def record_skip(self, now: float) -> None:
        """Record that a request went elsewhere only because the server was not due."""
        self.credit = min(FULL, self.credit + self.level(now))

    def record_send(self, now: float) -> None:
        """Record a request that is sent to the server."""
        level = self.level(now)
        if level < FULL:
            self.credit = max(0.0, self.credit + level - FULL)

    def record_good(self, sent_at: float, now: float) -> bool:
        """Record a good answer; return whether the level reached :data:`FULL` with it.

        Only an attempt that was sent after the last change shows how the server bears the level.
        """
        if self._level >= FULL:
            return False
        level = self.level(now)
        if sent_at >= self.changed_at and now >= self.changed_at + MIN_STEP_S:
            doubled = max(level, min(level * GROWTH_FACTOR, self.threshold))
            level = doubled if doubled > level else level + GROWTH_STEP
            self._level = min(FULL, level)
            self.changed_at = now
            self.credit = max(0.0, FULL - level)
        if level < FULL:
            return False
        self._level = self.threshold = FULL
        return True

    def record_trouble(self, now: float) -> bool:
        """Reduce the level; return whether it was the full one."""
        level = self.level(now)
        if now < self.reduced_at + MIN_STEP_S:
            return False
        self.reduced_at = now
        reduced = max(LOWEST_LEVEL, level * REDUCTION_FACTOR)
        self._reduce(min(reduced, INITIAL_LEVEL) if level >= FULL else reduced, level, now)
        return level >= FULL

    def record_outage(self, now: float, until: float, phase: float) -> bool:
        """Begin again at *until* after an outage; return whether the level was the full one."""
        level = self.level(now)
        self._reduce(min(level, INITIAL_LEVEL), level, until)
        self.credit = phase
        return level >= FULL

    def _reduce(self, reduced: float, level: float, changed_at: float) -> None:
        self.is_begun = True
        self.threshold = max(INITIAL_LEVEL, min(self.threshold, level * REDUCTION_FACTOR))
        self._level = reduced
        self.changed_at = changed_at
        self.credit = 0.0


def phase_of(daemon: str, server_id: str) -> float:
    """Return the phase, 0 to 1, at which a daemon begins with a server."""
    return stable_hash("pace", daemon, server_id) / _HASH_RANGE


def record_success(world: RoutingWorld, row: ServerRow, ratio: float, sent_at: float) -> None:
    """Record a successful answer with *ratio* times the usual latency of its route."""
    if min(row.lowest_ratios) > SLOW_RATIO:
        _reduce(world, row, "slow", row.pace.record_trouble(world.now))
    elif ratio <= GOOD_RATIO and row.pace.record_good(sent_at, world.now):
        world.counters["pace.restored"] += 1
        if row.pace.is_reported:
            row.pace.is_reported = False
            logger.info("server has its full pace again", extra={"fields": _fields(world, row)})


def record_failure(world: RoutingWorld, row: ServerRow, reason: str) -> None:
    """Record a failed, shed or garbled answer, after it was added to the failure count."""
    is_full = row.pace.level(world.now) >= FULL
    if is_full and row.recent_failures(world.now) < MAX_FAILURES:
        return
    _reduce(world, row, reason, row.pace.record_trouble(world.now))


def record_outage(world: RoutingWorld, row: ServerRow, is_refusing: bool = False) -> None:
    """Record that the server cannot be used, after its backoff was set.

    If it refuses connections, the failures of the outage are forgotten. They would keep it idle for
    seconds after it has come back, while another refusal costs a request only a moment. Failures
    of a server that does not respond at all are kept, since each attempt there takes long.
    """
    if is_refusing:
        row.failures = 0.0
    phase = phase_of(world.senders.own, row.server_id)
    was_full = row.pace.record_outage(world.now, row.backoff_until, phase)
    _reduce(world, row, "unreachable", was_full)


def _reduce(world: RoutingWorld, row: ServerRow, reason: str, was_full: bool) -> None:
    """Count a reduction, and log the first one of a server that had the full level."""
    world.counters[f"pace.{reason}"] += 1
    pace = row.pace
    if not was_full or world.now < pace.reported_at + LOG_INTERVAL_S:
        return
    pace.reported_at = world.now
    pace.is_reported = True
    fields = _fields(world, row) | {"reason": reason}
    logger.info("server gets a reduced pace", extra={"fields": fields})


def _fields(world: RoutingWorld, row: ServerRow) -> dict[str, object]:
    return {
        "server": row.server_id,
        "service": row.registration.service,
        "level": round(row.pace.level(world.now), 2),
        "threshold": round(row.pace.threshold, 2),
    }
