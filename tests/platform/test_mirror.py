from __future__ import annotations

import gevent
import pytest
from gevent.pywsgi import WSGIServer

from marigoldwalk.config.view import Address
from marigoldwalk.gateway.facts import HistoryLostError, ServerFact, StoreError
from marigoldwalk.platform.mirror import Mirror
from marigoldwalk.platform.store import StoreClient
from standins.gateway_backends import StandinServer, StandinStore, stopping


class Copying:
    """A store, a daemon that reads it and another one that reads the first one's copy."""

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
def copying():
    copying = Copying()
    with stopping(copying):
        yield copying


def ids(told):
    return [fact.registration.server_id for fact in told.facts if isinstance(fact, ServerFact)]


def test_a_copy_tells_what_was_read_with_the_stores_revision(copying):
    for number in range(5):
        copying.register(f"i-{number}")
    copying.reader.read()
    told = copying.follower.read()
    assert ids(told) == [f"i-{number}" for number in range(5)]
    assert told.revision == copying.store.revision


def test_changes_reach_a_waiting_follower(copying):
    after = copying.reader.read().revision
    copying.follower.read()
    waiting = gevent.spawn(copying.follower.watch, after, 5.0)
    copying.register("i-9")
    copying.reader.watch(after, 1.0)
    assert ids(waiting.get(timeout=5.0)) == ["i-9"]


def test_a_follower_never_goes_back(copying):
    copying.register("i-1")
    copying.reader.read()
    copying.follower.mirror.revision = copying.store.revision + 5
    with pytest.raises(StoreError):
        copying.follower.read()
    ahead = copying.store.revision + 5
    assert copying.follower.watch(ahead, 0.05).revision == ahead


def test_an_old_copy_is_not_served(copying):
    copying.reader.read()
    copying.follower.read()
    copying.fresh = False
    with pytest.raises(StoreError):
        copying.follower.read()
    with pytest.raises(StoreError):
        copying.follower.watch(copying.mirror.revision, 0.2)


def test_a_copy_that_becomes_old_ends_a_waiting_watch(copying):
    after = copying.reader.read().revision
    waiting = gevent.spawn(copying.follower.watch, after, 30.0)
    gevent.sleep(0.02)
    copying.fresh = False
    with pytest.raises(StoreError):
        waiting.get(timeout=5.0)


def test_a_follower_that_is_far_behind_reads_everything_again(copying):
    copying.reader.read()
    copying.register("i-1")
    copying.reader.read()
    with pytest.raises(HistoryLostError):
        copying.follower.watch(1, 0.05)
