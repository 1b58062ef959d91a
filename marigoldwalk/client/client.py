"""The client class with which callers send queries."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from ..config.addresses import parse_address
from .pending import PendingQuery

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .answer import Answer
    from .options import QueryOptions

DEFAULT_TIMEOUT_S = 5.0
"""Limit on connecting to a daemon and on each wait for bytes of its reply."""


class Client:
    """Sends queries to daemons, or to a balancer in front of them.

    ::

        client = Client(["127.0.0.1:7000", "127.0.0.1:7010"])
        answer = client.query(QueryOptions("case-desk", {"op": "text", "text": "muro"}))
        if answer.answered:
            print(answer.coverage.ratio, [hit.key for hit in answer.hits])

    If a daemon cannot be reached, the client tries the next one. After an unknown outcome, it does
    not resend a request that may run only once, unless the options allow it.

    A client keeps no connections. Threads can share it, and so can greenlets where gevent has
    patched the standard library.
    """

    def __init__(self, addresses: Sequence[str], timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        if not addresses:
            raise ValueError("A client needs at least one address.")
        self._addresses = tuple(parse_address(address) for address in addresses)
        self._timeout_s = timeout_s

    def query(self, options: QueryOptions) -> Answer:
        """Send a query and return its answer."""
        return self.prepare(options).result()

    def prepare(self, options: QueryOptions) -> PendingQuery:
        """Return a query that can be cancelled while it runs."""
        # Start at a random daemon, so that one client does not send all its load to the same one.
        start = random.randrange(len(self._addresses))
        order = self._addresses[start:] + self._addresses[:start]
        return PendingQuery(options, order, self._timeout_s)
