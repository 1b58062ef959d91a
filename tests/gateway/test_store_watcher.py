from __future__ import annotations

import time
from collections import Counter

import gevent
import pytest

from marigoldwalk.config.view import Address
from marigoldwalk.gateway import store_watcher as watcher_module
from marigoldwalk.gateway.store_interface import (
    ConfigUpdate,
    DomainUpdate,
    EarlierEraError,
    EraChangedError,
    HistoryLostError,
    ServerRemoved,
    ServerUpdate,
    StoreError,
    UpdateBatch,
)
from marigoldwalk.gateway.store_watcher import MAX_MIRROR_AGE_S, REREGISTRATION_S, StoreWatcher
from marigoldwalk.platform.mirror import Mirror
from marigoldwalk.platform.store import StoreClient
from marigoldwalk.routing.catalog import Catalog
from marigoldwalk.routing.era_change import SETTLE_S

from ..daemon.scripted import TEST_TIMEOUT_S, scripted
from ..routing.simulation import registration, routing_config, single_route

HISTORY_LOST = HistoryLostError("the history is gone")


class ScriptedStore:
    def __init__(self, *script):
        self.script = list(script)
        self.watched = []

    def _next(self):
        result = self.script.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    def read(self):
        return self._next()

    def watch(self, after, wait_s):
        self.watched.append(after)
        return self._next()

    def mirror_at(self, address):
        return self.mirrors[address]

    def close(self):
        pass


class NoReaders:
    """``Readers`` of a daemon that knows no other daemon."""

    def choose(self, now):
        return None

    def record_answer(self, now):
        pass

    def record_store_failure(self, now):
        pass


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


def make_watcher(clock, *script, readers=None):
    watcher = StoreWatcher(
        ScriptedStore(*script), readers or NoReaders(), Catalog(), clock, Counter()
    )
    return watcher, watcher._catalog


def servers(*server_ids):
    return tuple(ServerUpdate(registration(server_id)) for server_id in server_ids)


def server_ids(catalog):
    return sorted(catalog.rows)


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


def test_servers_that_expired_during_an_outage_may_register_again(clock):
    watcher, catalog = make_watcher(
        clock,
        UpdateBatch(servers("a", "b"), 5),
        UpdateBatch((ServerRemoved("a"), ServerRemoved("b")), 7),
        UpdateBatch(servers("b"), 8),
        UpdateBatch((), 8),
    )
    watcher.poll()
    watcher.record_failure(StoreError("away"))
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
    watcher.record_failure(StoreError("away"))
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

    def record_failure(self, reader, now):
        pass


class OneReader:
    """``Readers`` of a daemon that reads from another one until that one fails."""

    def __init__(self):
        self.address = Address("10.0.0.1", 7000)
        self.failures = []

    def choose(self, now):
        return None if self.failures else self.address

    def record_failure(self, reader, now):
        self.failures.append(reader)

    def is_avoided(self, reader, now):
        return reader in self.failures

    def record_answer(self, now):
        pass

    def record_store_failure(self, now):
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


ERA_CHANGED = EraChangedError("the store was restored")


def config_update(version):
    return ConfigUpdate(routing_config([single_route()], ["s-1"], version=version))


def test_configuration_does_not_revert_after_a_restore(clock):
    watcher, catalog = make_watcher(
        clock,
        UpdateBatch((config_update(4),), 50, era=1),
        ERA_CHANGED,
        UpdateBatch((config_update(3),), 40, era=2),
        UpdateBatch((config_update(4),), 41, era=2),
        UpdateBatch((config_update(5),), 42, era=2),
    )
    versions = []
    for _ in range(4):
        watcher.poll()
        versions.append(catalog.config.version)
    assert versions == [4, 4, 4, 5]
    assert (watcher.era, watcher.revision) == (2, 42)
    assert watcher._counters["store.era_changed"] == 1


def test_exclusion_missing_in_the_copy_holds_until_the_new_era_has_settled(clock):
    watcher, catalog = make_watcher(
        clock,
        UpdateBatch((DomainUpdate("north", True), DomainUpdate("south", True)), 50, era=1),
        ERA_CHANGED,
        UpdateBatch((), 40, era=2),
        HISTORY_LOST,
        UpdateBatch((DomainUpdate("south", True),), 45, era=2),
        UpdateBatch((), 45, era=2),
    )
    watcher.poll()
    watcher.poll()
    assert catalog.excluded_domains == {"north", "south"}
    clock.now += SETTLE_S - 0.1
    watcher.poll()
    assert catalog.excluded_domains == {"north", "south"}
    clock.now += 0.2
    watcher.poll()
    assert catalog.excluded_domains == {"south"}


def test_exclusion_that_the_new_era_withdraws_ends_at_once(clock):
    watcher, catalog = make_watcher(
        clock,
        UpdateBatch((DomainUpdate("north", True),), 50, era=1),
        ERA_CHANGED,
        UpdateBatch((), 40, era=2),
        UpdateBatch((DomainUpdate("north", False),), 41, era=2),
    )
    for _ in range(3):
        watcher.poll()
    assert catalog.excluded_domains == frozenset()


