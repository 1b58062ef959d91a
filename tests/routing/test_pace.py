from __future__ import annotations

import dataclasses
import random

import pytest

from marigoldwalk.routing.exchanges import (
    Attempt,
    ForwardedAnswer,
    LossReason,
    LostAttempt,
    ServerReply,
)
from marigoldwalk.routing.outcomes import handle_loss
from marigoldwalk.routing.pace import FULL, INITIAL_LEVEL, Pace, phase_of
from marigoldwalk.routing.placement import choose_server

from .simulation import REFUSED, RESET, SHED, Simulation, registration, server_reply, single_route

WARM_S = 0.03
"""Service time of a warm server."""
WARM = (WARM_S, server_reply())
INTERVAL_S = 0.02
"""Time between two requests, 50 a second."""
GARBLED = LostAttempt(LossReason.MALFORMED, may_have_run=True)
MISDIRECTED = ServerReply(421, (), b"", "", executed=False, is_misdirected=True)
FAILED = server_reply(status=500, signature="")


class Servers(Simulation):
    """One near server that returns and two far ones that are warm, under a steady load."""

    def __init__(self, answer=WARM):
        servers = {
            "near": ("s-1", "north", answer),
            "far-1": ("s-1", "south"),
            "far-2": ("s-1", "west"),
        }
        super().__init__([single_route()], servers)
        self.number = 0
        self.starts = 0
        self.is_up = lambda now: True
        """Whether the near server takes connections at a given time."""

    def _is_listening(self, server_id):
        return server_id != "near" or self.is_up(self.now)

    def load(self, for_s, interval_s=INTERVAL_S):
        end = self.now + for_s
        while self.now < end:
            self.ask_next()
            self.run(interval_s)

    def ask_next(self):
        self.number += 1
        self.ask(request_id=f"q-{self.number}", fingerprint=f"c-{self.number}")

    def restart(self, server_id="near", cold_s=3.0):
        row = self.world.catalog.rows[server_id]
        self.starts += 1
        new = dataclasses.replace(
            row.registration, started_at_ms=1000 + self.starts, cold_left_s=cold_s
        )
        self.world.catalog.apply_registration(new, self.now)

    def share(self, since, until=None, server_id="near"):
        """Return the fraction of the sends in a time range that went to a server."""
        sent = [s for t, s, _ in self.sent if since <= t < (until or self.now)]
        return sent.count(server_id) / len(sent)

    @property
    def unserved(self):
        return [q for q, answer in self.answers.items() if not isinstance(answer, ForwardedAnswer)]

    def level(self, server_id="near"):
        return self.world.catalog.rows[server_id].pace.level(self.now)


def test_a_server_that_is_slow_after_its_start_gets_part_of_the_load_and_then_all_of_it():
    returned_at = 102.0
    servers = Servers(
        lambda now: (WARM_S * (1.6 if returned_at <= now < returned_at + 3 else 1), server_reply())
    )
    servers.load(2.0, 0.05)
    assert servers.share(100.0) > 0.9
    servers.restart()
    servers.load(3.5, 0.05)
    assert 0.1 < servers.share(returned_at, returned_at + 0.3) < 0.5
    assert servers.share(returned_at + 1.0, returned_at + 3.0) > 0.6
    assert servers.share(returned_at + 3.0) > 0.9
    assert not servers.unserved


def test_a_server_that_is_warm_at_once_has_its_full_share_within_a_second():
    servers = Servers()
    servers.load(1.0)
    servers.restart()
    servers.load(2.0)
    assert servers.level() == FULL
    assert servers.share(102.0) > 0.9


def test_a_server_that_serves_no_faster_than_before_is_not_given_more():
    """A started server whose answers stay far above those of its peers keeps a low level."""
    servers = Servers(lambda now: (WARM_S * (6 if now >= 101.0 else 1), server_reply()))
    servers.load(1.0)
    servers.restart()
    servers.load(3.0)
    assert servers.share(101.5) < 0.15


class CrashingServer:
    """A server that crashes when it gets more than *limit* requests in half a second."""

    def __init__(self, limit, down_s=1.0):
        self.limit = limit
        self.down_s = down_s
        self.recent = []
        self.down_until = 0.0
        self.crashes = 0
        self.served = 0

    def __call__(self, now):
        if now < self.down_until:
            return 0.001, REFUSED
        self.recent = [time for time in self.recent if time > now - 0.5] + [now]
        if len(self.recent) <= self.limit:
            self.served += 1
            return WARM_S, server_reply()
        self.recent = []
        self.crashes += 1
        self.down_until = now + self.down_s
        return 0.001, RESET


def test_a_server_that_crashes_just_above_what_it_is_given_serves_more_between_crashes():
    server = CrashingServer(limit=20)
    servers = Servers(server)
    servers.is_up = lambda now: now >= server.down_until
    servers.load(20.0)
    assert server.served >= 30 * server.crashes
    assert not servers.unserved


