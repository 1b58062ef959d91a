from __future__ import annotations

import pytest

from marigoldwalk.errors import RefusalReason
from marigoldwalk.routing.exchanges import ErrorAnswer, ForwardedAnswer, MergedAnswer

from .simulation import (
    REFUSED,
    RESET,
    SHED,
    SILENT,
    Simulation,
    fan_out_route,
    server_reply,
    single_route,
)

SHARDS = [f"s-{n}" for n in range(4)]
FAST = (0.03, server_reply())


def pair(first, second, **options):
    """Return a simulation of one service with two servers, the first one in the own domain."""
    servers = {"a": ("s-1", "north", *first), "b": ("s-1", "south", *second)}
    return Simulation([single_route(**options)], servers)


def shards_simulation(failing=(), failure_answer=(9.9, SILENT), min_coverage=0.75, **options):
    servers = {}
    for shard in SHARDS:
        answer = failure_answer if shard in failing else FAST
        servers[f"{shard}-a"] = (shard, "north", answer)
        servers[f"{shard}-b"] = (shard, "south", answer)
    return Simulation([fan_out_route(SHARDS, min_coverage, **options)], servers)


def test_the_reply_of_a_server_is_forwarded_unchanged():
    simulation = pair([FAST], [FAST])
    simulation.ask()
    simulation.run(1.0)
    assert simulation.answers["q-1"] == ForwardedAnswer(server_reply())
    assert [server for _, server, _ in simulation.sent] == ["a"]


def test_a_paused_server_is_hedged_and_the_first_reply_wins():
    simulation = pair([(0.25, server_reply())], [FAST])
    simulation.ask()
    simulation.run(1.0)
    assert isinstance(simulation.answers["q-1"], ForwardedAnswer)
    assert simulation.answered_at["q-1"] - 100.0 < 0.2
    assert [server for _, server, _ in simulation.sent] == ["a", "b"]


@pytest.mark.parametrize("outcome", [SILENT, RESET])
def test_a_request_that_must_not_be_repeated_is_sent_once(outcome):
    simulation = pair([(0.01, outcome)], [FAST], idempotent=False)
    simulation.ask()
    simulation.run(3.0)
    assert len(simulation.sent) == 1
    answer = simulation.answers["q-1"]
    assert answer.status in (502, 504)


@pytest.mark.parametrize("outcome", [SHED, REFUSED])
def test_a_request_that_has_not_run_goes_to_another_server(outcome):
    simulation = pair([(0.001, outcome)], [FAST], idempotent=False)
    simulation.ask()
    simulation.run(3.0)
    assert simulation.answers["q-1"] == ForwardedAnswer(server_reply())
    assert [server for _, server, _ in simulation.sent] == ["a", "b"]


def test_an_answer_says_that_the_request_has_not_run_only_if_that_is_certain():
    refused = pair([(0.001, REFUSED)], [(0.001, REFUSED)], idempotent=False)
    refused.ask()
    refused.run(3.0)
    assert refused.answers["q-1"].status == 503
    assert refused.answers["q-1"].retry_after_s > 0
    lost = pair([(0.001, REFUSED)], [(0.01, RESET)], idempotent=False)
    lost.ask()
    lost.run(3.0)
    assert lost.answers["q-1"].status == 502


def test_a_failure_reply_is_forwarded_after_the_last_attempt():
    failure = server_reply(status=500)
    simulation = pair([(0.01, failure)], [(0.01, failure)])
    simulation.ask()
    simulation.run(3.0)
    assert simulation.answers["q-1"] == ForwardedAnswer(failure)
    assert len(simulation.sent) == 2


def test_a_request_is_sent_to_no_more_servers_than_max_attempts():
    servers = {f"a-{n}": ("s-1", "north", (0.01, RESET)) for n in range(5)}
    simulation = Simulation([single_route(max_attempts=2)], servers)
    simulation.ask()
    simulation.run(3.0)
    assert len({server for _, server, _ in simulation.sent}) == 2


def test_a_request_without_a_route_or_a_configuration_is_refused_at_once():
    simulation = pair([FAST], [FAST])
    simulation.ask("/none/1")
    assert simulation.answers["q-1"] == ErrorAnswer(404, RefusalReason.NO_ROUTE)
    simulation.world.catalog.config = None
    simulation.ask("/none/1", "q-2")
    assert simulation.answers["q-2"].status == 503


def test_the_caller_is_answered_within_the_routes_timeout():
    simulation = pair([(9.0, server_reply())], [(9.0, server_reply())], timeout_s=0.5)
    simulation.ask()
    simulation.run(3.0)
    assert simulation.answers["q-1"].status == 504
    assert simulation.answered_at["q-1"] < 100.5


def test_the_answer_contains_every_shard():
    simulation = shards_simulation()
    simulation.ask("/all/1")
    simulation.run(1.0)
    answer = simulation.answers["q-1"]
    assert isinstance(answer, MergedAnswer)
    assert answer.missing_count == 0
    assert len(answer.signatures) == 4
    assert simulation.answered_at["q-1"] == pytest.approx(100.03)


def test_a_partial_answer_is_sent_at_the_target():
    simulation = shards_simulation(failing=SHARDS[:1])
    simulation.ask("/all/1")
    simulation.run(3.0)
    answer = simulation.answers["q-1"]
    assert answer.missing_count == 1
    assert len(answer.signatures) == 3
    assert 0.25 < simulation.answered_at["q-1"] - 100.0 < 0.3


