from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

import pytest

from marigoldwalk.gateway.connection_pool import ConnectionPool

from ..daemon.scripted import scripted
from .backend import exchange, response

if TYPE_CHECKING:
    from marigoldwalk.config.view import Address


@dataclass(eq=False)
class Endpoint:
    address: Address
    idle_connections: int = 0


@pytest.mark.parametrize(("may_reuse", "opened"), [(True, 1), (False, 2)])
def test_request_that_must_not_be_repeated_gets_a_new_connection(may_reuse, opened):
    counters = Counter()
    with scripted(response(), response()) as server:
        endpoint, pool = Endpoint(server.address), ConnectionPool(time.monotonic, counters)
        for number in range(2):
            connection = pool.acquire(endpoint, f"q-{number}", may_reuse)
            assert exchange(connection).status == 200
            pool.release(endpoint, connection)
        pool.close_all()
    assert counters["connection.opened"] == server.connections == opened


def test_second_attempt_of_a_request_gets_another_connection():
    counters = Counter()
    with scripted(response(), response()) as server:
        endpoint, pool = Endpoint(server.address), ConnectionPool(time.monotonic, counters)
        for _ in range(2):
            connection = pool.acquire(endpoint, "q-1")
            exchange(connection)
            pool.release(endpoint, connection)
        pool.close_all()
    assert server.connections == 2