def test_servers_that_come_back_together_share_the_load_with_the_warm_ones():
    names = [f"n-{number}" for number in range(50)]
    listed = dict.fromkeys(names, ("s-1", "north"))
    listed |= {f"f-{number}": ("s-1", "south") for number in range(50)}
    simulation = Simulation([single_route()], listed, members=1)
    for name in names:
        new = registration(name, started_at_ms=2000, cold_left_s=3.0)
        simulation.world.catalog.apply_registration(new, simulation.now)
    for number in range(600):
        simulation.ask(request_id=f"q-{number}")
        simulation.run(0.005)
    near = [s.startswith("n-") for t, s, _ in simulation.sent]
    assert 0 < sum(near[:30]) < 30
    assert sum(near[-100:]) > 90
    assert all(isinstance(answer, ForwardedAnswer) for answer in simulation.answers.values())


def test_requests_are_served_if_all_servers_of_a_service_come_back_together():
    servers = Servers()
    for name in ("near", "far-1", "far-2"):
        servers.restart(name)
    servers.load(1.0)
    servers.run(1.0)
    assert not servers.unserved


class FlappingServer:
    """A server that is down every other 1.4 s; the first request of each time meets its fall."""

    def __init__(self):
        self.is_sound = False
        self.falls = set()

    def is_up(self, now):
        return self.is_sound or self.phase(now) % 2 == 0

    def phase(self, now):
        return int((now - 100.0) / 1.4)

    def __call__(self, now):
        if self.is_up(now):
            return WARM
        is_first = self.phase(now) not in self.falls
        self.falls.add(self.phase(now))
        return 0.001, RESET if is_first else REFUSED


def test_a_server_that_goes_up_and_down_is_used_each_time_and_loses_few_requests():
    server = FlappingServer()
    servers = Servers(server)
    servers.is_up = server.is_up
    servers.load(14.0)
    assert servers.world.counters["lost.crashed"] == 5
    assert servers.world.counters["lost.connect_failed"] <= 15
    for phase in range(2, 10, 2):
        since = 100.0 + phase * 1.4
        assert 0.1 < servers.share(since, since + 1.4) < 0.5
    server.is_sound = True
    servers.load(5.0)
    assert servers.share(servers.now - 1.0) > 0.9
    assert not servers.unserved


@pytest.mark.parametrize("outcome", [FAILED, GARBLED, SHED], ids=["failed", "garbled", "shed"])
def test_answers_that_are_fast_and_wrong_reduce_the_level(outcome):
    servers = Servers((0.001, outcome))
    servers.restart()
    servers.load(1.0)
    assert servers.level() < INITIAL_LEVEL
    assert servers.share(100.0) < 0.2
    assert not servers.unserved


def test_a_single_failure_or_pause_leaves_a_warm_server_at_its_full_level():
    servers = Servers()
    servers.load(1.0)
    servers.scripts["near"].answers = [(0.002, FAILED)]
    servers.load(INTERVAL_S)
    servers.scripts["near"].answers = [(0.25, server_reply())]
    servers.load(INTERVAL_S)
    servers.scripts["near"].answers = [(WARM_S, server_reply())]
    servers.load(1.0)
    assert servers.level() == FULL
    assert servers.world.counters["pace.failure"] == 0


def test_a_server_that_was_slow_gets_its_load_back_step_by_step():
    servers = Servers()
    servers.load(1.0)
    servers.scripts["near"].answers = [(8 * WARM_S, server_reply())]
    servers.load(2.0)
    servers.scripts["near"].answers = [(WARM_S, server_reply())]
    servers.load(8.0)
    assert servers.level() == FULL
    sent_at = [t for t, s, _ in servers.sent if s == "near" and t > 104.0]
    first = sent_at[0]
    assert servers.share(first, first + 0.5) < 0.8


def test_a_service_that_states_a_cold_rate_keeps_it_as_the_only_bound_while_servers_are_cold():
    servers = Servers()
    catalog = servers.world.catalog
    rated = dataclasses.replace(catalog.config.services["s-1"], cold_per_s=10.0)
    catalog.apply_config(dataclasses.replace(catalog.config, version=2, services={"s-1": rated}))
    servers.restart()
    assert not catalog.rows["near"].pace.is_begun
    servers.load(2.0)
    cold = [t for t, s, _ in servers.sent if s == "near"]
    assert len(cold) <= 10.0 * 1.5 + 5.0


def test_a_server_that_is_not_due_gets_what_no_other_server_can_take():
    servers = Servers()
    servers.restart()
    rows = servers.world.catalog.rows
    rows["near"].pace.credit = 0.0
    others = [rows["far-1"], rows["far-2"]]
    assert choose_server(rows.values(), "north", (), 3, servers.now) in others
    for row in others:
        row.backoff_until = servers.now + 1.0
    assert choose_server(rows.values(), "north", (), 3, servers.now) is rows["near"]
    assert choose_server([rows["near"]], "north", (), 3, servers.now) is rows["near"]


def test_the_level_grows_without_any_answer_within_the_usual_cold_time():
    pace = Pace()
    pace.begin(10.0, phase=0.5)
    assert pace.level(10.0) == INITIAL_LEVEL
    assert INITIAL_LEVEL < pace.level(11.0) < FULL
    assert pace.level(13.0) == FULL