def test_server_that_had_left_does_not_come_back_from_the_copy(clock):
    watcher, catalog = make_watcher(
        clock,
        UpdateBatch(servers("a", "b"), 50, era=1),
        UpdateBatch((ServerRemoved("a"),), 51, era=1),
        ERA_CHANGED,
        UpdateBatch(servers("a", "b"), 40, era=2),
        UpdateBatch((ServerRemoved("a"),), 41, era=2),
        UpdateBatch((), 41, era=2),
    )
    for _ in range(4):
        watcher.poll()
    assert server_ids(catalog) == ["b"]
    clock.now += SETTLE_S
    watcher.poll()
    assert server_ids(catalog) == ["b"]


def test_server_whose_entry_outlasts_the_settling_is_alive(clock):
    watcher, catalog = make_watcher(
        clock,
        UpdateBatch(servers("a", "b"), 50, era=1),
        UpdateBatch((ServerRemoved("a"),), 51, era=1),
        ERA_CHANGED,
        UpdateBatch(servers("a", "b"), 40, era=2),
        UpdateBatch((), 40, era=2),
    )
    for _ in range(3):
        watcher.poll()
    clock.now += SETTLE_S
    watcher.poll()
    assert server_ids(catalog) == ["a", "b"]


def test_server_that_had_left_is_used_again_once_it_registers_in_the_new_era(clock):
    again = ServerUpdate(registration("a", sequence=2))
    watcher, catalog = make_watcher(
        clock,
        UpdateBatch(servers("a"), 50, era=1),
        UpdateBatch((ServerRemoved("a"),), 51, era=1),
        ERA_CHANGED,
        UpdateBatch(servers("a"), 40, era=2),
        UpdateBatch((again,), 41, era=2),
    )
    for _ in range(4):
        watcher.poll()
    assert server_ids(catalog) == ["a"]


def test_draining_server_stays_draining_although_the_copy_says_ready(clock):
    draining = ServerUpdate(registration("a", draining=True, sequence=7))
    ready = ServerUpdate(registration("a", sequence=6))
    watcher, catalog = make_watcher(
        clock,
        UpdateBatch((draining,), 50, era=1),
        ERA_CHANGED,
        UpdateBatch((ready,), 40, era=2),
    )
    watcher.poll()
    watcher.poll()
    assert catalog.usable_servers("s-1") == []


def test_servers_missing_in_the_copy_stay_until_the_new_era_has_settled(clock):
    watcher, catalog = make_watcher(
        clock,
        UpdateBatch(servers("a", "b", "c"), 50, era=1),
        ERA_CHANGED,
        UpdateBatch(servers("a"), 40, era=2),
        UpdateBatch(servers("b"), 41, era=2),
        HISTORY_LOST,
        UpdateBatch(servers("a", "b"), 45, era=2),
        UpdateBatch((), 45, era=2),
    )
    for _ in range(4):
        watcher.poll()
        assert server_ids(catalog) == ["a", "b", "c"]
    clock.now += SETTLE_S + 0.1
    watcher.poll()
    assert server_ids(catalog) == ["a", "b"]


def test_two_restores_in_a_row_hold_the_beliefs_of_the_first_era(clock):
    watcher, catalog = make_watcher(
        clock,
        UpdateBatch((DomainUpdate("north", True), *servers("a")), 50, era=1),
        ERA_CHANGED,
        UpdateBatch((), 40, era=2),
        ERA_CHANGED,
        UpdateBatch((), 30, era=3),
        UpdateBatch((), 30, era=3),
    )
    watcher.poll()
    watcher.poll()
    clock.now += SETTLE_S - 1.0
    watcher.poll()
    assert catalog.excluded_domains == {"north"}
    clock.now += 0.5
    watcher.poll()
    assert (server_ids(catalog), catalog.excluded_domains) == (["a"], {"north"})


def test_failure_in_the_middle_of_a_change_of_era_leads_to_another_full_read(clock):
    watcher, catalog = make_watcher(
        clock,
        UpdateBatch(servers("a"), 50, era=1),
        ERA_CHANGED,
        StoreError("the answer was lost"),
        ERA_CHANGED,
        UpdateBatch(servers("b"), 40, era=2),
    )
    watcher.poll()
    with pytest.raises(StoreError):
        watcher.poll()
    watcher.record_failure(StoreError("the answer was lost"))
    assert server_ids(catalog) == ["a"]
    watcher.poll()
    assert server_ids(catalog) == ["a", "b"]


def test_follower_reads_the_mirror_of_a_reader_in_a_later_era(clock):
    readers = OneReader()
    watcher, catalog = make_watcher(clock, UpdateBatch(servers("a"), 50, era=1), readers=readers)
    mirror = ScriptedStore(ERA_CHANGED, UpdateBatch(servers("b"), 40, era=2))
    watcher._store.mirrors = {readers.address: mirror}
    watcher.poll()
    watcher.poll()
    assert server_ids(catalog) == ["a", "b"]
    assert readers.failures == []


def test_follower_avoids_a_reader_in_an_earlier_era(clock):
    readers = OneReader()
    watcher, _ = make_watcher(clock, UpdateBatch(servers("a"), 40, era=2), readers=readers)
    watcher._store.mirrors = {readers.address: ScriptedStore(EarlierEraError("era 1"))}
    watcher.poll()
    watcher.poll()
    assert readers.failures == [readers.address]
    assert watcher._counters["store.earlier_era"] == 1


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
