from __future__ import annotations

import time
from collections import Counter

import gevent

from marigoldwalk.config.view import Address
from marigoldwalk.gateway import store_watcher as watcher_module
from marigoldwalk.gateway.store_interface import (
    ConfigUpdate,
    DomainUpdate,
    ServerRemoved,
    ServerUpdate,
    StoreError,
    UpdateBatch,
)
from marigoldwalk.gateway.store_watcher import MAX_MIRROR_AGE_S, StoreWatcher
from marigoldwalk.platform.mirror import Mirror
from marigoldwalk.platform.store import CALL_TIMEOUT_S, StoreClient
from marigoldwalk.routing.catalog import Catalog
from marigoldwalk.routing.membership import MemberReport, Membership
from marigoldwalk.routing.outages import REREGISTRATION_S
from marigoldwalk.routing.readers import Readers
from standins.gateway_backends import (
    StandinServer,
    StandinStore,
    config_record,
    route_record,
    stopping,
)

from ..daemon.scripted import TEST_TIMEOUT_S, scripted
from ..routing.simulation import registration, routing_config, single_route
from .daemons import Daemon, ask, deployment, request, wait_until
from .scripted_store import (
    APPLY_S,
    HISTORY_LOST,
    NoReaders,
    OneReader,
    ScriptedStore,
    make_watcher,
    server_ids,
    servers,
)


def test_full_snapshot_removes_servers_that_it_does_not_contain(clock):
    watcher, catalog = make_watcher(
        clock, UpdateBatch(servers("a", "b"), 5), HISTORY_LOST, UpdateBatch(servers("b"), 9)
    )
    watcher.poll()
    watcher.poll()
    assert server_ids(catalog) == ["b"]
    assert watcher.revision == 9


def test_watch_continues_from_the_last_revision(clock):
    watcher, _ = make_watcher(clock, UpdateBatch((), 5), UpdateBatch((), 8), UpdateBatch((), 8))
    watcher.poll()
    watcher.poll()
    watcher.poll()
    assert watcher._store.watched == [5, 8]


def test_removed_server_leaves_the_catalog(clock):
    watcher, catalog = make_watcher(
        clock, UpdateBatch(servers("a", "b"), 5), UpdateBatch((ServerRemoved("a"),), 6)
    )
    watcher.poll()
    watcher.poll()
    assert server_ids(catalog) == ["b"]


def test_server_with_an_invalid_record_leaves_the_catalog(clock):
    gone = ServerRemoved("a", is_unreadable=True)
    watcher, catalog = make_watcher(
        clock, UpdateBatch(servers("a", "b"), 5), UpdateBatch((gone,), 6)
    )
    watcher.poll()
    watcher.poll()
    assert server_ids(catalog) == ["b"]


def store_is_away(watcher, clock, duration_s=4.0):
    for _ in range(4):
        clock.now += duration_s / 4
        watcher.record_failure(StoreError("away"))


def logged(caplog, message):
    return [record.fields for record in caplog.records if record.message == message]


def test_log_tells_when_and_from_where_a_server_is_known_to_drain(clock, caplog):
    caplog.set_level("INFO")
    draining = ServerUpdate(registration("a", draining=True, sequence=2))
    watcher, _ = make_watcher(clock, UpdateBatch(servers("a"), 5), UpdateBatch((draining,), 6))
    watcher.poll()
    clock.now += 1.5
    watcher.poll()
    expected = {"server": "a", "revision": 6, "source": "store", "silent_s": 1.5}
    assert logged(caplog, "server registered as draining") == [expected]


def test_servers_that_expired_during_an_outage_may_register_again(clock):
    watcher, catalog = make_watcher(
        clock,
        UpdateBatch(servers("a", "b"), 5),
        UpdateBatch((ServerRemoved("a"), ServerRemoved("b")), 7),
        UpdateBatch(servers("b"), 8),
        UpdateBatch((), 8),
    )
    watcher.poll()
    store_is_away(watcher, clock)
    watcher.poll()
    assert server_ids(catalog) == ["a", "b"]
    clock.now += REREGISTRATION_S / 2
    watcher.poll()
    clock.now += REREGISTRATION_S
    watcher.poll()
    assert server_ids(catalog) == ["b"]


