from __future__ import annotations

import pytest

from marigoldwalk.errors import RefusalReason
from marigoldwalk.routing.exchanges import (
    CallerRequest,
    ErrorAnswer,
    ForwardedAnswer,
    MergedAnswer,
)

from .simulation import HOST, SILENT, Simulation, fan_out_route, server_reply, single_route

ROUTE = {"timeout_s": 6.0, "target_s": 0.6}
USUAL = (0.17, server_reply())


def one_service(answer=USUAL, **changes):
    servers = dict.fromkeys(("a", "b", "c", "d"), ("s-1", "north", answer))
    return Simulation([single_route(**(ROUTE | changes))], servers)


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_request_is_accepted_only_if_its_time_is_left(idempotent):
    """Requests that came late in the grace period were accepted and aborted at its end."""
    needed_s = ROUTE["target_s"] * (1 if idempotent else 2)
    for left_s, is_accepted in ((needed_s + 0.01, True), (needed_s - 0.01, False)):
        simulation = one_service(idempotent=idempotent)
        simulation.begin_stop(left_s)
        simulation.ask(wait_s=6.0)
        simulation.run(left_s)
        answer = simulation.answers["q-1"]
        assert isinstance(answer, ForwardedAnswer) == is_accepted
        if not is_accepted:
            assert answer == ErrorAnswer(503, RefusalReason.STOPPING, 0.0)
            assert simulation.sent == []


def test_a_route_that_has_become_slow_needs_more_time():
    simulation = one_service((1.0, server_reply()), timeout_s=9.0)
    for number in range(32):
        simulation.ask(request_id=f"q-{number}", wait_s=9.0)
        simulation.run(1.1)
    simulation.begin_stop(0.9)
    simulation.ask(request_id="late", wait_s=9.0)
    assert simulation.answers["late"].status == 503


@pytest.mark.parametrize("idempotent", [True, False])
def test_every_request_of_a_stop_under_load_is_answered_and_none_is_aborted(idempotent):
    """The balancer goes on for the whole grace period, since few daemons are left."""
    simulation = one_service(idempotent=idempotent)
    for number in range(20):
        simulation.ask(request_id=f"before-{number}", wait_s=6.0)
        simulation.run(0.04)
    simulation.begin_stop(5.2)
    for number in range(130):
        simulation.ask(request_id=f"during-{number}", wait_s=6.0)
        simulation.run(0.04)
    answers = simulation.answers
    assert len(answers) == 150
    refused = [name for name, answer in answers.items() if isinstance(answer, ErrorAnswer)]
    assert {answers[name].status for name in refused} == {503}
    assert not {request_id for _, _, request_id in simulation.sent}.intersection(refused)
    assert len(refused) < 45


def test_a_request_accepted_before_the_stop_and_started_later_is_answered_before_the_end():
    """A delegate may refuse a query after the stop has begun, which then runs here."""
    simulation = one_service((0.1, SILENT))
    request = CallerRequest("q-1", "GET", HOST, "/one/1", simulation.now, simulation.now + 6.0)
    exchange = simulation.router.open(request)
    simulation.begin_stop(2.0)
    simulation.start(exchange)
    simulation.run(2.1)
    assert simulation.answers["q-1"].status == 504
    assert simulation.answered_at["q-1"] == pytest.approx(102.0, abs=0.01)


def test_open_requests_are_answered_before_the_end():
    simulation = one_service((0.1, SILENT), idempotent=False)
    simulation.ask(request_id="sent", wait_s=6.0)
    simulation.begin_stop(2.0)
    simulation.run(2.0)
    assert simulation.answers["sent"] == ErrorAnswer(504, RefusalReason.STOPPING)
    assert simulation.answered_at["sent"] == pytest.approx(102.0, abs=0.01)


def test_an_open_query_is_answered_before_the_end_with_the_parts_that_are_there():
    shards = [f"s-{number}" for number in range(4)]
    servers = {
        shard: (shard, "north", (9.9, SILENT) if shard == "s-0" else (0.03, server_reply()))
        for shard in shards
    }
    simulation = Simulation([fan_out_route(shards, target_s=3.0, timeout_s=6.0)], servers)
    simulation.ask("/all/1", wait_s=6.0)
    simulation.begin_stop(1.0)
    simulation.run(1.0)
    answer = simulation.answers["q-1"]
    assert isinstance(answer, MergedAnswer)
    assert answer.missing_count == 1
