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


def answers(*ratios, at=NOW, together=False):
    """Answers as (ratio, sent at, answered at): one after the other, or all open at a time."""
    step_s = 0.0 if together else 0.1
    return [(ratio, at + n * step_s, at + n * step_s + 0.05) for n, ratio in enumerate(ratios)]


USUAL = answers(1.0, 1.1, 0.9, 1.0, 1.0, at=NOW - 1.0)


@pytest.mark.parametrize(
    ("later", "expected"),
    [
        (answers(7.0), "near"),
        (answers(7.0, 7.0, together=True), "near"),
        (answers(7.0, 7.0), "far"),
        (answers(7.0, 1.0, 7.0), "near"),
        (answers(7.0, 7.0, 7.0, 1.0, 1.0, 1.0), "near"),
    ],
    ids=["one pause", "a pause with several open", "slow", "two pauses", "well again"],
)
def test_a_pause_moves_no_work_to_another_domain_and_slowness_does(later, expected):
    near = row("near")
    for ratio, sent_at, answered_at in [*USUAL, *later]:
        near.note_latency(ratio, sent_at, answered_at)
    assert chosen(near, row("far", domain="south")) == expected


def test_a_server_that_is_slow_from_the_first_answers_on_is_known_by_two():
    near = row("near")
    for ratio, sent_at, answered_at in answers(7.0, 7.0):
        near.note_latency(ratio, sent_at, answered_at)
    assert chosen(near, row("far", domain="south")) == "far"


def test_a_last_attempt_passes_over_a_server_whose_latest_answer_was_slow():
    paused, other = row("paused"), row("other", domain="south")
    paused.note_latency(7.0, NOW - 0.2, NOW)
    assert choose_server([paused, other], "north", (), 4, NOW) is paused
    assert choose_server([paused, other], "north", (), 4, NOW, is_wary=True) is other
