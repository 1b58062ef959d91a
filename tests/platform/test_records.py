from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marigoldwalk.config.view import Address
from marigoldwalk.gateway.store_interface import (
    ConfigUpdate,
    DomainUpdate,
    ServerRemoved,
    ServerUpdate,
)
from marigoldwalk.platform.keys import digest_of
from marigoldwalk.platform.records import decode_item

SERVER = {
    "service": "s-1",
    "address": "10.0.0.9:8080",
    "zone": "north",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "cold-left-ms": 1500,
    "sequence": 4,
    "born": 1700000000123,
}

ROUTE = {
    "name": "r-1",
    "host": "desk.example",
    "prefix": "/one/",
    "route-kind": "safe",
    "timeout-ms": 600,
    "target-latency-ms": 71,
    "priority": 2,
    "max-attempts": 2,
    "service": "s-1",
}


def encoded(value):
    return json.dumps(value).encode()


def decode_route(**changes):
    route = {key: value for key, value in (ROUTE | changes).items() if value is not None}
    config = {"version": 7, "routes": [route], "services": [], "limits": {}}
    return decode_item("op/config", encoded(config)).config.routes[0]


def test_server_record_is_decoded_to_a_registration():
    registration = decode_item("servers/i-1", encoded(SERVER)).registration
    assert registration.server_id == "i-1"
    assert registration.address == Address("10.0.0.9", 8080)
    assert registration.domain == "north"
    assert registration.cold_left_s == 1.5
    assert registration.started_at_ms == 1700000000123
    assert not registration.draining


def test_draining_state_is_decoded():
    update = decode_item("servers/i-1", encoded(SERVER | {"state": "draining"}))
    assert isinstance(update, ServerUpdate)
    assert update.registration.draining


@pytest.mark.parametrize(
    "change",
    [
        {"service": None},
        {"service": 3},
        {"address": "host:80"},
        {"slots": "two"},
        {"slots": True},
        {"state": "resting"},
        {"cold-left-ms": "soon"},
        {"sequence": -1},
        {"born": 17.5},
        {"zone": ["north"]},
    ],
)
def test_server_record_with_an_invalid_field_is_unreadable(change):
    value = {key: value for key, value in (SERVER | change).items() if value is not None}
    assert decode_item("servers/i-1", encoded(value)) == ServerRemoved("i-1", is_unreadable=True)


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b"{", b"null", b'"ready"'])
def test_server_record_that_is_not_a_json_object_is_unreadable(value):
    assert decode_item("servers/i-1", value) == ServerRemoved("i-1", is_unreadable=True)


# Guards against numbers that pass the decoder and fail, or never end, where a decision uses them.
@pytest.mark.parametrize("field", ["slots", "cold-left-ms", "sequence", "born"])
@pytest.mark.parametrize(
    "number", ["9" * 400, str(2**53 + 2), "1e999", "9" * 5000, "Infinity", "NaN"]
)
def test_server_record_with_a_number_too_large_is_unreadable(field, number):
    text = json.dumps(SERVER | {field: "here"}).replace('"here"', number)
    assert decode_item("servers/i-1", text.encode()) == ServerRemoved("i-1", is_unreadable=True)


# Guards against ids that no header can carry, or that would add headers to a request.
@pytest.mark.parametrize("server_id", ["", "i-\u4e2d", "i-\x00", "i-1\r\nX: y", " i-1", "\ud800"])
def test_server_record_under_an_id_that_no_header_carries_is_unreadable(server_id):
    update = decode_item(f"servers/{server_id}", encoded(SERVER))
    assert update == ServerRemoved(server_id, is_unreadable=True)


_FIELD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.integers(min_value=10**15),
    st.floats(),
    st.text(),
    st.sampled_from(["ready", "10.0.0.9:8080", "10.0.0.9:70000", "\ud800", [], {}]),
)


@given(st.dictionaries(st.sampled_from(sorted(SERVER)), _FIELD_VALUES), st.text(max_size=5))
def test_any_server_record_is_unreadable_or_a_registration_that_can_be_used(changes, server_id):
    update = decode_item(f"servers/{server_id}", encoded(SERVER | changes))
    if isinstance(update, ServerRemoved):
        assert update.is_unreadable
        return
    registration = update.registration
    assert registration.server_id.isascii()
    assert registration.server_id.isprintable()
    assert 1 <= registration.address.port <= 65_535
    numbers = (registration.slots, registration.sequence, registration.started_at_ms)
    assert max(*numbers, registration.cold_left_s) <= 2**53
    (registration.service + registration.domain).encode()


# Guards against entries that are nested too deeply for the decoder, which stopped all reading.
@pytest.mark.parametrize("value", [b"[" * 2000, b'{"a":' * 2000, b"[" * 1_048_576])
def test_deeply_nested_server_record_is_unreadable(value):
    assert decode_item("servers/i-1", value) == ServerRemoved("i-1", is_unreadable=True)


def test_deeply_nested_configuration_is_ignored():
    assert decode_item("op/config", b'{"routes": ' + b"[" * 2000) is None


def test_deleted_server_record_is_a_removal():
    assert decode_item("servers/i-1", None) == ServerRemoved("i-1")


