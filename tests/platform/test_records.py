from __future__ import annotations

import json

import pytest

from marigoldwalk.config.view import Address
from marigoldwalk.gateway.facts import ConfigFact, DomainFact, ServerFact, ServerGone
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


def test_a_servers_entry_becomes_a_registration():
    registration = decode_item("servers/i-1", encoded(SERVER)).registration
    assert registration.server_id == "i-1"
    assert registration.address == Address("10.0.0.9", 8080)
    assert registration.domain == "north"
    assert registration.cold_left_s == 1.5
    assert registration.started_at_ms == 1700000000123
    assert not registration.draining


def test_a_draining_server_is_told_as_such():
    fact = decode_item("servers/i-1", encoded(SERVER | {"state": "draining"}))
    assert isinstance(fact, ServerFact)
    assert fact.registration.draining


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
def test_an_entry_of_another_writer_names_no_server(change):
    value = {key: value for key, value in (SERVER | change).items() if value is not None}
    assert decode_item("servers/i-1", encoded(value)) == ServerGone("i-1", is_unreadable=True)


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b"{", b"null", b'"ready"'])
def test_bytes_that_cannot_be_read_name_no_server(value):
    assert decode_item("servers/i-1", value) == ServerGone("i-1", is_unreadable=True)


def test_a_removed_entry_is_told_as_gone():
    assert decode_item("servers/i-1", None) == ServerGone("i-1")


def test_a_domain_is_out_of_service_while_its_key_exists():
    assert decode_item("op/evacuate/north", b"{}") == DomainFact("north", True)
    assert decode_item("op/evacuate/north", None) == DomainFact("north", False)


def test_a_route_to_one_service():
    route = decode_route()
    assert route.idempotent
    assert route.services == ("s-1",)
    assert (route.timeout_s, route.target_s, route.max_attempts) == (0.6, 0.071, 2)


@pytest.mark.parametrize("kind", ["unsafe", "keyed", "something new", None])
def test_a_kind_that_is_not_known_to_be_safe_must_not_be_repeated(kind):
    assert not decode_route(**{"route-kind": kind}).idempotent


def test_a_split_route():
    route = decode_route(
        service=None, split=[{"service": "a", "weight": 3}, {"service": "b", "weight": 1}]
    )
    assert [(s.service, s.weight) for s in route.splits] == [("a", 3.0), ("b", 1.0)]


def test_a_route_over_many_shards_may_be_repeated():
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
    assert route.gather.shards == ("a", "b")
    assert (route.gather.top_k, route.gather.min_coverage) == (5, 0.75)


def test_limits_and_services():
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
    fact = decode_item("op/config", encoded(config))
    assert isinstance(fact, ConfigFact)
    assert fact.config.version == 9
    assert fact.config.services["a"].max_connections == 25
    assert fact.config.services["a"].cold_per_s == 2.5
    assert fact.config.limits.max_header_bytes == 9000
    assert fact.config.limits.idle_timeout_s == 4.0


@pytest.mark.parametrize("value", [b"{", b'{"version": 1}', None])
def test_a_configuration_that_cannot_be_read_changes_nothing(value):
    assert decode_item("op/config", value) is None


def test_other_keys_are_passed_over():
    assert decode_item("op/notes", b"{}") is None