def test_full_snapshot_after_an_outage_does_not_empty_the_catalog_at_once(clock):
    watcher, catalog = make_watcher(
        clock, UpdateBatch(servers("a"), 5), HISTORY_LOST, UpdateBatch((), 9), UpdateBatch((), 9)
    )
    watcher.poll()
    store_is_away(watcher, clock)
    watcher.poll()
    assert server_ids(catalog) == ["a"]
    clock.now += REREGISTRATION_S + 0.1
    watcher.poll()
    assert server_ids(catalog) == []


def test_domain_is_excluded_and_included_again(clock):
    watcher, catalog = make_watcher(
        clock,
        UpdateBatch((DomainUpdate("north", True),), 5),
        UpdateBatch((DomainUpdate("north", False),), 6),
        UpdateBatch((DomainUpdate("north", True),), 7),
        HISTORY_LOST,
        UpdateBatch((), 8),
    )
    watcher.poll()
    assert catalog.excluded_domains == {"north"}
    watcher.poll()
    assert catalog.excluded_domains == frozenset()
    watcher.poll()
    watcher.poll()
    assert catalog.excluded_domains == frozenset()


def test_older_configuration_does_not_replace_a_newer_one(clock):
    new = ConfigUpdate(routing_config([single_route()], ["s-1"], version=4))
    old = ConfigUpdate(routing_config([], [], version=3))
    watcher, catalog = make_watcher(clock, UpdateBatch((new,), 5), UpdateBatch((old,), 6))
    watcher.poll()
    watcher.poll()
    assert catalog.config.version == 4


def test_lost_history_leads_to_a_full_snapshot(clock):
    watcher, catalog = make_watcher(
        clock, UpdateBatch(servers("a"), 5), HISTORY_LOST, UpdateBatch(servers("b"), 9)
    )
    watcher.poll()
    watcher.poll()
    assert server_ids(catalog) == ["b"]


class FailedReaders:
    """``Readers`` of a follower in whose fleet no reader answers."""

    def __init__(self):
        self.addresses = [Address("10.0.0.1", port) for port in (7000, 7001, 7002)]
        self.chosen = 0

    def choose(self, now):
        self.chosen += 1
        return self.addresses[self.chosen % len(self.addresses)]

    def is_avoided(self, reader, now):
        return True

    def record_answer(self, now):
        pass

    def record_failure(self, reader, now, is_silent=False):
        pass

    def record_store_answer(self):
        pass


def test_first_read_goes_to_the_store_and_later_ones_to_a_reader(clock):
    readers = OneReader()
    watcher, catalog = make_watcher(clock, UpdateBatch(servers("a"), 5), readers=readers)
    mirror = ScriptedStore(UpdateBatch(servers("b"), 6))
    watcher._store.mirrors = {readers.address: mirror}
    watcher.poll()
    assert watcher.is_fresh()
    watcher.poll()
    assert server_ids(catalog) == ["a", "b"]
    assert mirror.watched == [5]


def test_store_is_read_after_a_reader_fails(clock):
    readers = OneReader()
    watcher, catalog = make_watcher(
        clock, UpdateBatch(servers("a"), 5), UpdateBatch(servers("c"), 9), readers=readers
    )
    watcher._store.mirrors = {readers.address: ScriptedStore(StoreError("silent"))}
    watcher.poll()
    watcher.poll()
    assert readers.failures == [readers.address]
    watcher.poll()
    assert server_ids(catalog) == ["a", "c"]


def test_mirror_of_a_follower_is_not_fresh(clock):
    readers = OneReader()
    watcher, _ = make_watcher(clock, UpdateBatch(servers("a"), 5), readers=readers)
    watcher._store.mirrors = {
        readers.address: ScriptedStore(UpdateBatch((), 6), UpdateBatch((), 7))
    }
    watcher.poll()
    clock.now += MAX_MIRROR_AGE_S + 0.1
    watcher.poll()
    assert not watcher.is_fresh()


