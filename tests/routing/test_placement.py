from __future__ import annotations

import pytest

from marigoldwalk.routing.placement import (
    ALL_BUSY,
    ALL_TRIED,
    UNREGISTERED,
    choose_server,
)
from marigoldwalk.routing.tables import ServerRow

from .simulation import registration

NOW = 100.0


def row(server_id, domain="north", **changes):
    made = ServerRow(registration(server_id, domain=domain))
    made.idle_connections = 1
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def chosen(*rows, tried=(), room=4):
    found = choose_server(rows, "north", tried, room, NOW)
    return found.server_id if isinstance(found, ServerRow) else found


def test_the_own_domain_goes_first_between_equals():
    assert chosen(row("far", domain="south"), row("near")) == "near"


@pytest.mark.parametrize(
    "trouble",
    [
        {"open_attempts": {1: NOW - 0.01}},
        {"open_attempts": {1: NOW + 1, 2: NOW + 1, 3: NOW + 1}},
        {"cold_until": NOW + 1},
        {"latency_ratio": 3.0, "latency_at": NOW},
        {"failures": 1.0, "failures_at": NOW},
        {"passed_over_until": NOW + 0.1},
    ],
    ids=["stalled", "full", "cold", "slow", "failing", "refusing"],
)
def test_a_server_in_trouble_yields_to_one_in_another_domain(trouble):
    assert chosen(row("near", **trouble), row("far", domain="south")) == "far"


def test_what_sets_a_server_apart_is_forgotten():
    slow = row("near", latency_ratio=3.0, latency_at=NOW - 30)
    assert chosen(slow, row("far", domain="south")) == "near"


def test_the_reason_is_told_if_no_server_will_do():
    busy = row("a", open_attempts=dict.fromkeys(range(4), NOW + 1))
    assert chosen() is UNREGISTERED
    assert chosen(row("a"), tried={"a"}) is ALL_TRIED
    assert chosen(busy) is ALL_BUSY
    assert chosen(busy, row("b"), tried={"b"}) is ALL_BUSY


@pytest.mark.parametrize(
    ("ratios", "expected"),
    [([7.0, 7.0], "near"), ([7.0] * 3, "far"), ([7.0] * 3 + [1.0] * 3, "near")],
    ids=["paused", "slow", "well again"],
)
def test_a_pause_moves_no_work_to_another_domain_and_slowness_does(ratios, expected):
    near = row("near")
    for ratio in [1.0, 1.1, 0.9, 1.0, 1.0, *ratios]:
        near.note_latency(ratio, NOW)
    assert chosen(near, row("far", domain="south")) == expected
