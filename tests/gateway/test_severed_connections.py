"""Open connections to servers that fall silent for good, while new ones work."""

from __future__ import annotations

import time

from gevent.pool import Pool

from standins.gateway_backends import StandinServer, route_record

from .daemons import ask, request
from .links import linked_fleet

CALLERS = 4
ROUTE = route_record(**{"target-latency-ms": 300})


def ask_together(daemon, tag):
    """Send requests at the same time, so that several connections are open; return the statuses."""
    data = [request(f"/one/{n}", request_id=f"{tag}-{n}") for n in range(CALLERS)]
    return Pool(CALLERS).map(lambda one: ask(daemon, one)[0][0], data)


def test_requests_on_connections_that_fell_silent_are_sent_again_on_new_ones():
    servers = {"s-1": [StandinServer(f"i-{n}", b"body") for n in range(3)]}
    with linked_fleet([ROUTE], servers) as fleet:
        assert ask_together(fleet.entry, "before") == [200] * CALLERS
        for link in fleet.links:
            link.sever()
        began_at = time.monotonic()
        for number in range(4):
            assert ask_together(fleet.entry, f"after-{number}") == [200] * CALLERS
        assert time.monotonic() - began_at < 2.0
        counters = fleet.entry.gateway.world.counters
        assert counters["link.isolated"] == counters["forward.isolated"] == 0
