from __future__ import annotations

import pytest

from marigoldwalk.config.view import Address
from marigoldwalk.core.events import (
    DocumentRead,
    Instance,
    InstancesRead,
    PlatformConfirmed,
    PlatformFailed,
)
from marigoldwalk.daemon.platform import PlatformClient, PlatformError

from .scripted import http_reply, scripted

UNCHANGED = b"HTTP/1.1 304 Not Modified\r\nContent-Length: 0\r\n\r\n"


class FixedClock:
    def now(self):
        return 5.0


def platform_at(address, inbox):
    return PlatformClient(f"http://{address}/", FixedClock(), inbox.post)


def test_a_long_poll_waits_for_a_revision_other_than_the_last_read(inbox):
    document = http_reply({"revision": 12, "text": "revision: 12"})
    with scripted(document, UNCHANGED) as server:
        platform = platform_at(server.address, inbox)
        platform.watch_configuration()
        platform.watch_configuration()
    assert inbox.next() == DocumentRead("revision: 12", 5.0)
    assert inbox.next() == PlatformConfirmed(12, 5.0)
    paths = [path for path, _ in server.requests]
    assert paths == [
        "/configuration?after=0&wait_ms=1000",
        "/configuration?after=12&wait_ms=1000",
    ]
    assert server.connections == 1


@pytest.mark.parametrize("reply", [None, http_reply({}), http_reply({}, "500 Broken")])
def test_a_failure_of_the_platform_is_reported(inbox, reply):
    with scripted(reply) as server, pytest.raises((PlatformError, ValueError)):
        platform_at(server.address, inbox).watch_configuration()
    assert inbox.next() == PlatformFailed()


def test_the_instance_list_is_read_and_posted(inbox):
    entry = {"name": "m-1", "address": "127.0.0.1:7001", "domain": "bud-a", "leaving": True}
    with scripted(http_reply({"version": 4, "instances": [entry]})) as server:
        platform_at(server.address, inbox).read_instances()
    listed = Instance("m-1", Address("127.0.0.1", 7001), "bud-a", True)
    assert inbox.next() == InstancesRead(4, (listed,), 5.0)


@pytest.mark.parametrize(
    "odd",
    [
        {"name": "m-2", "address": "127.0.0.1:70000", "domain": "bud-a"},
        {"name": "m-2", "address": 7, "domain": "bud-a"},
        {"name": "m-2"},
        "m-2",
        [[[]]],
    ],
)
def test_an_invalid_entry_costs_no_other_entry_of_the_instance_list(inbox, odd):
    """One odd entry stopped the daemon from following the list."""
    entry = {"name": "m-1", "address": "127.0.0.1:7001", "domain": "bud-a"}
    with scripted(http_reply({"version": 4, "instances": [odd, entry]})) as server:
        platform_at(server.address, inbox).read_instances()
    listed = Instance("m-1", Address("127.0.0.1", 7001), "bud-a", False)
    assert inbox.next() == InstancesRead(4, (listed,), 5.0)


def test_both_greenlets_retry_after_a_failure(inbox):
    document = http_reply({"revision": 1, "text": "a"})
    with scripted(None, None, *[document] * 10) as server:
        platform = platform_at(server.address, inbox)
        platform.start()
        events = [inbox.next(), inbox.next()]
        platform.stop()
    assert PlatformFailed() in events
    assert DocumentRead("a", 5.0) in events
