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


def chosen(*rows, tried=(), max_open_attempts=4):
    found = choose_server(rows, "north", tried, max_open_attempts, NOW)
    return found.server_id if isinstance(found, ServerRow) else found


def test_the_own_domain_is_preferred_among_equal_servers():
    assert chosen(row("far", domain="south"), row("near")) == "near"


@pytest.mark.parametrize(
    "problem",
    [
        {"open_attempts": {1: NOW - 0.01}},
        {"open_attempts": {1: NOW + 1, 2: NOW + 1, 3: NOW + 1}},
        {"cold_until": NOW + 1},
        {"latency_ratio": 3.0, "latency_at": NOW},
        {"failures": 1.0, "failures_at": NOW},
        {"backoff_until": NOW + 0.1},
    ],
    ids=["stalled", "full", "cold", "slow", "failing", "in backoff"],
)
def test_a_server_with_a_problem_loses_to_one_in_another_domain(problem):
    assert chosen(row("near", **problem), row("far", domain="south")) == "far"


def test_a_high_latency_is_forgotten_after_a_while():
    slow = row("near", latency_ratio=3.0, latency_at=NOW - 30)
    assert chosen(slow, row("far", domain="south")) == "near"


def test_the_reason_is_returned_if_no_server_is_available():
    busy = row("a", open_attempts=dict.fromkeys(range(4), NOW + 1))
    assert chosen() is UNREGISTERED
    assert chosen(row("a"), tried={"a"}) is ALL_TRIED
    assert chosen(busy) is ALL_BUSY
    assert chosen(busy, row("b"), tried={"b"}) is ALL_BUSY


def answers(*ratios, at=NOW, concurrent=False):
    """Return answers as (ratio, sent at, answered at), sequential or all open concurrently."""
    step_s = 0.0 if concurrent else 0.1
    return [(ratio, at + n * step_s, at + n * step_s + 0.05) for n, ratio in enumerate(ratios)]


USUAL = answers(1.0, 1.1, 0.9, 1.0, 1.0, at=NOW - 1.0)


@pytest.mark.parametrize(
    ("later", "expected"),
    [
        (answers(7.0), "near"),
        (answers(7.0, 7.0, concurrent=True), "near"),
        (answers(7.0, 7.0), "far"),
        (answers(7.0, 1.0, 7.0), "near"),
        (answers(7.0, 7.0, 7.0, 1.0, 1.0, 1.0), "near"),
    ],
    ids=["one pause", "a pause with several open", "slow", "two pauses", "recovered"],
)
def test_a_slow_server_loses_to_another_domain_and_a_paused_one_does_not(later, expected):
    near = row("near")
    for ratio, sent_at, answered_at in [*USUAL, *later]:
        near.record_latency(ratio, sent_at, answered_at)
    assert chosen(near, row("far", domain="south")) == expected


def test_a_server_that_is_slow_from_the_start_is_detected_after_two_answers():
    near = row("near")
    for ratio, sent_at, answered_at in answers(7.0, 7.0):
        near.record_latency(ratio, sent_at, answered_at)
    assert chosen(near, row("far", domain="south")) == "far"


def test_the_last_attempt_avoids_a_server_whose_latest_answer_was_slow():
    paused, other = row("paused"), row("other", domain="south")
    paused.record_latency(7.0, NOW - 0.2, NOW)
    assert choose_server([paused, other], "north", (), 4, NOW) is paused
    assert choose_server([paused, other], "north", (), 4, NOW, is_pessimistic=True) is other
