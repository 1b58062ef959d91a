"""Tables of what a daemon knows about backend servers."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..config.view import Address
    from .model import Registration

LATENCY_SAMPLES = 5
"""Answers whose median counts as a server's latency. A pause delays the two or so that are open at
its time and must not move work to another failure domain; a slow server delays all of them."""
LATENCY_HALF_LIFE_S = 3.0
"""Time in which half of what set a server apart is forgotten, so that a slow one is tried again."""
FAILURE_HALF_LIFE_S = 2.0
"""Time in which half of a server's failures are forgotten."""
UNREACHABLE_FIRST_S = 0.25
"""Time for which a server is left alone after the first connection that failed."""
UNREACHABLE_LAST_S = 2.0
"""The longest such time; it doubles with each further failure in a row."""
SHED_WEIGHT = 0.3
"""Weight of a refusal among failures; a server that refuses part of its work yields to others."""
SHED_PAUSE_S = 0.03
"""Time for which a server that sheds load is passed over, about the work of one request."""


@dataclass(slots=True, eq=False)
class ServerRow:
    """One incarnation of a backend server and what this daemon has seen of it."""

    registration: Registration
    cold_until: float = 0.0
    removed_at: float | None = None
    """When its registration disappeared, if it has."""
    open_attempts: dict[int, float] = field(default_factory=dict)
    """The time by which each unanswered attempt should have been answered, oldest first."""
    idle_connections: int = 0
    latency_ratios: deque[float] = field(default_factory=lambda: deque(maxlen=LATENCY_SAMPLES))
    """Latest latencies over what is usual for their routes."""
    lowest_ratios: tuple[float, float] = (1.0, 1.0)
    """The lowest latency of each of the last two groups of answers that were open together."""
    latency_ratio: float = 1.0
    """How much slower than usual the server is, as of ``latency_at``."""
    latency_at: float = 0.0
    failures: float = 0.0
    """Recent failures, forgotten with a half-life."""
    failures_at: float = 0.0
    unreachable_count: int = 0
    passed_over_until: float = 0.0

    @property
    def server_id(self) -> str:
        """The identity that the server registered."""
        return self.registration.server_id

    def is_stalled(self, now: float) -> bool:
        """Return whether its oldest attempt should have been answered already."""
        for expected_at in self.open_attempts.values():
            return expected_at < now
        return False

    @property
    def address(self) -> Address:
        """Where the server is reached."""
        return self.registration.address

    def relative_latency(self, now: float, is_wary: bool = False) -> float:
        """Return how much slower than usual the server is believed to answer.

        *is_wary* takes the latest answers for granted, although a pause may have delayed them.
        """
        forgotten = 0.5 ** ((now - self.latency_at) / LATENCY_HALF_LIFE_S)
        ratio = max(self.latency_ratio, self.lowest_ratios[1]) if is_wary else self.latency_ratio
        return 1.0 + (ratio - 1.0) * forgotten

    def note_latency(self, ratio: float, sent_at: float, now: float) -> None:
        """Take an answer's latency, relative to what is usual for its route, into account.

        A pause delays the answers that are open together and no later ones, so two slow answers,
        the second of which was asked for after the first one had come, tell of a slow server.
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
        """Count an answer that failed or never came."""
        self.failures = self.recent_failures(now) + weight
        self.failures_at = now

    def note_success(self, now: float) -> None:
        """Count a good answer, which outweighs part of the failures."""
        self.failures = self.recent_failures(now) * 0.8
        self.failures_at = now

    def note_unreachable(self, now: float) -> None:
        """Pass over the server for a while after a connection that could not be opened."""
        pause_s = min(UNREACHABLE_FIRST_S * 2**self.unreachable_count, UNREACHABLE_LAST_S)
        self.unreachable_count += 1
        self.passed_over_until = max(self.passed_over_until, now + pause_s)

    def note_shed(self, now: float) -> None:
        """Pass over the server for a moment after it refused work, and remember that it did."""
        self.record_failure(now, SHED_WEIGHT)
        self.passed_over_until = max(self.passed_over_until, now + SHED_PAUSE_S)

    def recent_failures(self, now: float) -> float:
        """Return the failures that are not forgotten yet."""
        if not self.failures:
            return 0.0
        return self.failures * 0.5 ** ((now - self.failures_at) / FAILURE_HALF_LIFE_S)
