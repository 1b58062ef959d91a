"""Opens connections to servers to learn whether this daemon reaches any of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from ..routing.isolation import CHECK_INTERVAL_S
from .connection import CONNECT_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..routing.exchanges import Action, CheckLinks, LostAttempt
    from ..routing.router import Router
    from ..routing.tables import ServerRow
    from .connection import ServerConnection
    from .connection_pool import ConnectionPool


class LinkChecker:
    """Executes one check at a time, and begins the next one while no server is reachable."""

    def __init__(
        self,
        router: Router,
        pool: ConnectionPool,
        now: Callable[[], float],
        execute: Callable[[Sequence[Action]], None],
    ) -> None:
        self._router = router
        self._pool = pool
        self._now = now
        self._execute = execute
        self._pending: dict[ServerConnection, ServerRow] = {}
        self._unopened: list[ServerRow] = []
        self._timer = gevent.get_hub().loop.timer(CHECK_INTERVAL_S)

    def start(self, check: CheckLinks) -> None:
        """Open a connection to each server of *check*."""
        self._unopened = []
        self._pending = {self._pool.create(row): row for row in check.rows}
        for connection in list(self._pending):
            connection.open(
                lambda failure, c=connection: self._on_outcome(check, c, failure),
                CONNECT_TIMEOUT_S,
            )

    def stop(self) -> None:
        """Stop checking."""
        pending, self._pending = self._pending, {}
        for connection in pending:
            connection.close()
        self._timer.stop()
        self._timer.close()

    def _on_outcome(
        self, check: CheckLinks, connection: ServerConnection, failure: LostAttempt | None
    ) -> None:
        row = self._pending.pop(connection, None)
        if row is None:
            return
        connection.close()
        if failure is None:
            self._router.link_opened(row, self._now())
        else:
            self._unopened.append(row)
        if not self._pending:
            self._execute(self._router.links_checked(check, self._unopened, self._now()))
            if self._router.is_isolated:
                self._timer.start(self._on_timer)

    def _on_timer(self) -> None:
        self._execute(self._router.check_links(self._now()))
        if self._router.is_isolated and not self._pending:
            # No server was registered.
            self._timer.start(self._on_timer)
