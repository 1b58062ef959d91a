"""Token buckets that a holder keeps for the quotas of workspaces.

Load pattern: the requests of one workspace arrive at any of many daemons, at most of them seldom.
One daemon, the holder, counts all of them. If it is lost, the next one does not know what has been
used, so it begins with a small part of what the operators tolerate.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .world import RoutingLimits

SAVED_SHARE = 0.3
"""Fraction of the tolerance that a holder saves up in addition to the burst."""
STARTING_SHARE = 0.15
"""Fraction of the tolerance that a new holder begins with, and that a stand-in grants per window.
The rest of the tolerance is for daemons that reach no holder, and for requests that arrive closer
together than they were admitted."""
SCARCE_SHARE = 0.5
"""Fraction of the capacity below which requests are admitted only after asking."""
RETRY_MARGIN_S = 0.01
"""Time added for retries that arrive a little earlier than the others."""
MAX_RETRY_S = 10.0
"""Maximum time over which the retries of refused callers are spread."""


@dataclass(frozen=True, slots=True)
class QuotaAsk:
    """Requests of a workspace that a daemon reports to a holder, or asks it to admit."""

    number: int
    """Identifies the answer."""
    workspace: str
    version: int
    """Version of the configuration that states the quota."""
    rate_per_s: float
    burst: float
    count: int = 1
    """Number of requests; -1 takes back one that did not run, and 0 only asks."""
    is_admitted: bool = False
    """Whether the request has been admitted already."""
    is_referred: bool = False
    """Whether a leaving holder has referred the sender to this one."""


@dataclass(frozen=True, slots=True)
class QuotaAnswer:
    """The answer of a holder."""

    number: int
    is_granted: bool = False
    room_s: float = 0.0
    """Time until the quota has room for a request."""
    retry_s: float = 0.0
    """Time after which the caller should try again; refused callers get different ones."""
    is_scarce: bool = False
    is_leaving: bool = False
    """Whether the daemon is leaving, or has just started, and the next one should be asked."""
    is_elsewhere: bool = False
    """Whether other daemons hold the quota, as far as the sender knows."""


@dataclass(slots=True)
class QuotaBucket:
    """What the workspace may still use, as of ``updated_at``."""

    version: int
    rate_per_s: float
    burst: float
    tokens: float
    updated_at: float
    retry_at: float = 0.0
    """When the caller that was refused last should try again."""
    is_scarce: bool = False


class QuotaBuckets:
    """The buckets of one daemon, by workspace.

    ::

        buckets = QuotaBuckets(world.limits)
        answer = buckets.take(ask, factor=1.0, now=now)
    """

    def __init__(self, limits: RoutingLimits) -> None:
        self.began_at = float("inf")
        """Since when the same daemons have been the holders; new buckets have filled since then."""
        self._limits = limits.quotas
        self._buckets: dict[str, QuotaBucket] = {}

    def get(self, workspace: str) -> QuotaBucket | None:
        """Return the bucket of a workspace if it has been used."""
        return self._buckets.get(workspace)

    def take(self, ask: QuotaAsk, factor: float, now: float) -> QuotaAnswer:
        """Count the requests of *ask* if they fit or have been admitted already.

        *factor* is the part of the rate that this daemon grants, 0 for a stand-in, which does not
        know whether the holder still grants requests elsewhere.
        """
        bucket = self._current(ask, now)
        rate_per_s, capacity = self._terms(bucket, factor)
        earned = (now - bucket.updated_at) * rate_per_s
        bucket.tokens = min(capacity, bucket.tokens + max(0.0, earned))
        bucket.updated_at = now
        is_granted = ask.is_admitted or bucket.tokens >= ask.count
        if is_granted:
            bucket.tokens = min(capacity, bucket.tokens - ask.count)
        bucket.is_scarce = bucket.tokens < SCARCE_SHARE * capacity
        room_s = max(0.0, 1.0 - bucket.tokens) / rate_per_s
        retry_s = 0.0
        if not is_granted:
            retry_s = _next_retry(bucket, room_s, rate_per_s, now)
        is_scarce = bucket.is_scarce or not factor
        return QuotaAnswer(ask.number, is_granted, room_s, retry_s, is_scarce)

    def trim(self) -> None:
        """Reduce all buckets to what a new holder begins with.

        Another daemon may have granted requests while this one was cut off or did not run.
        """
        for bucket in self._buckets.values():
            bucket.tokens = min(
                bucket.tokens, self._starting_tokens(bucket.rate_per_s, bucket.burst)
            )

    def _current(self, ask: QuotaAsk, now: float) -> QuotaBucket:
        """Return the bucket for *ask* under the newest version of the quota."""
        bucket = self._buckets.get(ask.workspace)
        if bucket is None:
            tokens = self._starting_tokens(ask.rate_per_s, ask.burst)
            began_at = min(self.began_at, now)
            bucket = QuotaBucket(ask.version, ask.rate_per_s, ask.burst, tokens, began_at)
            self._buckets[ask.workspace] = bucket
        elif ask.version > bucket.version:
            bucket.version = ask.version
            bucket.rate_per_s = ask.rate_per_s
            bucket.burst = ask.burst
        return bucket

    def _terms(self, bucket: QuotaBucket, factor: float) -> tuple[float, float]:
        """Return the rate at which the bucket fills, and its capacity."""
        if factor:
            tolerance = self._tolerance(bucket.rate_per_s, bucket.burst)
            capacity = max(1.0, bucket.burst + SAVED_SHARE * tolerance)
            return factor * bucket.rate_per_s, capacity
        starting = self._starting_tokens(bucket.rate_per_s, bucket.burst)
        return min(bucket.rate_per_s, starting / self._limits.window_s), starting

    def _starting_tokens(self, rate_per_s: float, burst: float) -> float:
        return max(1.0, STARTING_SHARE * self._tolerance(rate_per_s, burst))

    def _tolerance(self, rate_per_s: float, burst: float) -> float:
        limits = self._limits
        return limits.overage * (rate_per_s * limits.window_s + burst) + limits.slack


def _next_retry(bucket: QuotaBucket, room_s: float, rate_per_s: float, now: float) -> float:
    """Return a time after which a refused caller finds room even if those before it come back."""
    bucket.retry_at = max(bucket.retry_at + 1.0 / rate_per_s, now + room_s + RETRY_MARGIN_S)
    retry_s = max(room_s, min(bucket.retry_at - now, MAX_RETRY_S))
    bucket.retry_at = now + retry_s
    return retry_s