def test_unexpected_error_does_not_end_the_watcher(clock, monkeypatch):
    monkeypatch.setattr(watcher_module, "MIN_BACKOFF_S", 0.001)
    watcher, catalog = make_watcher(clock, ValueError("a fault"), UpdateBatch(servers("a"), 5))
    watcher._backoff_s = 0.001
    watcher.start()
    with gevent.Timeout(5.0):
        while not catalog.rows:
            gevent.sleep(0.001)
    watcher.stop()
    assert watcher._counters["store.fault"] == 1


def test_follower_without_history_at_the_mirror_catches_up_by_one_watch_of_the_store(clock):
    readers = OneReader()
    batches = [UpdateBatch(servers("a"), 5), UpdateBatch(servers("b"), 8)]
    watcher, catalog = make_watcher(clock, *batches, readers=readers)
    mirror = ScriptedStore(HISTORY_LOST, UpdateBatch(servers("c"), 9))
    watcher._store.mirrors = {readers.address: mirror}
    for _ in range(3):
        watcher.poll()
    assert server_ids(catalog) == ["a", "b", "c"]
    assert mirror.watched == [5, 8]
    assert readers.failures == []


def test_stop_in_the_middle_of_a_response_closes_the_connection():
    # An incomplete response, as over a slow link.
    with scripted(b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{") as slow:
        mirror = Mirror(lambda: True)
        store = StoreClient(slow.address, mirror)
        watcher = StoreWatcher(store, NoReaders(), Catalog(), time.monotonic, Counter())
        watcher.start()
        assert slow.request_received.wait(TEST_TIMEOUT_S)
        gevent.sleep(0.02)
        watcher.stop()
        assert slow.connection_closed.wait(TEST_TIMEOUT_S)


def test_pause_after_a_change_grows_during_a_burst_and_resets_afterwards(clock):
    watcher, _ = make_watcher(clock)
    assert watcher._pause_after_change() == watcher_module.STARTUP_COALESCE_S
    clock.now += watcher_module.STARTUP_S
    pauses = []
    for _ in range(12):
        pauses.append(watcher._pause_after_change())
        clock.now += 0.3
    assert pauses[0] == watcher_module.COALESCE_S
    assert pauses == sorted(pauses)
    assert pauses[-1] == watcher_module.MAX_COALESCE_S
    clock.now += watcher_module.BURST_GAP_S
    assert watcher._pause_after_change() == watcher_module.COALESCE_S


def test_followers_read_the_mirror_when_the_history_of_the_store_is_lost(clock):
    readers = OneReader()
    watcher, catalog = make_watcher(
        clock, UpdateBatch(servers("a"), 5), HISTORY_LOST, readers=readers
    )
    mirror = ScriptedStore(HISTORY_LOST, UpdateBatch(servers("b"), 9))
    watcher._store.mirrors = {readers.address: mirror}
    watcher.poll()
    watcher.poll()
    assert server_ids(catalog) == ["b"]
    assert readers.failures == []


def test_follower_pauses_between_readers_that_all_failed(clock, monkeypatch):
    pauses = []
    monkeypatch.setattr(watcher_module.gevent, "sleep", pauses.append)
    readers = FailedReaders()
    watcher, _ = make_watcher(clock, UpdateBatch(servers("a"), 5), readers=readers)
    watcher._poll_store(watcher._store)
    silent = [StoreError("silent") for _ in range(9)]
    watcher._store.mirrors = {address: ScriptedStore(*silent) for address in readers.addresses}
    for _ in range(9):
        watcher.poll()
    assert len(pauses) == 9
    assert all(0.1 < pause <= watcher_module.READER_RETRY_S for pause in pauses)


class SilentMirror:
    """A mirror on a machine that has lost power: each call takes its whole timeout."""

    def __init__(self, clock):
        self._clock = clock

    def watch(self, after, wait_s):
        self._clock.now += wait_s + CALL_TIMEOUT_S
        raise StoreError("timed out")


def test_configuration_is_in_force_in_time_although_two_readers_are_silent(clock):
    reports = [
        MemberReport(f"r-{domain}", Address(f"r-{domain}", 1), 1, 1, domain)
        for domain in ("north", "centre", "south")
    ]
    own = MemberReport("m-1", Address("m-1", 1), 1, 1, "north", cores=0.2)
    membership = Membership(own, [], clock.now)
    membership.merge(reports, clock.now)
    old = UpdateBatch((ConfigUpdate(routing_config([], [], version=1)),), 5)
    new = UpdateBatch((ConfigUpdate(routing_config([], [], version=2)),), 6)
    readers = Readers(membership)
    watcher, catalog = make_watcher(clock, old, new, readers=readers)
    watcher.poll()
    order = []
    while len(order) < len(reports):
        order.append(readers.choose(clock.now))
        readers.record_failure(order[-1], clock.now)
    readers._failed_until.clear()
    watcher._store.mirrors = {address: SilentMirror(clock) for address in order[:2]}
    watcher._store.mirrors[order[2]] = ScriptedStore(new)
    acknowledged_at = clock.now
    while catalog.config.version == 1:
        watcher.poll()
    assert clock.now - acknowledged_at < APPLY_S


def test_first_read_goes_to_a_reader_if_the_store_turns_the_daemon_away(clock):
    readers = OneReader()
    watcher, catalog = make_watcher(clock, StoreError("status 503"), readers=readers)
    watcher._store.mirrors = {readers.address: ScriptedStore(UpdateBatch(servers("a"), 5))}
    try:
        watcher.poll()
    except StoreError as exc:
        watcher.record_failure(exc)
    watcher.poll()
    assert server_ids(catalog) == ["a"]
    assert not watcher.is_fresh()


def test_news_from_a_reader_may_be_as_old_as_its_mirror(clock):
    readers = OneReader()
    watcher, catalog = make_watcher(clock, UpdateBatch((), 5), readers=readers)
    watcher._store.mirrors = {readers.address: ScriptedStore(UpdateBatch((), 6), StoreError("off"))}
    assert catalog.confirmed_at == float("-inf")
    watcher.poll()
    assert catalog.confirmed_at == clock.now
    clock.now += 3.0
    watcher.poll()
    assert catalog.confirmed_at == clock.now - MAX_MIRROR_AGE_S
    clock.now += 3.0
    watcher.poll()
    assert catalog.confirmed_at == clock.now - 3.0 - MAX_MIRROR_AGE_S


def test_daemon_follows_the_store_beside_a_deeply_nested_entry():
    """An entry of another writer that cannot be read stopped all reading of the store."""
    servers = {"s-1": [StandinServer("i-1", b"1")], "s-2": [StandinServer("i-2", b"2")]}
    with deployment(servers=servers) as (daemon, store):
        store.put("servers/i-other", b"[" * 2000)
        store.put("op/config", config_record(2, [route_record(service="s-2")], ["s-1", "s-2"]))
        wait_until(lambda: ask(daemon, request())[0][2] == b"2")
        counters = daemon.gateway.world.counters
    assert counters["store.fault"] == 0
    assert counters["registration.unreadable"] == 1


def test_daemon_starts_beside_a_deeply_nested_entry():
    """A daemon that started beside an unreadable entry never became ready."""
    store = StandinStore()
    with stopping(store):
        store.put("servers/i-other", b"[" * 2000)
        store.put("op/config", config_record())
        daemon = Daemon(store)
        try:
            daemon.wait_until_ready()
        finally:
            daemon.kill()


def test_entry_with_an_id_that_no_header_carries_costs_callers_nothing():
    """A request to such a server failed in the daemon while it was sent."""
    with deployment() as (daemon, store):
        server = StandinServer("i-2", b"the whole body")
        with stopping(server):
            store.put("servers/i-\u4e2d", server.registration("s-1"))
            store.put("servers/i-2\r\nX-Smuggled: 1", server.registration("s-1"))
            unreadable = daemon.gateway.world.counters
            wait_until(lambda: unreadable["registration.unreadable"] == 2)
            statuses = {ask(daemon, request(request_id=f"q-{n}"))[0][0] for n in range(20)}
    assert statuses == {200}
