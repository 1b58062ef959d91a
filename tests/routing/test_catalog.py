from __future__ import annotations

from marigoldwalk.config.view import Address
from marigoldwalk.routing.catalog import KEPT_VERSIONS, Catalog

from .simulation import HOST, registration, routing_config, single_route


def ids(catalog, service="s-1"):
    return [row.server_id for row in catalog.usable_servers(service)]


def test_an_older_configuration_is_ignored():
    catalog = Catalog()
    new = routing_config([single_route(name="new")], ["s-1"], version=7)
    old = routing_config([single_route(name="old")], ["s-1"], version=5)
    assert catalog.apply_config(new)
    assert not catalog.apply_config(old)
    assert catalog.find_route(HOST, "/one/1").name == "new"


def test_a_draining_server_receives_no_new_requests():
    catalog = Catalog()
    catalog.apply_registration(registration("a"), 0.0)
    catalog.apply_registration(registration("b"), 0.0)
    catalog.apply_registration(registration("a", draining=True, sequence=2), 1.0)
    assert ids(catalog) == ["b"]


def test_servers_of_an_excluded_domain_receive_no_new_requests():
    catalog = Catalog()
    catalog.apply_registration(registration("a", domain="north"), 0.0)
    catalog.apply_registration(registration("b", domain="south"), 0.0)
    catalog.exclude(["north"])
    assert ids(catalog) == ["b"]
    catalog.exclude([])
    assert ids(catalog) == ["a", "b"]


def test_registration_that_may_be_older_does_not_end_that_a_server_leaves():
    catalog = Catalog()
    catalog.apply_registration(registration("a", sequence=9, draining=True), 0.0)
    assert catalog.may_be_outdated(registration("a", sequence=4))
    assert catalog.may_be_outdated(registration("a", started_at_ms=900, sequence=50))
    assert not catalog.may_be_outdated(registration("a", sequence=10))
    assert not catalog.may_be_outdated(registration("a", started_at_ms=1001))
    assert not catalog.may_be_outdated(registration("a", sequence=4, draining=True))
    assert ids(catalog) == []


def test_late_write_of_a_removed_server_may_be_older_than_its_removal():
    catalog = Catalog()
    catalog.apply_registration(registration("a", sequence=9), 0.0)
    catalog.remove("a")
    assert catalog.may_be_outdated(registration("a", sequence=9))
    assert not catalog.may_be_outdated(registration("a", sequence=10))
    assert not catalog.may_be_outdated(registration("a", started_at_ms=900))


def test_registrations_are_applied_in_the_order_of_the_store():
    catalog = Catalog()
    catalog.apply_registration(registration("a", sequence=9), 0.0)
    again = registration("a", started_at_ms=900, address=Address("10.0.0.9", 1))
    assert catalog.apply_registration(again, 1.0)
    assert catalog.rows["a"].address == again.address
    assert catalog.apply_registration(registration("a", sequence=4, draining=True), 2.0)
    assert ids(catalog) == []


def test_a_new_incarnation_starts_with_empty_statistics():
    catalog = Catalog()
    catalog.apply_registration(registration("a", sequence=9), 0.0)
    catalog.rows["a"].record_failure(0.0)
    catalog.apply_registration(registration("a", started_at_ms=2000, cold_left_s=3.0), 5.0)
    row = catalog.rows["a"]
    assert row.failures == 0.0
    assert row.cold_until == 8.0


def test_a_server_that_changes_its_service_is_removed_from_the_old_one():
    catalog = Catalog()
    catalog.apply_registration(registration("a"), 0.0)
    catalog.apply_registration(registration("a", service="s-2", started_at_ms=2000), 1.0)
    assert ids(catalog) == []
    assert ids(catalog, "s-2") == ["a"]


def test_a_server_marked_as_removed_is_used_until_it_is_dropped():
    catalog = Catalog()
    catalog.apply_registration(registration("a"), 0.0)
    catalog.mark_removed("a", 1.0)
    assert ids(catalog) == ["a"]
    assert catalog.drop_removed(now=0.5) == []
    assert catalog.drop_removed(now=1.5) == ["a"]
    assert ids(catalog) == []


def test_a_server_that_registers_again_is_not_dropped():
    catalog = Catalog()
    catalog.apply_registration(registration("a"), 0.0)
    catalog.mark_removed("a", 1.0)
    catalog.apply_registration(registration("a"), 2.0)
    assert catalog.drop_removed(now=9.0) == []


def test_the_latest_versions_are_kept_for_queries_started_under_them():
    catalog = Catalog()
    for version in range(1, KEPT_VERSIONS + 2):
        route = single_route(name=f"r-{version}")
        catalog.apply_config(routing_config([route], ["s-1"], version=version))
    assert not catalog.knows_version(1)
    assert catalog.find_route(HOST, "/one/1", version=2).name == "r-2"
    assert catalog.find_route(HOST, "/one/1").name == f"r-{KEPT_VERSIONS + 1}"
    assert catalog.find_route(HOST, "/one/1", version=99) is None
