from __future__ import annotations

import gevent
import pytest
from gevent.pywsgi import WSGIServer

from marigoldwalk.config.view import Address
from marigoldwalk.gateway.store_interface import (
    UNKNOWN_ERA,
    EarlierEraError,
    EraChangedError,
    HistoryLostError,
    ServerUpdate,
    StoreError,
)
from marigoldwalk.platform.mirror import Mirror
from marigoldwalk.platform.store import StoreClient
from standins.gateway_backends import StandinServer, StandinStore, stopping


class MirrorSetup:
    """A store, a daemon that reads it and a follower that reads the daemon's mirror."""

    def __init__(self):
        self.fresh = True
        self.store = StandinStore()
        self.mirror = Mirror(lambda: self.fresh)
        self.reader = StoreClient(self.store.address, self.mirror)
        self.server = WSGIServer(("127.0.0.1", 0), self.mirror.app, log=None, error_log=None)
        self.server.start()
        address = Address("127.0.0.1", self.server.server_port)
        self.follower = StoreClient(address, Mirror(lambda: True))

    def stop(self):
        self.reader.close()
        self.follower.close()
        self.server.stop(timeout=0)
        self.store.stop()

    def register(self, server_id):
        with stopping(StandinServer(server_id)) as (server,):
            self.store.put(f"servers/{server_id}", server.registration("s-1"))


@pytest.fixture
def mirror_setup():
    mirror_setup = MirrorSetup()
    with stopping(mirror_setup):
        yield mirror_setup


def server_ids(batch):
    return [
        update.registration.server_id
        for update in batch.updates
        if isinstance(update, ServerUpdate)
    ]


def test_mirror_serves_the_items_and_revision_of_the_store(mirror_setup):
    for number in range(5):
        mirror_setup.register(f"i-{number}")
    mirror_setup.reader.read()
    batch = mirror_setup.follower.read()
    assert server_ids(batch) == [f"i-{number}" for number in range(5)]
    assert batch.revision == mirror_setup.store.revision


def test_changes_reach_a_waiting_watch(mirror_setup):
    after = mirror_setup.reader.read().revision
    mirror_setup.follower.read()
    waiting = gevent.spawn(mirror_setup.follower.watch, after, 5.0)
    mirror_setup.register("i-9")
    mirror_setup.reader.watch(after, 1.0)
    assert server_ids(waiting.get(timeout=5.0)) == ["i-9"]


def test_follower_rejects_an_older_revision(mirror_setup):
    mirror_setup.register("i-1")
    mirror_setup.reader.read()
    mirror_setup.follower.read()
    mirror_setup.follower.mirror.revision = mirror_setup.store.revision + 5
    with pytest.raises(StoreError):
        mirror_setup.follower.read()
    ahead = mirror_setup.store.revision + 5
    assert mirror_setup.follower.watch(ahead, 0.05).revision == ahead


def test_stale_mirror_is_not_served(mirror_setup):
    mirror_setup.reader.read()
    mirror_setup.follower.read()
    mirror_setup.fresh = False
    with pytest.raises(StoreError):
        mirror_setup.follower.read()
    with pytest.raises(StoreError):
        mirror_setup.follower.watch(mirror_setup.mirror.revision, 0.2)


def test_waiting_watch_ends_when_the_mirror_becomes_stale(mirror_setup):
    after = mirror_setup.reader.read().revision
    waiting = gevent.spawn(mirror_setup.follower.watch, after, 30.0)
    gevent.sleep(0.02)
    mirror_setup.fresh = False
    with pytest.raises(StoreError):
        waiting.get(timeout=5.0)


def test_watch_fails_if_the_mirror_no_longer_has_the_history(mirror_setup):
    mirror_setup.reader.read()
    mirror_setup.register("i-1")
    mirror_setup.reader.read()
    with pytest.raises(HistoryLostError):
        mirror_setup.follower.watch(1, 0.05)


def test_mirror_hands_on_the_era_and_ends_waiting_watches_when_it_changes(mirror_setup):
    mirror_setup.register("i-1")
    mirror_setup.register("i-2")
    after = mirror_setup.reader.read().revision
    assert mirror_setup.follower.read().era == 1
    waiting = gevent.spawn(mirror_setup.follower.watch, after, 30.0)
    gevent.sleep(0.02)
    mirror_setup.store.restore(1)
    mirror_setup.reader.read()
    with pytest.raises(EraChangedError):
        waiting.get(timeout=5.0)
    batch = mirror_setup.follower.read()
    assert (batch.era, server_ids(batch)) == (2, ["i-1"])


def test_follower_does_not_go_back_to_a_mirror_of_an_earlier_era(mirror_setup):
    mirror_setup.register("i-1")
    mirror_setup.reader.read()
    after = mirror_setup.follower.read().revision
    mirror_setup.follower.mirror.era = 2
    with pytest.raises(EarlierEraError):
        mirror_setup.follower.watch(after, 0.05)
    with pytest.raises(EarlierEraError):
        mirror_setup.follower.read()


def test_mirror_of_a_store_without_eras_states_none(mirror_setup):
    mirror_setup.store.era = 0
    mirror_setup.register("i-1")
    mirror_setup.reader.read()
    assert mirror_setup.follower.read().era == UNKNOWN_ERA


@pytest.mark.parametrize(
    ("method", "path", "query", "status"),
    [
        ("GET", "/elsewhere", "", "404 Not Found"),
        ("POST", "/-/kv-range", "", "405 Method Not Allowed"),
        ("GET", "/-/kv-watch", "after=x&wait-ms=0", "400 Bad Request"),
        ("GET", "/-/kv-watch", "", "400 Bad Request"),
    ],
)
def test_invalid_calls_of_a_mirror_are_refused(method, path, query, status):
    environ = {"REQUEST_METHOD": method, "PATH_INFO": path, "QUERY_STRING": query}
    statuses = []
    body = Mirror(lambda: True).app(environ, lambda text, _: statuses.append(text))
    assert (statuses, list(body)) == ([status], [b""])
