"""Recognition of content that crashes the servers that run it.

Load pattern: a request crashes each server that begins to run it, and its caller sends it again,
through any daemon. A broken connection alone proves nothing, since answers are lost in other ways;
a server that then refuses connections has crashed. Evidence is shared between daemons.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

CRASHES = 3
"""Servers that a content must have crashed before it is refused."""
PROOF_S = 1.5
"""Time after a broken connection in which a refused one proves that the server crashed."""
REMEMBERED_S = 60.0
"""Time for which evidence counts; callers repeat such requests for some seconds."""
MAX_TOLD = 8
"""Contents that one datagram tells of, the latest ones."""


@dataclass(frozen=True, slots=True)
class Evidence:
    """The servers that crashed while they ran one content."""

    fingerprint: str
    servers: tuple[str, ...]


class Suspects:
    """Keep evidence of crashes by content.

    ::

        suspects.note_loss("f1", "i-1", now)
        suspects.note_unreachable("i-1", now)
        suspects.is_refused("f1", now)
    """

    def __init__(self) -> None:
        self._losses: dict[str, deque[tuple[float, str]]] = {}
        self._crashes: dict[str, dict[str, float]] = {}

    def note_loss(self, fingerprint: str, server_id: str, now: float) -> None:
        """Note that a connection broke while its server ran the content."""
        losses = self._losses.setdefault(server_id, deque(maxlen=8))
        losses.append((now, fingerprint))

    def note_unreachable(self, server_id: str, now: float) -> bool:
        """Note that a server refuses connections; returns whether that is new evidence."""
        found = False
        for lost_at, fingerprint in self._losses.pop(server_id, ()):
            if now - lost_at <= PROOF_S:
                found |= self._add(fingerprint, server_id, now)
        return found

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Return whether the content has crashed so many servers that it is not sent any more."""
        return len(self._servers(fingerprint, now)) >= CRASHES

    def evidence(self, now: float) -> list[Evidence]:
        """Return what to tell other daemons."""
        latest = list(self._crashes)[-MAX_TOLD:]
        told = [Evidence(f, tuple(sorted(self._servers(f, now)))) for f in latest]
        return [evidence for evidence in told if evidence.servers]

    def merge(self, told: Iterable[Evidence], now: float) -> None:
        """Take in what another daemon tells."""
        for evidence in told:
            for server_id in evidence.servers:
                self._add(evidence.fingerprint, server_id, now)

    def _add(self, fingerprint: str, server_id: str, now: float) -> bool:
        servers = self._crashes.setdefault(fingerprint, {})
        if server_id in servers:
            return False
        servers[server_id] = now
        return True

    def _servers(self, fingerprint: str, now: float) -> list[str]:
        servers = self._crashes.get(fingerprint)
        if servers is None:
            return []
        for server_id, seen_at in list(servers.items()):
            if now - seen_at > REMEMBERED_S:
                del servers[server_id]
        if not servers:
            del self._crashes[fingerprint]
        return list(servers)
