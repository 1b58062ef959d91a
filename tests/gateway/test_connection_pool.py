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
class Row:
    address: Address
    idle_connections: int = 0


@pytest.mark.parametrize(("may_reuse", "opened"), [(True, 1), (False, 2)])
def test_a_request_that_must_not_be_repeated_gets_a_new_connection(may_reuse, opened):
    counters = Counter()
    with scripted(response(), response()) as server:
        row, links = Row(server.address), ConnectionPool(time.monotonic, counters)
        for number in range(2):
            channel = links.take(row, f"q-{number}", may_reuse)
            assert exchange(channel).status == 200
            links.give_back(row, channel)
        links.close_all()
    assert counters["connection.opened"] == server.connections == opened


def test_a_connection_carries_no_further_attempt_of_its_last_request():
    counters = Counter()
    with scripted(response(), response()) as server:
        row, links = Row(server.address), ConnectionPool(time.monotonic, counters)
        for _ in range(2):
            channel = links.take(row, "q-1")
            exchange(channel)
            links.give_back(row, channel)
        links.close_all()
    assert server.connections == 2