def test_domain_is_excluded_while_its_key_exists():
    assert decode_item("op/evacuate/north", b"{}") == DomainUpdate("north", True)
    assert decode_item("op/evacuate/north", None) == DomainUpdate("north", False)


def test_route_to_one_service_is_decoded():
    route = decode_route()
    assert route.idempotent
    assert route.services == ("s-1",)
    assert (route.timeout_s, route.target_s, route.max_attempts) == (0.6, 0.071, 2)


@pytest.mark.parametrize("kind", ["unsafe", "keyed", "something new", None])
def test_route_of_unknown_kind_is_not_idempotent(kind):
    assert not decode_route(**{"route-kind": kind}).idempotent


def test_split_route_is_decoded():
    route = decode_route(
        service=None, split=[{"service": "a", "weight": 3}, {"service": "b", "weight": 1}]
    )
    assert [(s.service, s.weight) for s in route.splits] == [("a", 3.0), ("b", 1.0)]


def test_fan_out_route_is_idempotent():
    route = decode_route(
        **{
            "service": None,
            "route-kind": None,
            "fanout-services": ["a", "b"],
            "top-k": 5,
            "min-coverage": 0.75,
        }
    )
    assert route.idempotent
    assert route.fan_out.shards == ("a", "b")
    assert (route.fan_out.top_k, route.fan_out.min_coverage) == (5, 0.75)


def test_limits_and_services_are_decoded():
    config = {
        "version": 9,
        "routes": [],
        "services": [
            {
                "name": "a",
                "health-path": "/health",
                "max-connections": 25,
                "cold-start-s": 3.0,
                "cold-per-s": 2.5,
            }
        ],
        "limits": {"max-header-bytes": 9000, "idle-timeout-ms": 4000},
    }
    update = decode_item("op/config", encoded(config))
    assert isinstance(update, ConfigUpdate)
    assert update.config.version == 9
    assert update.config.services["a"].max_connections == 25
    assert update.config.services["a"].cold_per_s == 2.5
    assert update.config.limits.max_header_bytes == 9000
    assert update.config.limits.idle_timeout_s == 4.0


@pytest.mark.parametrize("value", [b"{", b'{"version": 1}', None])
def test_invalid_or_deleted_configuration_is_ignored(value):
    assert decode_item("op/config", value) is None


def test_other_keys_are_ignored():
    assert decode_item("op/notes", b"{}") is None


def decode_tenants(tenants):
    record = {"version": 7, "routes": [ROUTE], "services": [], "tenants": tenants}
    return decode_item("op/config", encoded(record)).config


def test_tenants_are_decoded_to_workspaces_without_their_keys():
    config = decode_tenants(
        [
            {"name": "t-1", "api-keys": ["k-1", "k-2"], "priority": 2, "rate-per-s": 5, "burst": 9},
            {"name": "t-2", "api-keys": ["k-3"]},
        ]
    )
    first, second = config.workspaces
    assert (first.name, first.priority, first.rate_per_s, first.burst) == ("t-1", 2, 5.0, 9.0)
    assert first.key_digests == {digest_of(b"k-1"), digest_of(b"k-2")}
    assert (second.priority, second.rate_per_s, second.burst) == (None, 0.0, 0.0)
    assert "k-1" not in repr(config)


@pytest.mark.parametrize("tenants", [None, []])
def test_configuration_without_tenants_has_no_workspaces(tenants):
    assert decode_tenants(tenants).workspaces == ()


@pytest.mark.parametrize(
    "entry",
    [
        7,
        {"api-keys": ["k-1"]},
        {"name": "two\r\nlines", "api-keys": ["k-1"]},
        {"name": "t-1\n", "api-keys": ["k-1"]},
        {"name": "t-1", "api-keys": ["k-1", ""]},
        {"name": "t-1", "api-keys": "k-1"},
        {"name": "t-1", "api-keys": ["k-1"], "rate-per-s": -1},
        {"name": "t-1", "api-keys": ["k-1"], "burst": "large"},
    ],
)
def test_invalid_tenant_has_no_keys_and_costs_nothing_else(entry, caplog):
    config = decode_tenants([entry, {"name": "t-2", "api-keys": ["k-2"]}])
    invalid, valid = config.workspaces
    assert invalid.key_digests == frozenset()
    assert (valid.name, len(valid.key_digests), len(config.routes)) == ("t-2", 1, 1)
    assert "k-1" not in str([record.__dict__ for record in caplog.records])


def test_configuration_with_only_invalid_tenants_still_requires_keys():
    assert decode_tenants({"name": "t-1"}).workspaces != ()


def test_invalid_configuration_is_reported_without_keys(caplog):
    record = {"version": "x", "routes": [], "tenants": [{"name": "t-1", "api-keys": ["k-1"]}]}
    assert decode_item("op/config", encoded(record)) is None
    [logged] = caplog.records
    assert "version" in logged.fields["why"]
    assert "k-1" not in str(logged.__dict__)


@pytest.mark.parametrize(("public", "expected"), [(True, True), (False, False), (None, False)])
def test_public_routes_are_decoded(public, expected):
    assert decode_route(public=public).is_public is expected
