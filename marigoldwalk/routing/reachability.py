"""What this daemon's attempts say about its own links to the backend servers.

Load pattern: a daemon loses its links to all servers while callers, the store and the other daemons
still reach it. Seen from one server at a time, all servers fail. Servers of several services that
fall silent together, while no other one is heard from, raise a doubt about the links instead.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .tables import ServerRow

logger = logging.getLogger(__name__)

MIN_SILENT = 3
"""Number of servers that have failed or are overdue, since any server was last heard from, at which
the links are in doubt."""
MIN_UNOPENED = 4
"""Number of servers that took no connection, since the last one that did, at which the links are in
doubt even if open connections still work."""
SILENCE_S = 0.1
"""Time without a sign of any server before the links are in doubt. Answers that become overdue
together, as those of one query, are followed by the answers of other servers sooner."""
QUIET_S = 1.0
"""Time without a sign of any server after which one failure is enough for a doubt, for daemons with
few requests."""


class Reachability:
    """The servers that have failed since this daemon last heard from any server.

    ::

        reachability.record_overdue(row, now)
        reachability.is_doubtful(server_count=80, now=now)
    """

    def __init__(self, started_at: float) -> None:
        self.heard_at = started_at
        """When any server last sent something or took a connection."""
        self.opened_at = started_at
        """When any server last took a connection."""
        self.is_isolated = False
        """Whether a check has found that this daemon reaches no server."""
        self.isolated_at = 0.0
        self.is_checking = False
        self.checked_at = started_at
        """When the latest check began."""
        self._silent: set[str] = set()
        self._unopened: set[str] = set()
        self._is_reported = False

    @property
    def silent_count(self) -> int:
        """Number of servers that failed or are overdue since any server was last heard from."""
        return len(self._silent)

    @property
    def unopened_count(self) -> int:
        """Number of servers that took no connection since the last one that did."""
        return len(self._unopened)

    def has_failed(self, row: ServerRow) -> bool:
        """Return whether the server has failed since any was heard from, or refuses connections."""
        return row.server_id in self._silent or row.server_id in self._unopened

    def record_reply(self, row: ServerRow, now: float) -> None:
        """Record a reply on an open connection."""
        row.heard_at = now
        self.heard_at = now
        self._silent.clear()
        self._report_end()

    def record_opened(self, row: ServerRow, now: float) -> None:
        """Record a connection that a server has taken."""
        self.opened_at = now
        self._unopened.clear()
        self.record_reply(row, now)

    def record_overdue(self, row: ServerRow, now: float) -> None:
        """Record that an answer is later than usual, or that a connection was closed without it."""
        self._silent.add(row.server_id)
        self._report_begin(now)

    def record_unopened(self, row: ServerRow, now: float) -> None:
        """Record that a server has taken no connection."""
        self._unopened.add(row.server_id)
        self.record_overdue(row, now)

    def is_doubtful(self, server_count: int, now: float) -> bool:
        """Return whether the links may be lost, for a daemon that knows *server_count* servers."""
        silence_s = now - self.heard_at
        if len(self._silent) >= min(MIN_SILENT, server_count) and silence_s >= SILENCE_S:
            return True
        if self.lacks_connections(server_count):
            return now - self.opened_at >= SILENCE_S
        return bool(self._silent) and silence_s > QUIET_S

    def hears_servers(self, now: float) -> bool:
        """Return whether any server was heard from a short time ago."""
        return now - self.heard_at <= QUIET_S

    def lacks_connections(self, server_count: int) -> bool:
        """Return whether so many servers took no connection that the links may be lost."""
        return len(self._unopened) >= min(MIN_UNOPENED, server_count)

    def _report_begin(self, now: float) -> None:
        is_silent = len(self._silent) >= MIN_SILENT and now - self.heard_at >= SILENCE_S
        if self._is_reported or not is_silent:
            return
        self._is_reported = True
        fields = {
            "silent": len(self._silent),
            "unopened": len(self._unopened),
            "silent_s": round(now - self.heard_at, 3),
        }
        logger.info("no server is responding", extra={"fields": fields})

    def _report_end(self) -> None:
        if self._is_reported:
            self._is_reported = False
            logger.info("servers are responding again")
