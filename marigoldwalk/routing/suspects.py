"""Detection of request content that crashes the servers that execute it.

Load pattern: a request crashes every server that starts to execute it, and the caller repeats it
through any daemon. A broken connection alone is no proof of a crash, since replies are also lost in
other ways; a server that refuses connections right afterwards has crashed. The daemons exchange
their evidence.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

CRASH_THRESHOLD = 3
"""Number of crashed servers at which request content is refused."""
CRASH_CONFIRMATION_S = 1.5
"""Time after a broken connection within which a refused connection confirms a crash."""
EVIDENCE_TTL_S = 60.0
"""Time for which evidence is valid; callers repeat such requests for some seconds."""
MAX_EVIDENCE_PER_DATAGRAM = 8
"""Maximum number of request contents reported in one datagram; the latest ones are sent."""


@dataclass(frozen=True, slots=True)
class Evidence:
    """The servers that crashed while executing the same request content."""

    fingerprint: str
    servers: tuple[str, ...]


class Suspects:
    """Evidence of crashes, by request content.

    ::

        suspects.record_loss("f1", "i-1", now)
        suspects.record_unreachable("i-1", now)
        suspects.is_refused("f1", now)
    """

    def __init__(self) -> None:
        self._losses: dict[str, deque[tuple[float, str]]] = {}
        self._crashes: dict[str, dict[str, float]] = {}

    def record_loss(self, fingerprint: str, server_id: str, now: float) -> None:
        """Record that the connection broke while the server executed the content."""
        losses = self._losses.setdefault(server_id, deque(maxlen=8))
        losses.append((now, fingerprint))

    def record_unreachable(self, server_id: str, now: float) -> list[str]:
        """Record that a server refuses connections; return the contents that crashed it."""
        return [
            fingerprint
            for lost_at, fingerprint in self._losses.pop(server_id, ())
            if now - lost_at <= CRASH_CONFIRMATION_S
            and self._add_crash(fingerprint, server_id, now)
        ]

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Return whether the content has crashed so many servers that it must not be sent again."""
        return len(self._crashed_servers(fingerprint, now)) >= CRASH_THRESHOLD

    def evidence(self, now: float) -> list[Evidence]:
        """Return the latest evidence, to send to other daemons."""
        latest = list(self._crashes)[-MAX_EVIDENCE_PER_DATAGRAM:]
        collected = [Evidence(f, tuple(sorted(self._crashed_servers(f, now)))) for f in latest]
        return [evidence for evidence in collected if evidence.servers]

    def merge(self, received: Iterable[Evidence], now: float) -> list[str]:
        """Merge evidence received from another daemon; return the contents with new evidence."""
        return [evidence.fingerprint for evidence in received if self._add_crashes(evidence, now)]

    def crash_count(self, fingerprint: str, now: float) -> int:
        """Return the number of servers that are known to have crashed under the content."""
        return len(self._crashed_servers(fingerprint, now))

    def _add_crashes(self, evidence: Evidence, now: float) -> bool:
        """Add all crashes in *evidence*; return whether any of them is new."""
        count = sum(self._add_crash(evidence.fingerprint, s, now) for s in evidence.servers)
        return count > 0

    def _add_crash(self, fingerprint: str, server_id: str, now: float) -> bool:
        servers = self._crashes.setdefault(fingerprint, {})
        if server_id in servers:
            return False
        servers[server_id] = now
        return True

    def _crashed_servers(self, fingerprint: str, now: float) -> list[str]:
        servers = self._crashes.get(fingerprint)
        if servers is None:
            return []
        for server_id, seen_at in list(servers.items()):
            if now - seen_at > EVIDENCE_TTL_S:
                del servers[server_id]
        if not servers:
            del self._crashes[fingerprint]
        return list(servers)
