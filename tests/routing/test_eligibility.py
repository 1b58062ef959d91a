"""Load pattern: servers say in replies that they are leaving, or that they want a pause."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marigoldwalk.errors import RefusalReason
from marigoldwalk.routing.eligibility import LEAVING_MARGIN_S
from marigoldwalk.routing.exchanges import ErrorAnswer, ForwardedAnswer, MergedAnswer, ServerReply

from .load import pause_reply
from .simulation import (
    REFUSED,
    RESET,
    SHED,
    SILENT,
    Simulation,
    fan_out_route,
    registration,
    server_reply,
    single_route,
)

LEAVING_REPLY = ServerReply(200, (), b"0" * 16, "sig", executed=True, is_leaving=True)
FAST = (0.03, server_reply())
SHARDS = ("s-1", "s-2", "s-3", "s-4")


def pair(first, second, **options):
    servers = {"a": ("s-1", "north", *first), "b": ("s-1", "south", *second)}
    return Simulation([single_route(**options)], servers)


def ask_every(simulation, count, gap_s=0.1, path="/one/1"):
    for number in range(count):
        simulation.ask(path, f"q-{number}")
        simulation.run(gap_s)
    simulation.run(2.0)
    return [simulation.answers[f"q-{number}"] for number in range(count)]


def sent_to(simulation, server_id):
    return [at for at, server, _ in simulation.sent if server == server_id]


def test_a_server_that_says_it_is_leaving_receives_nothing_more():
    simulation = pair([(0.02, LEAVING_REPLY)], [FAST])
    answers = ask_every(simulation, 20)
    assert len(sent_to(simulation, "a")) == 1
    assert all(isinstance(answer, ForwardedAnswer) for answer in answers)


def test_leaving_servers_are_used_within_the_drain_time_if_no_other_one_is_left():
    simulation = pair([(0.02, LEAVING_REPLY)], [(0.02, LEAVING_REPLY)])
    answers = ask_every(simulation, 60)
    last = max(at for at, _, _ in simulation.sent)
    assert last <= 100.0 + simulation.world.limits.drain_s - LEAVING_MARGIN_S + 0.2
    assert isinstance(answers[15], ForwardedAnswer)
    assert answers[-1] == ErrorAnswer(503, RefusalReason.NO_SERVER, 0.1)


def test_server_whose_removal_was_put_off_receives_nothing_after_its_time():
    """It was sent to until the next watch of the store had returned."""
    simulation = pair([FAST], [FAST])
    simulation.world.catalog.mark_removed("a", 101.0)
    ask_every(simulation, 30)
    assert 100.8 <= max(sent_to(simulation, "a")) < 101.0


def test_retries_hedges_and_queued_tasks_avoid_a_leaving_server():
    shed_and_leave = ServerReply(503, (), b"", "", False, is_leaving=True)
    simulation = pair([(0.001, shed_and_leave)], [(0.25, server_reply())])
    simulation.ask("/one/1", "q-1")
    simulation.run(0.05)
    for number in range(2, 9):
        simulation.ask("/one/1", f"q-{number}")
    simulation.run(3.0)
    assert len(sent_to(simulation, "a")) == 1


def test_server_whose_address_another_one_has_receives_nothing_more():
    # Both replicas of the first shard have crashed; other servers got their addresses.
    misdirected = (0.001, ServerReply(421, (), b"", "", False, is_misdirected=True))
    servers = {f"i-{n}-{d}": (f"s-{n}", d, FAST) for n in (2, 3, 4) for d in ("north", "south")}
    servers |= {f"i-1-{d}": ("s-1", d, misdirected) for d in ("north", "south")}
    simulation = Simulation([fan_out_route(SHARDS)], servers)
    answers = ask_every(simulation, 90, path="/all/1")
    assert len(sent_to(simulation, "i-1-north")) == len(sent_to(simulation, "i-1-south")) == 1
    assert all(isinstance(answer, MergedAnswer) for answer in answers)


def test_restarted_server_is_used_although_another_one_had_its_address():
    misdirected = (0.001, ServerReply(421, (), b"", "", False, is_misdirected=True))
    simulation = Simulation([single_route()], {"a": ("s-1", "north", misdirected, FAST)})
    simulation.ask("/one/1", "q-1")
    simulation.run(1.0)
    restarted = registration("a", started_at_ms=2000)
    simulation.world.catalog.apply_registration(restarted, simulation.now)
    simulation.ask("/one/1", "q-2")
    simulation.run(1.0)
    assert isinstance(simulation.answers["q-2"], ForwardedAnswer)


def test_what_a_misdirected_reply_says_belongs_to_another_server():
    misdirected = ServerReply(
        421, (), b"", "", False, is_misdirected=True, is_leaving=True, pause_s=9.0
    )
    simulation = pair([(0.001, misdirected)], [FAST])
    ask_every(simulation, 2)
    row = simulation.world.catalog.rows["a"]
    assert (row.leaving_at, row.paused_until) == (None, 0.0)


def test_leaving_and_pauses_outlast_a_lapsed_registration_but_not_another_incarnation():
    simulation = pair([(0.02, LEAVING_REPLY)], [(0.001, pause_reply(60.0))])
    ask_every(simulation, 5)
    catalog = simulation.world.catalog
    assert catalog.rows["a"].leaving_at is not None
    until = catalog.rows["b"].paused_until
    for server_id, domain in (("a", "north"), ("b", "south")):
        catalog.remove(server_id)
        catalog.apply_registration(registration(server_id, domain=domain), simulation.now)
    assert catalog.rows["a"].leaving_at is not None
    assert catalog.rows["b"].paused_until == until
    catalog.apply_registration(registration("a", started_at_ms=2000), simulation.now)
    assert catalog.rows["a"].leaving_at is None


def test_a_server_that_asks_for_a_pause_receives_nothing_until_it_is_over():
    simulation = pair([(0.001, pause_reply(1.0)), FAST], [FAST])
    answers = ask_every(simulation, 30)
    times = sent_to(simulation, "a")
    assert [at for at in times[1:] if at < 101.0] == []
    assert len(times) > 5
    assert all(isinstance(answer, ForwardedAnswer) for answer in answers)


def test_callers_are_refused_at_once_while_all_servers_pause():
    simulation = pair([(0.001, pause_reply(5.0))], [(0.001, pause_reply(3.0))])
    ask_every(simulation, 1)
    sends = len(simulation.sent)
    simulation.run(0.5)
    at = simulation.now
    simulation.ask("/one/1", "q-9")
    answer = simulation.answers["q-9"]
    assert (answer.status, answer.reason) == (503, RefusalReason.SERVERS_PAUSED)
    earliest = min(row.paused_until for row in simulation.world.catalog)
    assert answer.retry_after_s == pytest.approx(earliest - at)
    assert len(simulation.sent) == sends


def test_a_short_pause_of_all_servers_is_waited_for():
    simulation = pair([(0.001, pause_reply(0.08)), FAST], [(0.001, pause_reply(0.09)), FAST])
    answers = ask_every(simulation, 1)
    assert isinstance(answers[0], ForwardedAnswer)


def test_the_caller_whose_request_met_the_pause_hears_when_it_ends():
    simulation = pair([(0.001, pause_reply(5.0))], [(0.001, pause_reply(3.0))])
    (answer,) = ask_every(simulation, 1)
    assert (answer.status, answer.reason) == (503, RefusalReason.SERVERS_PAUSED)
    assert 2.9 < answer.retry_after_s <= 3.0


def shards_with_pauses(*pauses_s):
    servers = {}
    for shard, pause_s in zip(SHARDS, pauses_s, strict=True):
        answer = (0.001, pause_reply(pause_s)) if pause_s else FAST
        servers[f"{shard}-a"] = (shard, "north", answer)
        servers[f"{shard}-b"] = (shard, "south", answer)
    return Simulation([fan_out_route(SHARDS, 0.75)], servers)


def test_a_query_is_refused_whole_if_the_servers_of_too_many_shards_pause():
    simulation = shards_with_pauses(4.0, 9.0, 0.0, 0.0)
    ask_every(simulation, 1, path="/all/1")
    sends = len(simulation.sent)
    at = simulation.now
    simulation.ask("/all/1", "q-9")
    answer = simulation.answers["q-9"]
    assert (answer.status, answer.reason) == (503, RefusalReason.SERVERS_PAUSED)
    # Three of four shards are enough, so the caller comes back when the first one is free.
    assert answer.retry_after_s == pytest.approx(102.0 + 2.1 - at, abs=0.2)
    assert len(simulation.sent) == sends


def test_a_query_leaves_out_a_shard_whose_servers_pause():
    simulation = shards_with_pauses(9.0, 0.0, 0.0, 0.0)
    ask_every(simulation, 1, path="/all/1")
    simulation.ask("/all/1", "q-9")
    simulation.run(1.0)
    answer = simulation.answers["q-9"]
    assert isinstance(answer, MergedAnswer)
    assert answer.missing_count == 1


def test_a_status_that_would_deny_a_run_is_not_passed_on():
    # The server does not say that it has not run the request.
    unclear = ServerReply(503, (), b"", "sig", executed=True)
    simulation = pair([(0.01, unclear)], [(0.01, unclear)], idempotent=False)
    (answer,) = ask_every(simulation, 1)
    assert answer == ErrorAnswer(502, RefusalReason.SERVERS_FAILED)


answers = st.lists(
    st.tuples(
        st.floats(0.001, 0.4), st.sampled_from([server_reply(), SHED, RESET, REFUSED, SILENT])
    ),
    min_size=1,
    max_size=6,
)


@given(
    scripts=st.fixed_dictionaries(dict.fromkeys(("a", "b", "c"), answers)),
    count=st.integers(1, 20),
    leaves_after_s=st.floats(0.0, 1.0),
    is_removed=st.booleans(),
    path=st.sampled_from(["/one/1", "/all/1"]),
)
def test_no_retry_hedge_or_queued_task_reaches_a_server_that_is_known_to_leave(
    scripts, count, leaves_after_s, is_removed, path
):
    servers = {server: ("s-1", "north", *script) for server, script in scripts.items()}
    servers |= {f"{shard}-x": (shard, "north", FAST) for shard in SHARDS[1:]}
    simulation = Simulation([single_route(), fan_out_route(SHARDS)], servers)
    leaves_at = simulation.now + leaves_after_s

    def leave():
        catalog = simulation.world.catalog
        if is_removed:
            catalog.remove("a")
        else:
            catalog.apply_registration(registration("a", draining=True, sequence=2), leaves_at)

    simulation.schedule(leaves_at, leave)
    for number in range(count):
        at = simulation.now + 0.05 * number
        simulation.schedule(at, lambda n=number: simulation.ask(path, f"q-{n}"))
    simulation.run(6.0)
    assert all(at <= leaves_at for at in sent_to(simulation, "a"))