def test_answers_to_attempts_sent_before_the_last_change_do_not_raise_the_level():
    pace = Pace()
    pace.begin(10.0, phase=0.5)
    pace.record_good(sent_at=9.9, now=10.3)
    assert pace.changed_at == 10.0
    pace.record_good(sent_at=10.1, now=10.3)
    pace.record_good(sent_at=10.2, now=10.6)
    assert pace.changed_at == 10.3


def test_a_fleet_sends_few_requests_at_first_although_every_daemon_begins_at_once():
    paces = []
    for number in range(131):
        pace = Pace()
        pace.begin(10.0, phase_of(f"m-{number}", "s"))
        paces.append(pace)
    due = sum(pace.is_due(10.0) for pace in paces)
    assert 0.15 * 131 < due < 0.35 * 131


@pytest.mark.parametrize(
    ("daemon_count", "interval_s", "full_after_s"),
    [(3, 0.37, 1.5), (44, 0.5, 2.0), (44, 10.0, 3.0)],
    ids=["delegates", "many", "seldom"],
)
def test_daemons_that_see_few_requests_raise_the_share_together(
    daemon_count, interval_s, full_after_s
):
    draw = random.Random(5)
    daemons = []
    for number in range(daemon_count):
        daemon = Servers()
        daemon.world.catalog.daemon_name = f"m-{number}"
        daemon.restart()
        daemons.append(daemon)
        for _ in range(int(6.0 / interval_s) + 1):
            daemon.schedule(100.0 + draw.uniform(0, 6.0), daemon.ask_next)
    for daemon in daemons:
        daemon.run(6.0)
    sent = [(time - 100.0, server) for daemon in daemons for time, server, _ in daemon.sent]
    first = [server == "near" for time, server in sent if time < 0.5]
    later = [server == "near" for time, server in sent if time >= full_after_s]
    assert sum(first) <= max(2, 0.5 * len(first))
    assert sum(later) >= 0.9 * len(later)
    assert not any(daemon.unserved for daemon in daemons)


def test_a_server_that_restarts_under_its_id_grows_by_steps_where_it_had_failed():
    servers = Servers()
    servers.world.catalog.rows["near"].pace.record_outage(servers.now, servers.now, phase=0.5)
    servers.restart()
    restarted = servers.world.catalog.rows["near"].pace
    assert (restarted.level(servers.now), restarted.threshold) == (INITIAL_LEVEL, 0.5)


def test_a_server_that_takes_the_address_of_another_one_begins_low():
    servers = Servers()
    near = servers.world.catalog.rows["near"]
    taken = registration("new", address=near.address, cold_left_s=3.0, started_at_ms=2000)
    servers.world.catalog.apply_registration(taken, servers.now)
    assert servers.level("new") == INITIAL_LEVEL
    servers.scripts["near"].answers = [(0.001, MISDIRECTED)]
    servers.load(INTERVAL_S)
    assert servers.level("near") < FULL
    assert not servers.unserved


def test_checks_for_a_hedge_do_not_add_to_what_a_server_may_get():
    servers = Servers()
    servers.restart()
    rows = servers.world.catalog.rows
    rows["near"].pace.credit = 0.0
    choose_server(rows.values(), "north", (), 3, servers.now, is_pessimistic=True)
    assert rows["near"].pace.credit == 0.0
    choose_server(rows.values(), "north", (), 3, servers.now)
    assert rows["near"].pace.credit == INITIAL_LEVEL


def test_a_daemon_that_reaches_its_servers_again_has_no_reduced_levels():
    servers = Servers()
    row = servers.world.catalog.rows["near"]
    row.pace.record_outage(servers.now, servers.now + 2.0, phase=0.5)
    row.forget_failures()
    assert servers.level() == FULL


def test_reductions_are_logged_once_and_the_return_to_the_full_level_too(caplog):
    server = FlappingServer()
    servers = Servers(server)
    servers.is_up = server.is_up
    with caplog.at_level("INFO", logger="marigoldwalk.routing.pace"):
        servers.load(3.0)
        server.is_sound = True
        servers.load(6.0)
    paced = [record for record in caplog.records if record.name == "marigoldwalk.routing.pace"]
    assert [record.message for record in paced] == [
        "server gets a reduced pace",
        "server has its full pace again",
    ]


@pytest.mark.parametrize(
    ("reason", "expected"), [(LossReason.CONNECT_FAILED, 0.0), (LossReason.CONNECT_TIMEOUT, 3.0)]
)
def test_failures_are_forgotten_only_if_the_server_refuses_connections(reason, expected):
    servers = Servers((0.01, LostAttempt(reason, may_have_run=False)))
    row = servers.world.catalog.rows["near"]
    row.failures, row.failures_at = 3.0, servers.now
    (task,) = servers.ask(fingerprint="c-1").tasks
    attempt = Attempt(999, task, row, servers.now)
    servers.world.now = servers.now
    handle_loss(servers.world, attempt, LostAttempt(reason, may_have_run=False))
    assert row.recent_failures(servers.now) == expected
    assert servers.level() == INITIAL_LEVEL
