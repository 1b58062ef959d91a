"""The per-server state that a daemon keeps about backend servers."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .pace import Pace

if TYPE_CHECKING:
    from ..config.view import Address
    from .model import Registration
    from .server_limits import RateLimit

LATENCY_SAMPLES = 5
"""Number of latest answers whose median is the server's latency. A pause delays only the answers
pending at that time, about two, and must not move requests to another failure domain; a slow server
delays all of them."""
LATENCY_HALF_LIFE_S = 3.0
"""Half-life of the relative latency; it decays so that a slow server is tried again."""
FAILURE_HALF_LIFE_S = 2.0
"""Half-life of a server's failure count."""
UNREACHABLE_BACKOFF_S = 0.25
"""Backoff after the first failed connection to a server; it doubles with each further failure in
a row."""
UNREACHABLE_MAX_BACKOFF_S = 2.0
"""Maximum backoff after failed connections."""
REPLACED_S = 10.0
"""Time for which a server is not used after another one has answered at its address. It is gone, so
the time only bounds the effect of a wrong answer."""
SHED_WEIGHT = 0.3
"""Weight of a shed request in the failure count, so that a server that sheds part of its load is
chosen after the others."""
SHED_BACKOFF_S = 0.03
"""Backoff after a server has shed a request, about the service time of one request."""


@dataclass(slots=True, eq=False)
class ServerRow:
    """One incarnation of a backend server and this daemon's statistics about it."""

    registration: Registration
    cold_until: float = 0.0
    drop_at: float | None = None
    """When the server is dropped because its registration is missing, or ``None``."""
    open_attempts: dict[int, float] = field(default_factory=dict)
    """The expected answer time of each open attempt by attempt number, oldest first."""
    idle_connections: int = 0
    heard_at: float = float("-inf")
    """When the server last sent a reply or took a connection."""
    latency_ratios: deque[float] = field(default_factory=lambda: deque(maxlen=LATENCY_SAMPLES))
    """Latest latencies, each divided by the median of its route."""
    lowest_ratios: tuple[float, float] = (1.0, 1.0)
    """The lowest ratio of each of the last two groups of attempts that were open concurrently."""
    latency_ratio: float = 1.0
    """Ratio of the server's latency to the usual one, as of ``latency_at``."""
    latency_at: float = 0.0
    failures: float = 0.0
    """Exponentially decaying count of failures, as of ``failures_at``."""
    failures_at: float = 0.0
    unreachable_count: int = 0
    backoff_until: float = 0.0
    leaving_at: float | None = None
    """When the server first said in a reply that it is leaving, or ``None``."""
    paused_until: float = 0.0
    """Time until which the server has asked this daemon for no requests."""
    rate_limit: RateLimit | None = None
    """The limit that the server stated in its last reply, if any."""
    pace: Pace = field(default_factory=Pace)
    replaced_until: float = 0.0
    """Time until which the server counts as gone, since its address belongs to another one."""

    @property
    def server_id(self) -> str:
        """The id under which the server is registered."""
        return self.registration.server_id

    def is_gone(self, now: float) -> bool:
        """Return whether the server is taken as gone, although its registration is kept."""
        is_dropped = self.drop_at is not None and self.drop_at <= now
        return is_dropped or self.replaced_until > now

    def is_stalled(self, now: float) -> bool:
        """Return whether the oldest open attempt is past its expected answer time."""
        for expected_at in self.open_attempts.values():
            return expected_at < now
        return False

    @property
    def address(self) -> Address:
        """The network address of the server."""
        return self.registration.address

    def relative_latency(self, now: float, is_pessimistic: bool = False) -> float:
        """Return the estimated ratio of the server's latency to the usual one.

        If *is_pessimistic* is set, the latest answers count even if only a pause delayed them.
        """
        decay = 0.5 ** ((now - self.latency_at) / LATENCY_HALF_LIFE_S)
        ratio = (
            max(self.latency_ratio, self.lowest_ratios[1]) if is_pessimistic else self.latency_ratio
        )
        return 1.0 + (ratio - 1.0) * decay

    def record_latency(self, ratio: float, sent_at: float, now: float) -> None:
        """Record the latency of an answer, as a ratio to the median of its route.

        A pause delays only the attempts that are open at the same time. Two slow answers in a row
        therefore indicate a slow server if the second attempt was sent after the first answer.
        """
        earlier, latest = self.lowest_ratios
        if sent_at >= self.latency_at:
            self.lowest_ratios = (latest, ratio)
        else:
            self.lowest_ratios = (earlier, min(latest, ratio))
        ratios = self.latency_ratios
        ratios.append(ratio)
        usual = sorted(ratios)[LATENCY_SAMPLES // 2] if len(ratios) == LATENCY_SAMPLES else 1.0
        self.latency_ratio = max(usual, min(self.lowest_ratios))
        self.latency_at = now
        self.unreachable_count = 0

    def record_failure(self, now: float, weight: float = 1.0) -> None:
        """Record a failed or missing answer."""
        self.failures = self.recent_failures(now) + weight
        self.failures_at = now

    def record_success(self, now: float) -> None:
        """Record a successful answer, which reduces the failure count by a fifth."""
        self.failures = self.recent_failures(now) * 0.8
        self.failures_at = now

    def record_unreachable(self, now: float) -> None:
        """Back off from the server after a connection could not be opened."""
        backoff_s = min(
            UNREACHABLE_BACKOFF_S * 2**self.unreachable_count, UNREACHABLE_MAX_BACKOFF_S
        )
        self.unreachable_count += 1
        self.backoff_until = max(self.backoff_until, now + backoff_s)

    def forget_failures(self) -> None:
        """Forget all failures, since they say nothing about the server."""
        self.failures = 0.0
        self.unreachable_count = 0
        self.backoff_until = 0.0
        self.latency_ratios.clear()
        self.lowest_ratios = (1.0, 1.0)
        self.latency_ratio = 1.0
        self.pace = Pace()

    def record_leaving(self, now: float) -> bool:
        """Record that the server is leaving; return whether that is new."""
        is_new = self.leaving_at is None
        if is_new:
            self.leaving_at = now
        return is_new

    def record_replaced(self, now: float) -> None:
        """Record that another server has answered at this server's address."""
        self.replaced_until = now + REPLACED_S

    def record_pause(self, pause_s: float, now: float) -> None:
        """Record that the server wants no requests for *pause_s*."""
        self.paused_until = max(self.paused_until, now + pause_s)

    def record_shed(self, now: float) -> None:
        """Back off from the server after it shed a request, and add that to the failure count."""
        self.record_failure(now, SHED_WEIGHT)
        self.backoff_until = max(self.backoff_until, now + SHED_BACKOFF_S)

    def recent_failures(self, now: float) -> float:
        """Return the failure count, decayed to *now*."""
        if not self.failures:
            return 0.0
        return self.failures * 0.5 ** ((now - self.failures_at) / FAILURE_HALF_LIFE_S)
