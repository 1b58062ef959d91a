"""The store comes back from a copy that is some seconds old, in a new era."""

from __future__ import annotations

import gevent
import pytest

from marigoldwalk.gateway.store_interface import (
    ConfigUpdate,
    DomainUpdate,
    EarlierEraError,
    EraChangedError,
    ServerRemoved,
    ServerUpdate,
    StoreError,
    UpdateBatch,
)
from marigoldwalk.routing.era_change import SETTLE_S
from standins.gateway_backends import config_record, route_record

from ..routing.simulation import registration, routing_config, single_route
from .daemons import ask, deployment, request, wait_until
from .scripted_store import (
    APPLY_S,
    HISTORY_LOST,
    OneReader,
    ScriptedStore,
    make_watcher,
    server_ids,
    servers,
)

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


def watcher_after_restore(clock, *script):
    """Return a watcher whose server "a" leaves before a copy that still has it is restored."""
    return make_watcher(
        clock,
        UpdateBatch(servers("a", "b"), 50, era=1),
        UpdateBatch((ServerRemoved("a"),), 51, era=1),
        ERA_CHANGED,
        UpdateBatch(servers("a", "b"), 40, era=2),
        *script,
    )


def test_server_that_had_left_does_not_come_back_from_the_copy(clock):
    watcher, catalog = watcher_after_restore(
        clock,
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
    watcher, catalog = watcher_after_restore(
        clock,
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


def test_route_added_after_a_restore_is_not_refused_as_unknown():
    # The store gives a revision out again that the daemon had read before the restore.
    added = [route_record(), route_record("/new/")]
    with deployment() as (daemon, store):
        for number in range(20):
            store.put(f"servers/i-gone-{number}", b"{}")
        wait_until(lambda: daemon.gateway.world.counters["registration.unreadable"] == 20)
        store.restore(20)
        store.put("op/config", config_record(2, added, ["s-1"]))
        gevent.sleep(APPLY_S)
        assert ask(daemon, request("/new/1"))[0][0] == 200