def test_an_answer_below_the_minimum_coverage_waits_beyond_the_target():
    simulation = shards_simulation(failing=SHARDS[:2], failure_answer=(0.8, server_reply()))
    simulation.ask("/all/1")
    simulation.run(3.0)
    answer = simulation.answers["q-1"]
    assert isinstance(answer, MergedAnswer)
    assert simulation.answered_at["q-1"] - 100.0 == pytest.approx(0.8)


def test_a_query_that_cannot_reach_its_minimum_coverage_is_refused_at_once():
    simulation = shards_simulation()
    for shard in SHARDS[:2]:
        simulation.world.catalog.remove(f"{shard}-a")
        simulation.world.catalog.remove(f"{shard}-b")
    simulation.ask("/all/1")
    assert simulation.answered_at["q-1"] == 100.0
    assert simulation.answers["q-1"].status in (502, 503)


def test_a_query_keeps_the_configuration_version_of_its_start():
    simulation = shards_simulation()
    exchange = simulation.ask("/all/1")
    simulation.world.catalog.config = None
    simulation.run(1.0)
    assert simulation.answers["q-1"].missing_count == 0
    assert exchange.config_version == 1


def test_requests_wait_for_a_free_server_and_urgent_ones_go_first():
    urgent = single_route(name="urgent", prefix="/urgent/", priority=0)
    servers = {"a": ("s-1", "north", (0.1, server_reply()))}
    simulation = Simulation([single_route(), urgent], servers, members=25)
    for number in range(2):
        simulation.ask("/one/1", f"q-{number}")
    simulation.ask("/urgent/1", "u-1")
    simulation.run(1.0)
    order = [request for _, _, request in simulation.sent]
    assert order == ["q-0", "u-1", "q-1"]


def test_attempts_are_aborted_some_time_after_the_caller_has_left():
    simulation = pair([(9.0, server_reply())], [(9.0, server_reply())])
    exchange = simulation.ask()
    simulation.run(0.01)
    simulation.disconnect(exchange)
    simulation.run(0.25)
    assert simulation.abandoned == []
    simulation.run(0.2)
    assert len(simulation.abandoned) == 1
    assert "q-1" not in simulation.answers
    assert len(simulation.sent) == 1


def test_servers_that_shed_everything_receive_a_limited_number_of_repeats():
    simulation = pair([(0.001, SHED)], [(0.001, SHED)])
    simulation.ask()
    simulation.run(3.0)
    assert len(simulation.sent) <= 0.9 * (0.2 + 52) + 1
    assert simulation.answers["q-1"].status == 503


def test_answers_are_sent_earlier_on_a_machine_whose_timers_fire_late():
    simulation = shards_simulation(failing=SHARDS[:1])
    exchange = simulation.ask("/all/1")
    simulation.now = exchange.target_at + 0.02
    simulation.router.perform_due(exchange, simulation.now)
    later = simulation.ask("/all/1", "q-2")
    assert later.target_at - later.request.received_at == pytest.approx(
        exchange.target_at - exchange.request.received_at - 0.02
    )


def test_attempts_at_a_server_that_never_answers_are_aborted():
    simulation = pair([(9.9, SILENT)], [FAST], timeout_s=0.5)
    for number in range(8):
        simulation.ask(request_id=f"q-{number}")
        simulation.run(1.0)
    row = simulation.world.catalog.rows["a"]
    assert row.open_attempts == {}
    assert row.recent_failures(simulation.now) > 0
    # The server is tried again once its failure count has decayed to half.
    assert simulation.scripts["a"].sends[-1] > 105.0


def test_attempts_that_outlast_the_answer_are_aborted_after_the_callers_deadline():
    simulation = shards_simulation(failing=SHARDS[:1])
    simulation.ask("/all/1", wait_s=1.0)
    simulation.run(0.9)
    assert simulation.answers["q-1"].missing_count == 1
    assert simulation.abandoned == []
    simulation.run(0.6)
    assert len(simulation.abandoned) == 2


def test_a_shard_with_two_slow_replicas_is_answered_from_the_second_query_on():
    slow = (0.5, server_reply())
    servers = {
        "a": ("s-0", "north", slow),
        "b": ("s-0", "south", slow),
        "c": ("s-0", "west", FAST),
        "d": ("s-1", "north", FAST),
    }
    # "b" and "c" are both in other domains and cost the same at first; "b" comes first in order.
    simulation = Simulation([fan_out_route(["s-0", "s-1"], 0.5)], servers)
    for number in range(3):
        simulation.ask("/all/1", f"q-{number}")
        simulation.run(1.0)
    missing = [simulation.answers[f"q-{number}"].missing_count for number in range(3)]
    assert missing == [1, 0, 0]


def test_repeated_sends_to_a_server_count_as_attempts():
    simulation = pair([(0.002, RESET)], [(0.002, RESET)], max_attempts=3)
    simulation.ask()
    simulation.run(1.0)
    assert len(simulation.sent) == 3
    assert simulation.answers["q-1"].status == 502


def test_exclusion_of_all_domains_is_reported_differently_from_a_lack_of_servers():
    simulation = pair([FAST], [FAST])
    simulation.world.catalog.exclude({"north", "south"})
    exchange = simulation.ask()
    assert simulation.answers["q-1"].status == 503
    assert exchange.tasks[0].failure == "every server drains, is cold or is out of service"
